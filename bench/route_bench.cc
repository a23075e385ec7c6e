/** Benchmark of routing by number of listed backend servers. */
#include <benchmark/benchmark.h>

#include "bench/bench_memory.h"
#include "src/route.h"

namespace dogwood::bench {
namespace {

constexpr std::int64_t kDataCentres = 9;
constexpr std::int64_t kRegions = 3;

/** Returns `count` servers of one model, spread over data centres and regions.
 */
auto Servers(std::int64_t count) -> std::vector<backend_server> {
  std::vector<backend_server> servers;
  for (std::int64_t i = 0; i < count; ++i) {
    backend_server s;
    s.server = server_id("server-" + std::to_string(i));
    s.address = "127.0.0.1:8000";
    s.data_centre = data_centre_id("dc-" + std::to_string(i % kDataCentres));
    s.region = region_id("region-" + std::to_string(i % kRegions));
    s.models = {"model-a"};
    s.slots = 8;
    servers.push_back(std::move(s));
  }
  return servers;
}

/** Routes one request among N servers and releases the slot. */
auto RouteAcquire(benchmark::State& state) -> void {
  const auto before = HeapBytes();
  server_table table({data_centre_id("dc-0"), region_id("region-0")},
                     MakeRoutePolicy("affinity", 4), {});
  table.SetServers(Servers(state.range(0)));
  state.counters["bytes_per_server"] =
      (HeapBytes() - before) / static_cast<double>(state.range(0));
  const auto now = time_point() + std::chrono::hours(1);
  route_request request;
  request.name = "model-a";
  for (auto _ : state) {
    request.prefix_hash += 0x9e3779b97f4a7c15;
    auto choice = table.Acquire(request, now);
    if (choice) {
      table.Release(choice->server);
    }
  }
}
BENCHMARK(RouteAcquire)->RangeMultiplier(4)->Range(8, 8192);

}  // namespace
}  // namespace dogwood::bench
