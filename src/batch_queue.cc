#include "src/batch_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dogwood {
auto batch_queue::Add(const batch_item_ref& ref, queued_item item) -> void {
  items_.emplace(ref, std::move(item));
}

auto batch_queue::Remove(const batch_item_ref& ref) -> bool {
  return items_.erase(ref) > 0;
}

auto batch_queue::RemovePartition(partition_id partition) -> void {
  std::erase_if(items_, [partition](const auto& entry) {
    return entry.first.partition == partition;
  });
}

auto batch_queue::StartNext(time_point now, duration run_time)
    -> std::optional<batch_item_ref> {
  auto best = items_.end();
  std::tuple<bool, time_point> best_rank;
  for (auto it = items_.begin(); it != items_.end(); ++it) {
    const auto& item = it->second;
    if (!item.MayStart(now)) {
      continue;
    }
    const std::tuple rank(now + run_time > item.due, item.due);
    if (best == items_.end() || rank < best_rank) {
      best = it;
      best_rank = rank;
    }
  }
  if (best == items_.end()) {
    return std::nullopt;
  }
  best->second.running = true;
  return best->first;
}

auto EstimateSubmission(unix_ms submitted, unix_ms wall_now, time_point now)
    -> time_point {
  return submitted < wall_now
             ? now - std::chrono::milliseconds(wall_now.value - submitted.value)
             : now;
}

auto ExpiryOf(time_point estimated_submission,
              std::chrono::milliseconds retention) -> time_point {
  return estimated_submission + retention + 2 * kMaxClockError;
}

auto batch_queue::Requeue(const batch_item_ref& ref, time_point not_before)
    -> void {
  if (auto* item = Find(ref)) {
    item->running = false;
    item->not_before = not_before;
  }
}

auto batch_queue::NoteFailure(const batch_item_ref& ref,
                              batch_run_id run,
                              time_point not_before) -> bool {
  auto* item = Find(ref);
  if (item == nullptr) {
    return false;
  }
  if (item->failures + 1 >= item->max_attempts) {
    return true;
  }
  item->unrecorded_failure = run;
  Requeue(ref, not_before);
  return false;
}

auto batch_queue::CountFailures(const batch_item_ref& ref,
                                const std::set<batch_run_id>& recorded)
    -> void {
  auto* item = Find(ref);
  if (item == nullptr) {
    return;
  }
  item->failures = recorded.size();
  if (item->unrecorded_failure &&
      recorded.contains(*item->unrecorded_failure)) {
    item->unrecorded_failure.reset();
  }
}

auto batch_queue::Hopeless(time_point now) const
    -> std::vector<batch_item_ref> {
  std::vector<batch_item_ref> hopeless;
  for (const auto& [ref, item] : items_) {
    if (!item.running && (now >= item.expires || item.IsExhausted())) {
      hopeless.push_back(ref);
    }
  }
  return hopeless;
}

auto batch_queue::Find(const batch_item_ref& ref) -> queued_item* {
  const auto found = items_.find(ref);
  return found == items_.end() ? nullptr : &found->second;
}

}  // namespace dogwood
