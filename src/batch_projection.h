/** State of one partition of batch jobs, projected from its log.
 *
 * Every host that replays the log gets the same jobs, results and positions,
 * whichever host wrote the records. The first submission of a job is accepted,
 * and the first result of an item takes the next position in its job. Progress
 * is accepted only if it directly follows the recorded progress, so that an
 * item's output neither misses nor repeats an event. A failed run counts once,
 * however often it is recorded. The store retains records
 * longer than the lifetime of a job, so no record needs to be rewritten. */
#ifndef SRC_BATCH_PROJECTION_H_
#define SRC_BATCH_PROJECTION_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/batch_record.h"

namespace dogwood {

/** State of one job. */
struct batch_job {
  batch_submission submission;
  std::map<batch_item_id, std::size_t> index;        ///< Item indexes by id.
  std::set<batch_item_id> listed;                    ///< Items with a result.
  std::vector<batch_result> results;                 ///< In order of position.
  std::map<batch_item_id, batch_progress> progress;  ///< Of open items.
  std::map<batch_item_id, std::set<batch_run_id>>
      failed_runs;     ///< Of open items.
  bool ended = false;  ///< The caller ended the job.

  /** Returns whether no further result is expected: the caller ended the job or
   * all items have a result. */
  auto IsClosed() const -> bool {
    return ended || listed.size() == submission.items.size();
  }
  /** Returns the tokens of the items without a result; 0 once the job has
   * ended.
   */
  auto OpenTokens() const -> std::uint64_t;
  /** Returns the item, or nullptr if it is unknown. */
  auto FindItem(const batch_item_id& item) const -> const batch_item*;
  /** Returns the recorded progress of an item; empty if there is none. */
  auto ProgressOf(const batch_item_id& item) const -> const batch_progress&;
  /** Returns the recorded failed runs of an item. */
  auto FailedRunsOf(const batch_item_id& item) const
      -> const std::set<batch_run_id>&;
};

/** Effect of a record; at most one member is set. */
struct batch_change {
  std::optional<batch_id> opened;  ///< Job that was accepted.
  std::optional<batch_id> ended;   ///< Job that its caller ended.
  std::optional<std::pair<batch_id, batch_item_id>>
      listed;  ///< Item with a new result.
  std::optional<std::pair<batch_id, batch_item_id>>
      progressed;  ///< Open item with new events.
  std::optional<std::pair<batch_id, batch_item_id>>
      failed;  ///< Open item with a new failed run.
};

/** Jobs of one partition. It is a deterministic function of the applied
 * records, without clock or I/O. Not thread-safe. */
class batch_partition {
 public:
  /** Clears the state; the next record is the one at `first`. */
  auto Reset(log_offset first) -> void;
  /** Applies the next record. A malformed record changes nothing. */
  auto Apply(std::string_view record) -> batch_change;
  /** Removes closed jobs that were submitted before `before`. */
  auto Forget(unix_ms before) -> void;

  /** Offset of the next record. */
  auto next() const -> log_offset { return next_; }
  /** Returns the job, or nullptr if it is unknown. */
  auto Find(const batch_id& job) const -> const batch_job*;
  auto Jobs() const -> const std::map<batch_id, batch_job>& { return jobs_; }
  /** Returns the results from `first` on, at most `bytes` of output but at
   * least one result if there is one. */
  static auto Results(const batch_job& job,
                      std::size_t first,
                      std::size_t bytes) -> std::span<const batch_result>;

 private:
  auto ApplyRecord(batch_record record) -> batch_change;
  auto ApplySection(const record_section& section) -> batch_change;
  auto ApplyPart(submission_part part) -> batch_change;
  auto ApplyResult(result_record record) -> batch_change;
  auto ApplyProgress(progress_record record) -> batch_change;
  auto ApplyFailure(const failure_record& record) -> batch_change;
  auto ApplyEnd(const end_record& record) -> batch_change;

  log_offset next_;
  std::map<batch_id, batch_job> jobs_;
  std::map<batch_id, std::vector<std::string>>
      parts_;                      // Of incomplete submissions.
  std::string sections_;           // Joined, of an incomplete record.
  std::size_t section_count_ = 0;  // Number of sections in it.
};

}  // namespace dogwood

#endif  // SRC_BATCH_PROJECTION_H_
