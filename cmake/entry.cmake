# Targets of the entry daemon and its libraries.
dogwood_library(route SOURCES route_cmd.cc route_query.cc LIBS dogwood_core)
dogwood_library(proxy SOURCES proxy_func.cc sse_base.cc sse_func.cc
                LIBS dogwood_core dogwood_http Boost::url)
dogwood_library(entry SOURCES entryd_setting.cc entryd_metric.cc entryd_base.cc
  entryd_backend.cc entryd_limit.cc entryd_fleet.cc entryd_identity.cc
  entryd_watch.cc entryd_relay.cc entryd_proxy.cc entryd_batch.cc
  entryd_address.cc entryd_http.cc
  LIBS dogwood_setting dogwood_http dogwood_wire dogwood_limit dogwood_route
       dogwood_proxy dogwood_platform dogwood_replica)
dogwood_binary(dogwood_entryd SOURCES src/entryd_main.cc
               LIBS dogwood_entry dogwood_daemon)
dogwood_test(route dogwood_route)
dogwood_test(proxy dogwood_proxy)
dogwood_test(entryd_owner dogwood_replica)
