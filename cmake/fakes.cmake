# Stand-ins for engines, the platform and services, the load generator, and
# the failure tests.
add_library(dogwood_fake_common STATIC tests/fakes/fake_common.cc)
target_link_libraries(dogwood_fake_common PUBLIC dogwood_http dogwood_core)
foreach(fake fake_platform fake_service)
  dogwood_binary(${fake} SOURCES tests/fakes/${fake}.cc
                 LIBS dogwood_fake_common)
endforeach()
add_library(dogwood_fake_engine STATIC tests/fakes/engine_api.cc
            tests/fakes/engine_model.cc tests/fakes/engine_state.cc)
target_link_libraries(dogwood_fake_engine PUBLIC dogwood_fake_common)
dogwood_binary(fake_engine SOURCES tests/fakes/fake_engine.cc
               LIBS dogwood_fake_engine)
dogwood_test(fake_engine dogwood_fake_engine)
dogwood_library(load_lib SOURCES load_func.cc load_report.cc load_run.cc
                load_stream.cc LIBS dogwood_http dogwood_core)
dogwood_binary(dogwood_load SOURCES src/load_main.cc LIBS dogwood_load_lib)
dogwood_test(load dogwood_load_lib)

# Process-level failure tests. Each starts its own cluster. They run serially,
# since their results depend on the daemons making progress in time.
foreach(failure kill_batchd kill_entryd kill_controld paused_owner store
        resent_job withdrawn_key operators silent_engine crossed_answers
        broken_answers leaving_server key_leak two_faults planned_stop)
  add_test(NAME failure_${failure}
           COMMAND ${CMAKE_SOURCE_DIR}/tests/failure_${failure}.py)
  set_tests_properties(failure_${failure} PROPERTIES LABELS failure TIMEOUT 400
                       RUN_SERIAL TRUE ENVIRONMENT
                       "DOGWOOD_BUILD=${CMAKE_BINARY_DIR}")
endforeach()
