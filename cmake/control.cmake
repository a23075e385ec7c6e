# Targets of this area.
dogwood_library(freshness SOURCES freshness_base.cc LIBS dogwood_core)
