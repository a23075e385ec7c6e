/** Scheduling queue of a host's batch items: selects the next item to run and
 * the items to abandon.
 *
 * Load pattern: jobs arrive steadily, while slots are free only between bursts
 * of online requests, so items wait for seconds and are preempted while they
 * run. Items that can still meet their objective come first, ordered by due
 * time. A preempted item keeps its progress and resumes after its last
 * event. */
#ifndef SRC_BATCH_QUEUE_H_
#define SRC_BATCH_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/batch_type.h"
#include "src/dispatch_type.h"

namespace dogwood {

/** Reference to an item of a job. */
struct batch_item_ref {
  partition_id partition;
  batch_id job;
  batch_item_id item;
  // clang-tidy 14 reports the 0 in a defaulted comparison as a null pointer.
  auto operator<=>(const batch_item_ref&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/** Largest error of one host's wall clock. The platform's clocks are close to
 * true time, and may step by some seconds. */
inline constexpr std::chrono::milliseconds kMaxClockError{5000};

/** Returns the time at which a job was submitted, on the steady clock of this
 * host, as wall clocks tell it: `submitted` by the clock of the host that
 * accepted the job, `wall_now` by that of this one. Wrong by the errors of both
 * clocks; never after `now`. */
auto EstimateSubmission(unix_ms submitted, unix_ms wall_now, time_point now)
    -> time_point;

/** Returns the time from which an item may be abandoned. It is not before
 * `retention` after the true time of submission, if the estimate of that is
 * wrong by two clock errors at most. */
auto ExpiryOf(time_point estimated_submission,
              std::chrono::milliseconds retention) -> time_point;

/** Entry of the queue. */
struct queued_item {
  service_id service;  ///< Service that the item may run on.
  /** Estimated time of its job's submission. Taken once, since the steady clock
   * goes on evenly while wall clocks step. */
  time_point submitted;
  time_point due = time_point::max();      ///< Objective; max() if it has none.
  time_point expires = time_point::max();  ///< May be abandoned from then on.
  time_point not_before;                   ///< End of the pause after a run.
  /** Failures after which it is abandoned; unlimited until its route is known.
   */
  std::size_t max_attempts = std::numeric_limits<std::size_t>::max();
  std::size_t failures = 0;  ///< Failed runs that are in the log.
  /** Failed run that is not in the log yet; the item does not run again before
   * it is. */
  std::optional<batch_run_id> unrecorded_failure;
  batch_progress progress;  ///< Progress of the previous runs.
  bool running = false;     ///< Returned by StartNext(), not requeued since.

  /** Whether it has failed too often to run again. */
  auto IsExhausted() const -> bool { return failures >= max_attempts; }
  auto MayStart(time_point now) const -> bool {
    return !running && !unrecorded_failure && !IsExhausted() &&
           now >= not_before;
  }
};

/** Queue of the items in the partitions that this host owns. Not
 * thread-safe. */
class batch_queue {
 public:
  /** Adds an item. Keeps the existing entry if the item is queued already. */
  auto Add(const batch_item_ref& ref, queued_item item) -> void;
  /** Removes an item that has ended. Returns false if it was not queued. */
  auto Remove(const batch_item_ref& ref) -> bool;
  /** Removes all items of a partition. */
  auto RemovePartition(partition_id partition) -> void;
  /** Selects the next item to run and marks it as running. `run_time` is the
   * expected duration of a run. */
  auto StartNext(time_point now, duration run_time)
      -> std::optional<batch_item_ref>;
  /** Requeues a running item, which may run again from `not_before` on and
   * keeps its progress. */
  auto Requeue(const batch_item_ref& ref, time_point not_before) -> void;
  /** Notes a failed run of a running item. Returns true if it was the last that
   * the item may have. Else the item is requeued and may run again from
   * `not_before` on, once CountFailures() has been called with that run. */
  auto NoteFailure(const batch_item_ref& ref,
                   batch_run_id run,
                   time_point not_before) -> bool;
  /** Applies the recorded failures of an item. */
  auto CountFailures(const batch_item_ref& ref,
                     const std::set<batch_run_id>& recorded) -> void;
  /** Returns the items to abandon: they do not run, and have expired or failed
   * too often. */
  auto Hopeless(time_point now) const -> std::vector<batch_item_ref>;
  /** Returns the entry, or nullptr if the item is not queued. */
  auto Find(const batch_item_ref& ref) -> queued_item*;
  auto Size() const -> std::size_t { return items_.size(); }

 private:
  std::map<batch_item_ref, queued_item> items_;
};

}  // namespace dogwood

#endif  // SRC_BATCH_QUEUE_H_
