# Freshness tracking, the control daemon, links and ordering.
dogwood_library(freshness SOURCES freshness_base.cc LIBS dogwood_core)
dogwood_library(control SOURCES controld_append.cc controld_base.cc
                                controld_change.cc controld_http.cc
                                controld_member.cc controld_metric.cc
                                controld_pull.cc controld_query.cc
                                controld_serve.cc controld_setting.cc
                                controld_store.cc controld_watch.cc
                LIBS dogwood_setting dogwood_freshness dogwood_wire
                     dogwood_http dogwood_config dogwood_replica
                     dogwood_platform)
dogwood_binary(dogwood_controld SOURCES src/controld_main.cc
               LIBS dogwood_control dogwood_daemon)
dogwood_test(freshness dogwood_freshness)
if(TARGET freshness_test)
  target_sources(freshness_test PRIVATE tests/freshness_simulation.cc)
endif()
dogwood_test(link dogwood_wire)
dogwood_library(order SOURCES order_base.cc LIBS Threads::Threads)
dogwood_test(order dogwood_order)
dogwood_test(control dogwood_control)
