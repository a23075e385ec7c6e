/** Benchmarks of limit decisions, grants and token requests by number of
 * workspaces. */
#include <benchmark/benchmark.h>

#include "bench/bench_memory.h"
#include "src/limit.h"

namespace dogwood::bench {
namespace {

constexpr limit_rate kRate{1e6, 1e6};
constexpr std::chrono::seconds kGrantTtl{1};
constexpr std::chrono::milliseconds kRequestInterval{200};

/** Returns the names of `count` workspaces. */
auto Workspaces(std::int64_t count) -> std::vector<workspace_id> {
  std::vector<workspace_id> names;
  for (std::int64_t i = 0; i < count; ++i) {
    names.emplace_back("workspace-" + std::to_string(i));
  }
  return names;
}

/** Admits one request on a host that holds tokens of W workspaces. */
auto LimitAdmit(benchmark::State& state) -> void {
  const auto names = Workspaces(state.range(0));
  const auto now = time_point() + std::chrono::hours(1);
  const auto before = HeapBytes();
  limit_share_table shares(limit_mode::kDemandShares, kRequestInterval);
  for (const auto& name : names) {
    shares.ApplyGrant(name, {grant_id(1), ~0U, std::chrono::hours(1), {}}, now);
  }
  state.counters["bytes_per_workspace"] =
      (HeapBytes() - before) / static_cast<double>(names.size());
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        shares.Admit(names[i++ % names.size()], kRate, now));
  }
}
BENCHMARK(LimitAdmit)->RangeMultiplier(4)->Range(8, 2048);

/** Makes one grant as the owner of W limits. */
auto LimitGrant(benchmark::State& state) -> void {
  const auto names = Workspaces(state.range(0));
  const auto since = time_point() + std::chrono::hours(1);
  const auto before = HeapBytes();
  limit_owner_table owner(kGrantTtl, 1);
  auto now = since + std::chrono::minutes(1);
  for (const auto& name : names) {
    owner.Grant(name, kRate, 1, {}, since, now);
  }
  state.counters["bytes_per_limit"] =
      (HeapBytes() - before) / static_cast<double>(names.size());
  std::size_t i = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    benchmark::DoNotOptimize(
        owner.Grant(names[i++ % names.size()], kRate, 4, {}, since, now));
  }
}
BENCHMARK(LimitGrant)->RangeMultiplier(4)->Range(8, 2048);

/** Collects the due token requests of W workspaces with little demand. */
auto LimitDueRequests(benchmark::State& state) -> void {
  const auto names = Workspaces(state.range(0));
  auto now = time_point() + std::chrono::hours(1);
  limit_share_table shares(limit_mode::kDemandShares, kRequestInterval);
  for (const auto& name : names) {
    shares.Admit(name, kRate, now);
    shares.StopWaiting(name);
  }
  for (auto _ : state) {
    now += kRequestInterval;
    benchmark::DoNotOptimize(shares.DueRequests(now, now));
  }
}
BENCHMARK(LimitDueRequests)->RangeMultiplier(4)->Range(8, 2048);

}  // namespace
}  // namespace dogwood::bench
