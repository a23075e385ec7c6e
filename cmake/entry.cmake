# Targets of this area.
dogwood_library(route SOURCES route_cmd.cc route_query.cc LIBS dogwood_core)
dogwood_library(proxy SOURCES proxy_func.cc sse_base.cc
                LIBS dogwood_core dogwood_http Boost::url)
dogwood_binary(dogwood_entryd
  SOURCES src/entryd_main.cc src/entryd_setting.cc src/entryd_metric.cc
          src/entryd_base.cc src/entryd_backend.cc src/entryd_limit.cc
          src/entryd_fleet.cc src/entryd_identity.cc src/entryd_watch.cc
          src/entryd_relay.cc src/entryd_proxy.cc src/entryd_batch.cc
          src/entryd_address.cc src/entryd_http.cc
  LIBS dogwood_setting dogwood_http dogwood_wire dogwood_limit dogwood_route
       dogwood_proxy)
dogwood_test(route dogwood_route)
