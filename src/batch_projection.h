/** One partition of batch jobs as a fold over its log.
 *
 * Every host that reads the log comes to the same jobs, results and positions,
 * whoever wrote the records: the first submission of a job counts, and the
 * first result of an item takes the next position of its job. Progress counts
 * only if it follows what is recorded, so that no event is missing or stands
 * twice in an item's output. The store keeps
 * records longer than jobs live, so nothing is written again. */
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
  batch_submission submission;                       ///< As submitted.
  std::map<batch_item_id, std::size_t> index;        ///< Items by name.
  std::set<batch_item_id> listed;                    ///< Items with a result.
  std::vector<batch_result> results;                 ///< By position.
  std::map<batch_item_id, batch_progress> progress;  ///< Of open items.
  bool ended = false;                                ///< Ended by its caller.

  /** Whether no more results will come. */
  auto IsClosed() const -> bool {
    return ended || listed.size() == submission.items.size();
  }
  /** The item, nullptr if it is unknown. */
  auto FindItem(const batch_item_id& item) const -> const batch_item*;
  /** What is recorded of an open item. */
  auto ProgressOf(const batch_item_id& item) const -> const batch_progress&;
};

/** What a record changed. */
struct batch_change {
  std::optional<batch_id> opened;  ///< A job was accepted.
  std::optional<batch_id> ended;   ///< A job was ended by its caller.
  std::optional<std::pair<batch_id, batch_item_id>> listed;  ///< A result.
  std::optional<std::pair<batch_id, batch_item_id>>
      progressed;  ///< More events of an open item.
};

/** Jobs of one partition. A deterministic function of the records applied; has
 * no clock and no I/O. Not thread-safe. */
class batch_partition {
 public:
  /** Forgets everything; the next record is the one at `first`. */
  auto Reset(log_offset first) -> void;
  /** Applies the next record. One that cannot be read changes nothing. */
  auto Apply(std::string_view record) -> batch_change;
  /** Forgets closed jobs that were submitted before `before`. */
  auto Forget(unix_ms before) -> void;

  /** Offset of the next record. */
  auto next() const -> log_offset { return next_; }
  /** The job, nullptr if it is unknown. */
  auto Find(const batch_id& job) const -> const batch_job*;
  auto Jobs() const -> const std::map<batch_id, batch_job>& { return jobs_; }
  /** Results from `first` on, of about `bytes` at most but at least one. */
  static auto Results(const batch_job& job,
                      std::size_t first,
                      std::size_t bytes) -> std::span<const batch_result>;

 private:
  auto TakePart(submission_part part) -> batch_change;
  auto ApplyResult(result_record record) -> batch_change;
  auto UpdateProgress(progress_record record) -> batch_change;
  auto TakeEnd(const end_record& record) -> batch_change;

  log_offset next_;
  std::map<batch_id, batch_job> jobs_;
  std::map<batch_id, std::vector<std::string>> parts_;  // Of open submissions.
};

}  // namespace dogwood

#endif  // SRC_BATCH_PROJECTION_H_
