/** Which item of the jobs of a host runs next, and when one is given up.
 *
 * Load pattern answered: jobs arrive steadily, while slots are free only
 * between bursts of online work, so items wait for seconds and are stopped in
 * the middle. Items that can still meet their objective come first, by due
 * time; a stopped item keeps what it has and goes on after its last event. */
#ifndef SRC_BATCH_QUEUE_H_
#define SRC_BATCH_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/batch_type.h"
#include "src/dispatch_type.h"

namespace dogwood {

/** One item of one job. */
struct batch_item_ref {
  partition_id partition;  ///< Partition of its job.
  batch_id job;            ///< Job.
  batch_item_id item;      ///< Item.
  // clang-tidy 14 takes the comparison with 0 in the default for a pointer.
  auto operator<=>(const batch_item_ref&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/** An item as the queue knows it. */
struct queued_item {
  service_id service;                      ///< Where it may run.
  time_point due = time_point::max();      ///< Objective; max(): unknown.
  time_point expires = time_point::max();  ///< May be given up from then on.
  time_point not_before;                   ///< Pause after a failure.
  unsigned max_attempts = 1;               ///< Failures that end it.
  unsigned failures = 0;                   ///< Answers that count as failures.
  batch_progress progress;                 ///< What came before this run.
  bool running = false;                    ///< Has been handed out.
};

/** Items of all jobs whose partitions this host owns. Not thread-safe. */
class batch_queue {
 public:
  /** Adds an item; one that is there already stays as it is. */
  auto Add(const batch_item_ref& ref, queued_item item) -> void;
  /** Removes an item that has ended; false if it was not there. */
  auto Remove(const batch_item_ref& ref) -> bool;
  /** Removes all items of a partition. */
  auto RemovePartition(partition_id partition) -> void;
  /** The next item to run; it counts as running. `run_time` is the expected
   * time of a run. */
  auto Take(time_point now, duration run_time) -> std::optional<batch_item_ref>;
  /** An item that was taken goes back, with what came of it in place. */
  auto Requeue(const batch_item_ref& ref, time_point not_before) -> void;
  /** Counts an answer that the server failed; true if the item is to be given
   * up. */
  auto CountFailure(const batch_item_ref& ref) -> bool;
  /** Items that may be given up because their time has passed. */
  auto Expired(time_point now) const -> std::vector<batch_item_ref>;
  /** Nullptr if it is not there. */
  auto Find(const batch_item_ref& ref) -> queued_item*;
  auto Size() const -> std::size_t { return items_.size(); }

 private:
  std::map<batch_item_ref, queued_item> items_;
};

}  // namespace dogwood

#endif  // SRC_BATCH_QUEUE_H_
