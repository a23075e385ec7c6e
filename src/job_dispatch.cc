#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/job_owner.h"
#include "src/job_record.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Least weight, so that no workspace starves or divides by zero. */
constexpr double kLeastWeight = 0.001;
/** Doublings of the delay after failures. */
constexpr unsigned kMostDoublings = 20;

}  // namespace

auto partition_owner::Targets(time_point now) const
    -> std::vector<std::string> {
  const auto is_due = [now](const auto& delayed) {
    return !delayed.empty() && delayed.begin()->first <= now;
  };
  std::vector<std::string> targets;
  for (const auto& [target, line] : lines_) {
    bool waits = !line.cleared.empty() || is_due(line.cleared_delayed);
    for (const auto& [workspace, jobs] : line.workspaces) {
      for (const auto& [id, job] : jobs.jobs) {
        waits = waits || !job.ready.empty() || is_due(job.delayed);
      }
    }
    if (waits) {
      targets.push_back(target);
    }
  }
  return targets;
}

auto partition_owner::Next(const std::string& target,
                           time_point now,
                           const weight_function& weight,
                           const repeat_function& may_repeat)
    -> std::optional<item_run> {
  const auto found = lines_.find(target);
  const bool stopped = result_bytes_ >= policy_.result_bytes;
  if (!MayFence() || stopped || found == lines_.end()) {
    return std::nullopt;
  }
  auto& line = found->second;
  if (const auto cleared = TakeCleared(line, now)) {
    running_[*cleared] = run_kind::kStarted;
    auto run = RunOf(*cleared);
    run.repeatable = false;
    return run;
  }
  while (starting_.size() + starting_queued_.size() < policy_.starting_items) {
    const auto item = TakeWaiting(line, now, weight);
    if (!item) {
      return std::nullopt;
    }
    auto run = RunOf(*item);
    if (may_repeat(run.request)) {
      running_[*item] = run_kind::kRepeatable;
      return run;
    }
    starting_.insert(*item);
  }
  return std::nullopt;
}

auto partition_owner::TakeCleared(target_line& line, time_point now)
    -> std::optional<item_ref> {
  auto& delayed = line.cleared_delayed;
  if (!delayed.empty() && delayed.begin()->first <= now) {
    const auto item = delayed.begin()->second;
    delayed.erase(delayed.begin());
    return item;
  }
  if (line.cleared.empty()) {
    return std::nullopt;
  }
  const auto item = line.cleared.front();
  line.cleared.pop_front();
  return item;
}

auto partition_owner::TakeWaiting(target_line& line,
                                  time_point now,
                                  const weight_function& weight)
    -> std::optional<item_ref> {
  using entry = std::map<workspace_id, workspace_line>::value_type;
  std::vector<entry*> order;
  for (auto& workspace : line.workspaces) {
    order.push_back(&workspace);
  }
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
    return a->second.pass < b->second.pass;
  });
  for (auto* workspace : order) {
    auto& jobs = workspace->second.jobs;
    for (auto job = jobs.begin(); job != jobs.end();) {
      auto& [id, waiting] = *job;
      if (waiting.ready.empty() && waiting.delayed.empty()) {
        job = jobs.erase(job);
        continue;
      }
      const bool is_due =
          !waiting.delayed.empty() && waiting.delayed.begin()->first <= now;
      if (!is_due && waiting.ready.empty()) {
        ++job;
        continue;
      }
      item_ref item{id, 0};
      if (is_due) {
        item.index = waiting.delayed.begin()->second;
        waiting.delayed.erase(waiting.delayed.begin());
      } else {
        item.index = waiting.ready.front();
        waiting.ready.pop_front();
      }
      // A workspace that had nothing waiting gets no credit for that time.
      auto& pass = workspace->second.pass;
      pass = std::max(pass, line.pass);
      line.pass = pass;
      pass += 1 / std::max(weight(workspace->first), kLeastWeight);
      return item;
    }
  }
  return std::nullopt;
}

auto partition_owner::RunOf(const item_ref& item) const -> item_run {
  const auto* job = fold_.Find(item.job);
  item_run run;
  run.item = item;
  run.workspace = job->workspace;
  const auto value = json::parse(job->items[item.index].text);
  run.request = ItemOf(value.as_object());
  const auto attempts = attempts_.find(item);
  run.attempt = attempts == attempts_.end() ? 0 : attempts->second;
  return run;
}

auto partition_owner::LineOf(const item_ref& item) -> target_line& {
  const auto* job = fold_.Find(item.job);
  return lines_[job->targets[job->items[item.index].target]];
}

auto partition_owner::Unsettle(const item_ref& item,
                               bool failed,
                               std::string line) -> void {
  result_bytes_ += line.size();
  auto& entry = results_[item];
  entry.result = item_result{item, failed, std::move(line)};
}

auto partition_owner::DelayAfter(unsigned attempts) const -> duration {
  const auto doublings = std::min(attempts - 1, kMostDoublings);
  return std::min(policy_.initial_backoff * (1U << doublings),
                  policy_.max_backoff);
}

auto partition_owner::End(const item_ref& item,
                          attempt_outcome end,
                          std::string text,
                          bool failed,
                          time_point now) -> void {
  const auto found = running_.find(item);
  if (found == running_.end()) {
    return;
  }
  const bool started = found->second == run_kind::kStarted;
  running_.erase(found);
  if (fold_.Find(item.job) == nullptr) {
    return;
  }
  const auto request = RunOf(item).request;
  if (end == attempt_outcome::kResult) {
    Unsettle(item, failed, std::move(text));
    return;
  }
  if (end == attempt_outcome::kUnknown) {
    Unsettle(item, true,
             ErrorLine(request.custom_id, "outcome_unknown",
                       "outcome unknown: " + text));
    return;
  }
  auto& line = LineOf(item);
  if (end == attempt_outcome::kReturned) {
    if (started) {
      line.cleared.push_front(item);
    } else {
      auto& workspace = line.workspaces[fold_.Find(item.job)->workspace];
      workspace.jobs[item.job].ready.push_front(item.index);
    }
    return;
  }
  const auto attempts = ++attempts_[item];
  if (attempts >= policy_.max_attempts) {
    Unsettle(item, true,
             ErrorLine(request.custom_id, "failed",
                       std::to_string(attempts) + " attempts failed: " + text));
    return;
  }
  const auto due = now + DelayAfter(attempts);
  if (started) {
    line.cleared_delayed.emplace(due, item);
  } else {
    auto& workspace = line.workspaces[fold_.Find(item.job)->workspace];
    workspace.jobs[item.job].delayed.emplace(due, item.index);
  }
}

auto partition_owner::TakeAborts() -> std::vector<item_ref> {
  return std::exchange(aborts_, {});
}

}  // namespace dogwood
