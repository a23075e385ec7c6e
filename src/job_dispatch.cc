#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/job_owner.h"
#include "src/job_record.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Minimum weight; prevents starvation and a division by zero. */
constexpr double kMinWeight = 0.001;
/** Maximum number of doublings of the backoff. */
constexpr unsigned kMaxDoublings = 20;

}  // namespace

auto partition_owner::Targets(time_point now) const
    -> std::vector<std::string> {
  const auto is_ready = [now](const auto& delayed) {
    return !delayed.empty() && delayed.begin()->first <= now;
  };
  std::vector<std::string> targets;
  for (const auto& [target, queue] : target_queues_) {
    bool has_ready =
        !queue.confirmed.empty() || is_ready(queue.confirmed_delayed);
    for (const auto& [workspace, jobs] : queue.workspaces) {
      for (const auto& [id, job] : jobs.jobs) {
        has_ready = has_ready || !job.ready.empty() || is_ready(job.delayed);
      }
    }
    if (has_ready) {
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
  const auto found = target_queues_.find(target);
  const bool stopped = result_bytes_ >= policy_.result_bytes;
  if (!CanQueueFenced() || stopped || found == target_queues_.end()) {
    return std::nullopt;
  }
  auto& queue = found->second;
  if (const auto confirmed = PopConfirmed(queue, now)) {
    running_[*confirmed] = run_kind::kStarted;
    auto run = MakeRun(*confirmed);
    run.repeatable = false;
    return run;
  }
  while (starting_.size() + starting_queued_.size() <
         policy_.max_starting_items) {
    const auto item = PopWaiting(queue, now, weight);
    if (!item) {
      return std::nullopt;
    }
    auto run = MakeRun(*item);
    if (may_repeat(run.request)) {
      running_[*item] = run_kind::kRepeatable;
      return run;
    }
    starting_.insert(*item);
  }
  return std::nullopt;
}

auto partition_owner::PopConfirmed(target_queue& queue, time_point now)
    -> std::optional<item_ref> {
  auto& delayed = queue.confirmed_delayed;
  if (!delayed.empty() && delayed.begin()->first <= now) {
    const auto item = delayed.begin()->second;
    delayed.erase(delayed.begin());
    return item;
  }
  if (queue.confirmed.empty()) {
    return std::nullopt;
  }
  const auto item = queue.confirmed.front();
  queue.confirmed.pop_front();
  return item;
}

auto partition_owner::PopWaiting(target_queue& queue,
                                 time_point now,
                                 const weight_function& weight)
    -> std::optional<item_ref> {
  using entry = std::map<workspace_id, workspace_queue>::value_type;
  std::vector<entry*> order;
  for (auto& workspace : queue.workspaces) {
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
      const bool is_ready =
          !waiting.delayed.empty() && waiting.delayed.begin()->first <= now;
      if (!is_ready && waiting.ready.empty()) {
        ++job;
        continue;
      }
      item_ref item{id, 0};
      if (is_ready) {
        item.index = waiting.delayed.begin()->second;
        waiting.delayed.erase(waiting.delayed.begin());
      } else {
        item.index = waiting.ready.front();
        waiting.ready.pop_front();
      }
      // A workspace gets no credit for the time in which it had no items.
      auto& pass = workspace->second.pass;
      pass = std::max(pass, queue.pass);
      queue.pass = pass;
      pass += 1 / std::max(weight(workspace->first), kMinWeight);
      return item;
    }
  }
  return std::nullopt;
}

auto partition_owner::MakeRun(const item_ref& item) const -> item_run {
  const auto* job = projection_.Find(item.job);
  item_run run;
  run.item = item;
  run.workspace = job->workspace;
  const auto value = json::parse(job->items[item.index].text);
  run.request = ItemOf(value.as_object());
  const auto attempts = attempts_.find(item);
  run.attempt = attempts == attempts_.end() ? 0 : attempts->second;
  return run;
}

auto partition_owner::QueueOf(const item_ref& item) -> target_queue& {
  const auto* job = projection_.Find(item.job);
  return target_queues_[job->targets[job->items[item.index].target]];
}

auto partition_owner::AddPendingResult(const item_ref& item,
                                       bool failed,
                                       std::string line) -> void {
  result_bytes_ += line.size();
  auto& entry = results_[item];
  entry.result = item_result{item, failed, std::move(line)};
}

auto partition_owner::BackoffAfter(unsigned attempts) const -> duration {
  const auto doublings = std::min(attempts - 1, kMaxDoublings);
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
  if (projection_.Find(item.job) == nullptr) {
    return;
  }
  const auto request = MakeRun(item).request;
  if (end == attempt_outcome::kResult) {
    AddPendingResult(item, failed, std::move(text));
    return;
  }
  if (end == attempt_outcome::kUnknown) {
    AddPendingResult(item, true,
                     ErrorLine(request.custom_id, "outcome_unknown",
                               "outcome unknown: " + text));
    return;
  }
  auto& queue = QueueOf(item);
  if (end == attempt_outcome::kReturned) {
    if (started) {
      queue.confirmed.push_front(item);
    } else {
      auto& workspace = queue.workspaces[projection_.Find(item.job)->workspace];
      workspace.jobs[item.job].ready.push_front(item.index);
    }
    return;
  }
  const auto attempts = ++attempts_[item];
  if (attempts >= policy_.max_attempts) {
    AddPendingResult(
        item, true,
        ErrorLine(request.custom_id, "failed",
                  std::to_string(attempts) + " attempts failed: " + text));
    return;
  }
  const auto due = now + BackoffAfter(attempts);
  if (started) {
    queue.confirmed_delayed.emplace(due, item);
  } else {
    auto& workspace = queue.workspaces[projection_.Find(item.job)->workspace];
    workspace.jobs[item.job].delayed.emplace(due, item.index);
  }
}

auto partition_owner::DrainAborts() -> std::vector<item_ref> {
  return std::exchange(aborts_, {});
}

}  // namespace dogwood
