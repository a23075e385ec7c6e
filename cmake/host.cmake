# dogwood_hostd, the process for the users' platform, and the libraries that
# only it uses.
dogwood_library(deployment SOURCES deployment_evacuation.cc deployment_journal.cc deployment_query.cc
                deployment_region.cc
                LIBS dogwood_core)
dogwood_library(dispatch
                SOURCES dispatch_cmd.cc dispatch_cold.cc dispatch_drain.cc dispatch_local.cc
                        dispatch_quarantine.cc dispatch_query.cc
                        dispatch_return.cc dispatch_speed.cc
                        dispatch_usage.cc dispatch_wait.cc
                LIBS dogwood_deployment)
dogwood_library(batch SOURCES batch_projection.cc batch_queue.cc batch_quota.cc
                        batch_record.cc
                LIBS dogwood_job dogwood_http)
dogwood_library(fleet SOURCES fleet_func.cc fleet_region.cc
                LIBS dogwood_batch dogwood_deployment)
add_library(dogwood_platform_adapter STATIC
            platform/batch_codec.cc platform/feature_codec.cc platform/field_reader.cc
            platform/request_codec.cc platform/state_codec.cc
            platform/store_client.cc)
target_link_libraries(dogwood_platform_adapter PUBLIC dogwood_proxy dogwood_http
                                                      OpenSSL::Crypto)
dogwood_library(hostd_lib
                SOURCES hostd_base.cc hostd_batch.cc hostd_batch_call.cc
                        hostd_batch_log.cc hostd_batch_run.cc hostd_caller.cc
                        hostd_failover.cc hostd_feed.cc hostd_front.cc hostd_placement.cc
                        hostd_placement_codec.cc hostd_placement_cold.cc
                        hostd_placement_speed.cc
                        hostd_relay.cc hostd_reload.cc hostd_setting.cc hostd_state.cc
                        hostd_watch.cc
                LIBS dogwood_platform_adapter dogwood_deployment
                     dogwood_dispatch dogwood_fleet dogwood_entry dogwood_wire
                     dogwood_setting)
dogwood_binary(dogwood_hostd SOURCES src/hostd_main.cc
               LIBS dogwood_hostd_lib dogwood_daemon)
dogwood_test(deployment dogwood_deployment)
dogwood_test(deployment_evacuation dogwood_deployment)
dogwood_test(dispatch dogwood_dispatch)
dogwood_test(dispatch_cold dogwood_dispatch)
dogwood_test(dispatch_local dogwood_dispatch)
dogwood_test(dispatch_quarantine dogwood_dispatch)
dogwood_test(dispatch_region dogwood_dispatch)
dogwood_test(dispatch_return dogwood_dispatch)
dogwood_test(dispatch_speed dogwood_dispatch)
dogwood_test(dispatch_speed_rank dogwood_dispatch)
dogwood_test(dispatch_speed_replay dogwood_dispatch)
dogwood_test(dispatch_usage dogwood_dispatch)
dogwood_test(dispatch_usage_model dogwood_dispatch)
dogwood_test(dispatch_usage_cut dogwood_dispatch)
dogwood_test(dispatch_wait dogwood_dispatch)
dogwood_test(batch dogwood_batch)
dogwood_test(fleet dogwood_fleet)
dogwood_test(fleet_region dogwood_fleet)
dogwood_test(adapter dogwood_platform_adapter)
dogwood_test(hostd dogwood_hostd_lib)
dogwood_test(feed dogwood_hostd_lib)
dogwood_test(feed_model dogwood_hostd_lib)

# Process-level tests of hostd against the fake of the users' platform. They use
# the same addresses, so they run one at a time.
if(NOT DOGWOOD_DEPLOYMENT_ONLY)
  foreach(site answer batch calm cold evacuation owner quarantine region signals
               silence speed stream store stop restart trouble)
    add_test(NAME site_${site}
             COMMAND ${CMAKE_SOURCE_DIR}/tests/site_${site}.py)
    set_tests_properties(site_${site} PROPERTIES LABELS failure TIMEOUT 300
                         RUN_SERIAL TRUE ENVIRONMENT
                         "DOGWOOD_BUILD=${CMAKE_BINARY_DIR}")
  endforeach()
  foreach(scenario announced removal narrow_link)
    add_test(NAME site_feed_${scenario}
             COMMAND ${CMAKE_SOURCE_DIR}/tests/site_feed.py ${scenario})
    set_tests_properties(site_feed_${scenario} PROPERTIES LABELS failure
                         TIMEOUT 300 RUN_SERIAL TRUE ENVIRONMENT
                         "DOGWOOD_BUILD=${CMAKE_BINARY_DIR}")
  endforeach()
  # The long soak is run by hand: tests/soak.py --fresh 50.
  add_test(NAME soak_short
           COMMAND ${CMAKE_SOURCE_DIR}/tests/soak.py --seed 20261204
                   --seconds 10)
  set_tests_properties(soak_short PROPERTIES LABELS failure TIMEOUT 300
                       RUN_SERIAL TRUE ENVIRONMENT
                       "DOGWOOD_BUILD=${CMAKE_BINARY_DIR}")
  # The long runs are started by hand: tests/site_rolling.py --fresh 50.
  add_test(NAME site_rolling
           COMMAND ${CMAKE_SOURCE_DIR}/tests/site_rolling.py --seed 20261219
                   --seconds 30 --hosts 6 --engines 6 --rate 25)
  set_tests_properties(site_rolling PROPERTIES LABELS failure TIMEOUT 300
                       RUN_SERIAL TRUE ENVIRONMENT
                       "DOGWOOD_BUILD=${CMAKE_BINARY_DIR}")
  add_test(NAME platform_names
           COMMAND ${CMAKE_SOURCE_DIR}/tests/platform_names.py)
  add_test(NAME settings_doc COMMAND ${CMAKE_SOURCE_DIR}/tests/settings_doc.py)
  set_tests_properties(settings_doc PROPERTIES ENVIRONMENT
                       "DOGWOOD_BUILD=${CMAKE_BINARY_DIR}")
endif()
