# Benchmarks on which docs/CAPACITY.md is based; run by scripts/bench.
find_package(benchmark REQUIRED)
add_executable(dogwood_bench bench/limit_bench.cc bench/route_bench.cc
                             bench/freshness_bench.cc bench/config_bench.cc
                             bench/job_bench.cc bench/wire_bench.cc
                             bench/dispatch_bench.cc)
target_link_libraries(dogwood_bench PRIVATE dogwood_limit dogwood_route
                      dogwood_freshness dogwood_config dogwood_job dogwood_wire
                      dogwood_dispatch
                      benchmark::benchmark_main)
