/** Benchmarks of batch items: submission, dispatch, completion and rewriting of
 * their state. */
#include <benchmark/benchmark.h>

#include <algorithm>

#include "bench/bench_memory.h"
#include "src/job.h"

namespace dogwood::bench {
namespace {

constexpr unix_ms kStart{1000000000};
constexpr std::uint64_t kStepMs = 250;
constexpr std::size_t kResultTextBytes = 400;

/** Returns the policy of an owner that rewrites all state after a minute. */
auto Policy() -> owner_policy {
  owner_policy policy;
  policy.initial_backoff = std::chrono::milliseconds(100);
  policy.max_backoff = std::chrono::seconds(10);
  policy.result_retention = std::chrono::hours(24);
  policy.rewrite_after = std::chrono::minutes(1);
  policy.result_bytes = 1UL << 30;
  return policy;
}

/** Partition with its owner and a simulated log. */
struct bench_partition {
  partition_owner owner{partition_id(0), host_id("host-1"), incarnation(1),
                        Policy()};  ///< Owner of the partition.
  std::uint64_t next = 0;           ///< Offset of the next record.
  std::size_t log_bytes = 0;        ///< Bytes appended.
  std::size_t appends = 0;          ///< Number of appends.

  /** Appends all queued records and applies them, until none are queued. */
  auto AppendAll(unix_ms now) -> void {
    while (true) {
      const auto records = owner.StartAppend(now);
      if (records.empty()) {
        return;
      }
      ++appends;
      owner.HandleAppendOutcome(append_outcome::kAppended);
      for (const auto& record : records) {
        log_bytes += record.size();
        owner.Apply(log_offset(next++), record);
      }
    }
  }
};

/** Returns a submission of `count` items of about 200 bytes each. */
auto Submission(std::int64_t count) -> job_submission {
  job_submission submission;
  submission.workspace = workspace_id("w1");
  submission.key = "key";
  submission.digest = std::string(64, 'a');
  for (std::int64_t i = 0; i < count; ++i) {
    const auto name = std::to_string(i);
    submission.items.push_back(
        {"item-" + name, "POST", "/v1/completions", "model/model-a",
         R"({"model":"model-a","max_tokens":64,"prompt":")" +
             std::string(120, 'x') + name + "\"}"});
  }
  return submission;
}

/** Dispatches every waiting item and completes it with a result. */
auto CompleteAll(bench_partition& p) -> void {
  const auto now = time_point() + std::chrono::hours(1);
  const auto weight = [](const workspace_id&) { return 1.0; };
  const auto repeat = [](const item_request&) { return true; };
  while (auto run = p.owner.Next("model/model-a", now, weight, repeat)) {
    p.owner.End(
        run->item, attempt_outcome::kResult,
        AnswerLine(run->request.custom_id, 200,
                   "{\"text\":\"" + std::string(kResultTextBytes, 'y') + "\"}"),
        false, now);
  }
}

/** Runs one job of N items from submission to its last result. */
auto JobLife(benchmark::State& state) -> void {
  const auto items = static_cast<double>(state.range(0));
  const auto submission = Submission(state.range(0));
  for (auto _ : state) {
    const auto before = HeapBytes();
    bench_partition p;
    p.owner.Claim(log_offset(0), kStart);
    p.AppendAll(kStart);
    p.owner.Submit(submission, kStart);
    p.AppendAll(kStart);
    state.counters["heap_bytes_queued"] = (HeapBytes() - before) / items;
    state.counters["log_bytes_submit"] = p.log_bytes / items;
    CompleteAll(p);
    p.AppendAll(kStart);
    state.counters["heap_bytes_done"] = (HeapBytes() - before) / items;
    state.counters["log_bytes_life"] = p.log_bytes / items;
    state.counters["appends"] = p.appends;
  }
  state.counters["ns_per_item"] = benchmark::Counter(
      items * 1e-9, benchmark::Counter::kIsIterationInvariantRate |
                        benchmark::Counter::kInvert);
}
BENCHMARK(JobLife)
    ->RangeMultiplier(8)
    ->Range(512, 262144)
    ->Unit(benchmark::kMillisecond);

/** Rewrites the live state of N completed items. */
auto JobRewrite(benchmark::State& state) -> void {
  const auto items = static_cast<double>(state.range(0));
  bench_partition p;
  p.owner.Claim(log_offset(0), kStart);
  p.AppendAll(kStart);
  p.owner.Submit(Submission(state.range(0)), kStart);
  p.AppendAll(kStart);
  CompleteAll(p);
  p.AppendAll(kStart);
  auto now = kStart;
  for (auto _ : state) {
    const auto bytes = p.log_bytes;
    const auto appends = p.appends;
    now.value += 3600000;
    const auto base = p.owner.projection().base_from();
    // A rewrite appends a claim, the state in steps and a base record.
    while (p.owner.projection().base_from() == base) {
      now.value += kStepMs;
      p.AppendAll(now);
    }
    state.counters["log_bytes"] = (p.log_bytes - bytes) / items;
    state.counters["appends"] = p.appends - appends;
  }
  state.counters["ns_per_item"] = benchmark::Counter(
      items * 1e-9, benchmark::Counter::kIsIterationInvariantRate |
                        benchmark::Counter::kInvert);
}
BENCHMARK(JobRewrite)
    ->RangeMultiplier(8)
    ->Range(512, 32768)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace dogwood::bench
