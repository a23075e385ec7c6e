# Targets of this area.
dogwood_library(route SOURCES route_cmd.cc route_query.cc LIBS dogwood_core)
dogwood_test(route dogwood_route)
