#include "src/load_report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>

namespace dogwood {
namespace bh = boost::histogram;
namespace json = boost::json;
namespace {

constexpr unsigned kBins = 500;
constexpr double kMinMs = 0.05;
constexpr double kMaxMs = 200000;

/** Formats counts by name as JSON. */
auto CountsOf(const std::map<std::string, std::uint64_t>& counts)
    -> json::object {
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

/** Formats the statistics of one workspace as JSON. */
auto JsonOf(const workspace_stats& f) -> json::object {
  return {{"sent", f.sent},
          {"within_rate", f.within_rate},
          {"completed", f.completed},
          {"broken", f.broken},
          {"wrong", f.wrong},
          {"refused", CountsOf(f.refused)},
          {"refused_within_rate", f.refused_within_rate},
          {"failed_within_rate", f.failed_within_rate},
          {"tokens", f.tokens},
          {"first_token", f.first_token.ToJson()},
          {"between_tokens", f.between_tokens.ToJson()}};
}

/** Adds the statistics of one workspace to a sum. */
auto AddTo(workspace_stats& sum, const workspace_stats& f) -> void {
  sum.sent += f.sent;
  sum.within_rate += f.within_rate;
  sum.completed += f.completed;
  sum.broken += f.broken;
  sum.wrong += f.wrong;
  sum.refused_within_rate += f.refused_within_rate;
  sum.failed_within_rate += f.failed_within_rate;
  sum.tokens += f.tokens;
  for (const auto& [reason, count] : f.refused) {
    sum.refused[reason] += count;
  }
  sum.first_token.Merge(f.first_token);
  sum.between_tokens.Merge(f.between_tokens);
}

/** Formats the statistics of one batch job as JSON. */
auto JsonOf(const job_stats& job) -> json::object {
  json::array samples;
  for (const auto& sample : job.samples) {
    samples.push_back(json::array{sample.at.count(), sample.done});
  }
  return {{"id", job.id},
          {"state", job.state},
          {"items", job.items},
          {"submit_attempts", job.submit_attempts},
          {"submitted_s", job.submitted.count()},
          {"finished_s", job.finished.count()},
          {"result_lines", job.result_lines},
          {"duplicate_lines", job.duplicate_lines},
          {"progress", std::move(samples)}};
}

/** Returns the number of items that were completed or failed according to the
 * last sample not later than `at`. */
auto ItemsDoneBy(const job_stats& job, run_time at) -> std::uint64_t {
  std::uint64_t done = 0;
  for (const auto& sample : job.samples) {
    if (sample.at <= at) {
      done = sample.done;
    }
  }
  return done;
}

/** Sums the statistics of all batch jobs. The window is the time of arrivals,
 * without the wait after it. */
auto BatchTotals(const load_plan& plan, const load_stats& stats)
    -> json::object {
  std::uint64_t items = 0;
  std::uint64_t done = 0;
  std::uint64_t done_in_window = 0;
  run_time last{};
  for (const auto& job : stats.jobs) {
    items += job.items;
    done += job.samples.empty() ? 0 : job.samples.back().done;
    done_in_window += ItemsDoneBy(job, plan.length);
    last = std::max(last, job.finished);
  }
  return {{"items", items},
          {"done", done},
          {"done_in_window", done_in_window},
          {"items_per_s_in_window",
           static_cast<double>(done_in_window) / plan.length.count()},
          {"last_finished_s", last.count()}};
}

}  // namespace

time_histogram::time_histogram()
    : histogram_(bh::make_histogram(axis(kBins, kMinMs, kMaxMs))) {}

auto time_histogram::Add(double ms) -> void {
  histogram_(std::clamp(ms, kMinMs, kMaxMs * 0.999));
  ++count_;
}

auto time_histogram::Merge(const time_histogram& other) -> void {
  histogram_ += other.histogram_;
  count_ += other.count_;
}

auto time_histogram::Quantile(double share) const -> double {
  const auto wanted = share * static_cast<double>(count_);
  double seen = 0;
  for (auto&& bin : bh::indexed(histogram_)) {
    seen += *bin;
    if (seen >= wanted && seen > 0) {
      return bin.bin().upper();
    }
  }
  return 0;
}

auto time_histogram::ToJson() const -> json::object {
  return {{"count", count_},
          {"p50_ms", Quantile(0.50)},
          {"p95_ms", Quantile(0.95)},
          {"p99_ms", Quantile(0.99)}};
}

auto ReportOf(const load_plan& plan, const load_stats& stats) -> json::object {
  json::object workspaces;
  workspace_stats all;
  for (std::size_t i = 0; i < stats.workspaces.size(); ++i) {
    const auto& f = stats.workspaces[i];
    workspaces[plan.workspaces[i].workspace.value] = JsonOf(f);
    AddTo(all, f);
  }
  json::array jobs;
  for (const auto& job : stats.jobs) {
    jobs.push_back(JsonOf(job));
  }
  return {{"seed", plan.seed},
          {"length_s", plan.length.count()},
          {"online", JsonOf(all)},
          {"workspaces", std::move(workspaces)},
          {"batch", BatchTotals(plan, stats)},
          {"jobs", std::move(jobs)},
          {"send_delay", stats.send_delay.ToJson()}};
}

}  // namespace dogwood
