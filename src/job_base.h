/** One partition of the batch jobs as a fold over its stream.
 *
 * Retention. The state can be rebuilt from any retained range that holds a
 * claim C and a later `base` record under the epoch C: before it writes the
 * base, the owner writes again (`keep`) whatever depends on records before C.
 * A keep states what its writer had folded up to `as_of`. It is void for what
 * other records have named since then, which every reader that has read from
 * `as_of` on decides alike, whether it knew the job before or not. */
#ifndef SRC_JOB_BASE_H_
#define SRC_JOB_BASE_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/error_type.h"
#include "src/job_type.h"

namespace dogwood {

/** A keep is void this many records after its `as_of`, and an upload this many
 * after its first record; it bounds what a fold remembers for them. */
constexpr std::uint64_t kRecordSpan = 4096;

/** State of one stream jobs-P. A deterministic function of the records
 * applied; has no clock and no I/O. Not thread-safe. */
class job_partition {
 public:
  explicit job_partition(partition_id partition) : partition_(partition) {}

  // Commands (job_cmd.cc).

  /** Forgets everything; the next record is the one at `first`. */
  auto Reset(log_offset first) -> void;
  /** Applies the record at `offset`, which must be next_offset(). */
  auto Apply(log_offset offset, std::string_view record) -> fold_report;

  // Queries (job_query.cc).

  auto partition() const -> partition_id { return partition_; }
  auto next_offset() const -> log_offset { return next_offset_; }
  /** Epoch of the current claim; nothing before the first claim. */
  auto current_epoch() const -> std::optional<epoch> { return epoch_; }
  /** Host and start that wrote the current claim. */
  auto claimant() const -> const record_writer& { return claimant_; }
  /** Whether the state is that of the whole stream. Otherwise retention has
   * passed records that had not been written again. */
  auto is_exact() const -> bool { return is_exact_; }
  /** Claim of the last base record: records before it are not needed. */
  auto base_from() const -> log_offset { return base_from_; }
  auto Jobs() const -> const std::map<log_offset, job_state>& { return jobs_; }
  /** The job, nullptr if it is unknown. */
  auto Find(log_offset job) const -> const job_state*;
  /** The job that a workspace submitted under a key, nullptr if none. */
  auto FindByKey(const workspace_id& workspace, std::string_view key) const
      -> const job_state*;
  /** Counts of a job's items. */
  static auto Counts(const job_state& job) -> job_counts;
  /** One line per item from the item `first` on, in order, of up to about
   * `bytes`; items of a cancelled job that were not completed are error lines.
   * Empty unless the job has ended. */
  static auto Results(const job_state& job,
                      std::size_t first = 0,
                      std::size_t bytes = SIZE_MAX) -> std::string;
  /** Keep records of what depends on records before the current claim, of up
   * to `budget` bytes; `write` turns fields into a record. Requires that the
   * caller is the owner. */
  auto RecordsToRewrite(
      std::size_t budget,
      const std::function<std::string(boost::json::object)>& write) const
      -> std::vector<std::string>;
  /** Whether a base record may be written under the current claim. */
  auto IsRewritten() const -> bool;
  /** Fields of the base record. */
  auto BaseFields() const -> boost::json::object;
  /** Jobs that ended and whose time has passed. */
  auto Expired(unix_ms now) const -> std::vector<log_offset>;
  /** An offset such that records before it were written before `at`. */
  auto OffsetBefore(unix_ms at) const -> log_offset;
  /** Whole visible state as text, for comparing two folds. */
  auto StateText() const -> std::string;

 private:
  friend class job_projection;

  /** An upload without its commit. Its records follow each other among those
   * of their writer, so another record of the writer makes it void. */
  struct upload {
    std::string name;  ///< Same in all its records.
    log_offset first;  ///< Offset of its first record.
    std::map<std::uint64_t, std::vector<item_request>> parts;  ///< By number.
  };
  /** What named a job of which this fold knows no header. */
  struct stray {
    log_offset header;                          ///< Last cancel or drop.
    std::map<std::uint32_t, log_offset> items;  ///< Last fenced record.
    log_offset last;                            ///< Last of all.
  };
  using job_key = std::pair<workspace_id, std::string>;

  partition_id partition_;
  log_offset next_offset_;
  std::optional<epoch> epoch_;
  record_writer claimant_;
  log_offset base_from_;
  std::map<log_offset, job_state> jobs_;
  std::multimap<job_key, log_offset> by_key_;  // See doubtful_before_.
  bool is_exact_ = true;  // Began at 0, or has read a base record.
  // First claim of a fold that is not exact yet. A job that depends on records
  // before it may be a resend of one that the fold does not know, which may
  // have been dropped since: a later submission under its key is kept too,
  // until a keep or base record tells which one lives.
  log_offset doubtful_before_;
  std::map<host_id, upload> uploads_;  // By writer.
  std::map<log_offset, stray> strays_;
  std::map<host_id, std::pair<incarnation, std::uint64_t>> last_seq_;
  std::deque<std::pair<log_offset, unix_ms>> markers_;
  unix_ms last_written_;  // Newest time that a record carries.
};

}  // namespace dogwood

#endif  // SRC_JOB_BASE_H_
