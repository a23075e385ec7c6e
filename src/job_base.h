/** State of one partition of the batch jobs, projected from its stream.
 *
 * Retention. The state can be rebuilt from any retained range that holds a
 * claim C and a later `base` record under the epoch C: before it writes the
 * base record, the owner rewrites whatever depends on records before C into
 * `keep` records. A keep record holds the state that its writer had replayed
 * up to `as_of`. It does not apply to headers and items that other records
 * have referenced since then. Every reader that has replayed from `as_of` on
 * decides this alike, whether it knew the job before or not. */
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

/** A keep record expires this many records after its `as_of`, and an upload
 * this many after its first record. It bounds the memory that a replay needs
 * for them. */
constexpr std::uint64_t kMaxRecordDistance = 4096;

/** State of the stream jobs-P, where P is the partition. It is a deterministic
 * function of the applied records, without clock or I/O. Not thread-safe. */
class job_partition {
 public:
  explicit job_partition(partition_id partition) : partition_(partition) {}

  // Commands (job_cmd.cc).

  /** Clears the state; the next record is the one at `first`. */
  auto Reset(log_offset first) -> void;
  /** Applies the record at `offset`, which must be next_offset(). A record
   * that cannot be parsed is reported as kInvalid. */
  auto Apply(log_offset offset, std::string_view record) -> apply_report;

  // Queries (job_query.cc).

  auto partition() const -> partition_id { return partition_; }
  auto next_offset() const -> log_offset { return next_offset_; }
  /** Epoch of the current claim; std::nullopt before the first claim. */
  auto current_epoch() const -> std::optional<epoch> { return epoch_; }
  /** Writer of the current claim. */
  auto claimant() const -> const record_writer& { return claimant_; }
  /** Returns whether the state equals that of the whole stream. If not, the
   * oldest records were removed by retention before they were rewritten. */
  auto is_complete() const -> bool { return is_complete_; }
  /** Offset of the claim of the last base record. Records before it are not
   * needed for a replay. */
  auto base_from() const -> log_offset { return base_from_; }
  auto Jobs() const -> const std::map<log_offset, job_state>& { return jobs_; }
  /** Returns the job, or nullptr if it is unknown. */
  auto Find(log_offset job) const -> const job_state*;
  /** Returns the job that a workspace submitted under an idempotency key, or
   * nullptr. */
  auto FindByKey(const workspace_id& workspace, std::string_view key) const
      -> const job_state*;
  static auto Counts(const job_state& job) -> job_counts;
  /** Returns one line per item, in order, from the item `first` on, until
   * `bytes` are reached. Items of a cancelled job that were not completed are
   * error lines. Empty unless the job has ended. */
  static auto Results(const job_state& job,
                      std::size_t first = 0,
                      std::size_t bytes = SIZE_MAX) -> std::string;
  /** Returns keep records for state that depends on records before the current
   * claim, of about `budget` bytes at most. `write` formats the fields of a
   * record. The caller must be the owner. */
  auto RecordsToRewrite(
      std::size_t budget,
      const std::function<std::string(boost::json::object)>& write) const
      -> std::vector<std::string>;
  /** Returns whether all state depends only on records from the current claim
   * on, so that a base record may be written. */
  auto IsRewritten() const -> bool;
  /** Fields of the base record. */
  auto BaseFields() const -> boost::json::object;
  /** Returns the ended jobs whose retention time has passed. */
  auto Expired(unix_ms now) const -> std::vector<log_offset>;
  /** Returns an offset such that all records before it were written before
   * `at`. */
  auto OffsetBefore(unix_ms at) const -> log_offset;
  /** Returns the visible state as JSON text, to compare two replays. */
  auto StateText() const -> std::string;

 private:
  friend class job_projection;

  /** An upload whose commit has not been read. The records of an upload are
   * consecutive among those of their writer, so any other record of the writer
   * discards it. */
  struct upload {
    std::string name;  ///< Upload id, the same in all its records.
    log_offset first;  ///< Offset of the first record.
    /** Items by part number. */
    std::map<std::uint64_t, std::vector<item_request>> parts;
  };
  /** References to a job whose header is not known. */
  struct unmatched_job {
    log_offset header;  ///< Last cancel or drop record.
    /** Last fenced record by item index. */
    std::map<std::uint32_t, log_offset> items;
    log_offset last;  ///< Last record that references the job.
  };
  using job_key = std::pair<workspace_id, std::string>;

  partition_id partition_;
  log_offset next_offset_;
  std::optional<epoch> epoch_;
  record_writer claimant_;
  log_offset base_from_;
  std::map<log_offset, job_state> jobs_;
  std::multimap<job_key, log_offset> by_key_;  // See uncertain_before_.
  bool is_complete_ = true;  // Started at offset 0 or has read a base record.
  // First claim of a replay that is not complete yet. A job that depends on
  // records before it may be a resend of a job that the replay does not know
  // and that may have been dropped since. A later submission under the same key
  // is therefore kept as well, until a keep or base record shows which one is
  // current.
  log_offset uncertain_before_;
  std::map<host_id, upload> uploads_;  // By the writer's host.
  std::map<log_offset, unmatched_job> unmatched_jobs_;
  std::map<host_id, std::pair<incarnation, std::uint64_t>> last_seq_;
  std::deque<std::pair<log_offset, unix_ms>> markers_;
  unix_ms last_written_;  // Latest time in a record.
};

}  // namespace dogwood

#endif  // SRC_JOB_BASE_H_
