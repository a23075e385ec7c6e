/** Benchmarks of the configuration tree by number of keys, and of ownership by
 * number of hosts. */
#include <benchmark/benchmark.h>

#include <map>

#include "bench/bench_memory.h"
#include "src/config.h"

namespace dogwood::bench {
namespace {

constexpr std::uint64_t kWorkspaces = 480;
const record_writer kWriter{host_id("host-1"), incarnation(1), 0};

/** Returns the writer of the record at `offset`. */
auto WriterOf(std::uint64_t offset) -> record_writer {
  auto writer = kWriter;
  writer.seq = offset + 1;
  return writer;
}

/** Returns a change that sets key `i`. Keys are spread over the workspaces. */
auto KeyChange(std::uint64_t i, std::uint64_t version) -> config_change {
  config_change change;
  change.path = "/workspaces/w" + std::to_string(i % kWorkspaces) + "/keys/k" +
                std::to_string(i);
  change.expected_version = version;
  change.set["hash"] = std::string(56, '0') + std::to_string(10000000 + i);
  change.operator_name = "bench";
  return change;
}

/** Applies `change` to the tree as the next record. */
auto ApplyNext(config_tree& tree, const config_change& change) -> void {
  const auto at = tree.next_offset();
  tree.Apply(at, ChangeRecord(WriterOf(at.value), change));
}

/** Builds a tree with `keys` keys in 480 workspaces. */
auto TreeOf(std::uint64_t keys) -> config_tree {
  config_tree tree;
  for (std::uint64_t i = 0; i < kWorkspaces; ++i) {
    config_change workspace;
    workspace.path = "/workspaces/w" + std::to_string(i);
    workspace.set["rate_per_s"] = 10;
    ApplyNext(tree, workspace);
  }
  for (std::uint64_t i = 0; i < keys; ++i) {
    ApplyNext(tree, KeyChange(i, 0));
  }
  return tree;
}

/** Applies one change to a tree of N keys. */
auto ConfigApply(benchmark::State& state) -> void {
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  const auto before = HeapBytes();
  auto tree = TreeOf(keys);
  state.counters["bytes_per_key"] =
      (HeapBytes() - before) / static_cast<double>(keys);
  std::uint64_t i = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const auto at = tree.next_offset();
    const auto change =
        KeyChange(i % keys, tree.Node(KeyChange(i % keys, 0).path)->version);
    ++i;
    const auto record = ChangeRecord(WriterOf(at.value), change);
    state.counters["record_bytes"] = static_cast<double>(record.size());
    state.ResumeTiming();
    benchmark::DoNotOptimize(tree.Apply(at, record));
  }
}
BENCHMARK(ConfigApply)->RangeMultiplier(4)->Range(64, 16384)->Iterations(20000);

/** Looks up one caller's key among N. */
auto ConfigFindKey(benchmark::State& state) -> void {
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  const auto tree = TreeOf(keys);
  const auto hash = std::string(56, '0') + std::to_string(10000000 + keys / 2);
  for (auto _ : state) {
    benchmark::DoNotOptimize(tree.FindKey(hash));
  }
}
BENCHMARK(ConfigFindKey)->RangeMultiplier(4)->Range(64, 16384);

/** Takes a snapshot of a tree of N keys. */
auto ConfigSnapshot(benchmark::State& state) -> void {
  const auto tree = TreeOf(static_cast<std::uint64_t>(state.range(0)));
  for (auto _ : state) {
    const auto record = tree.Snapshot(kWriter);
    state.counters["record_bytes"] = static_cast<double>(record.size());
  }
}
BENCHMARK(ConfigSnapshot)->RangeMultiplier(4)->Range(64, 16384);

/** Computes the owner of a limit among N hosts. */
auto OwnershipOwnerOf(benchmark::State& state) -> void {
  std::vector<member> members(static_cast<std::size_t>(state.range(0)));
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].host = host_id("host-" + std::to_string(i));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(OwnerOf(members, owned_kind::kLimit, "w17"));
  }
}
BENCHMARK(OwnershipOwnerOf)->RangeMultiplier(3)->Range(9, 729);

}  // namespace
}  // namespace dogwood::bench
