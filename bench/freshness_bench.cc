/** Benchmarks of freshness tracking by number of hosts. */
#include <benchmark/benchmark.h>

#include "src/freshness.h"

namespace dogwood::bench {
namespace {

constexpr std::chrono::seconds kFreshnessLimit{5};

/** Returns `count` members in three regions, in member order. */
auto Members(std::int64_t count) -> std::vector<member> {
  std::vector<member> members;
  for (std::int64_t i = 0; i < count; ++i) {
    member m;
    m.region = region_id("region-" + std::to_string(i * 3 / count));
    m.host = host_id("host-" + std::to_string(10000 + i));
    members.push_back(std::move(m));
  }
  return members;
}

/** One round of a host: handles the attestations of 8 children and merges its
 * own. */
auto FreshnessRound(benchmark::State& state) -> void {
  const auto hosts = static_cast<std::size_t>(state.range(0));
  auto now = time_point() + std::chrono::hours(1);
  freshness_tracker tracker(incarnation(1), kFreshnessLimit, now);
  tracker.SetApplied(log_offset(10), 0, hosts);
  tracker.SetJoined(log_offset(1));
  tracker.ConfirmAlone();
  now += std::chrono::minutes(1);
  for (auto _ : state) {
    now += std::chrono::milliseconds(500);
    for (std::size_t child = 0; child < kTreeFanOut; ++child) {
      rank_set covered;
      for (std::size_t rank = child + 1; rank < hosts; rank += kTreeFanOut) {
        covered.Add(rank);
      }
      const reply_echo echo{incarnation(1), now, {}};
      tracker.HandleChildAttestation(host_id("child-" + std::to_string(child)),
                                     log_offset(10), std::move(covered), {},
                                     echo, now);
    }
    benchmark::DoNotOptimize(tracker.MergeAttestations(now));
  }
}
BENCHMARK(FreshnessRound)->RangeMultiplier(3)->Range(9, 729);

/** Computes the position of a host in the tree of N hosts. */
auto FreshnessTree(benchmark::State& state) -> void {
  const auto members = Members(state.range(0));
  const auto self = members.back().host;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        TreePosition(members, self, region_id("region-0")));
  }
}
BENCHMARK(FreshnessTree)->RangeMultiplier(3)->Range(9, 729);

}  // namespace
}  // namespace dogwood::bench
