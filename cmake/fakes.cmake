# Targets of this area.
add_library(dogwood_fake_common STATIC tests/fakes/fake_common.cc)
target_link_libraries(dogwood_fake_common PUBLIC dogwood_http dogwood_core)
foreach(fake fake_platform fake_service)
  dogwood_binary(${fake} SOURCES tests/fakes/${fake}.cc
                 LIBS dogwood_fake_common)
endforeach()
dogwood_binary(fake_engine SOURCES tests/fakes/fake_engine.cc
               tests/fakes/engine_api.cc tests/fakes/engine_model.cc
               tests/fakes/engine_state.cc LIBS dogwood_fake_common)
dogwood_library(load_lib SOURCES load_func.cc load_report.cc load_run.cc
                load_stream.cc LIBS dogwood_http dogwood_core)
dogwood_binary(dogwood_load SOURCES src/load_main.cc LIBS dogwood_load_lib)
dogwood_test(load dogwood_load_lib)
