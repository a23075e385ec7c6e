/** Logic of the owner of one partition: which records to append, which item to
 * send next, and how to handle the outcome of an attempt. */
#ifndef SRC_JOB_OWNER_H_
#define SRC_JOB_OWNER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/job_append.h"
#include "src/job_base.h"
#include "src/job_type.h"

namespace dogwood {

/** Parameters of a partition owner. */
struct owner_policy {
  unsigned max_attempts = 5;    ///< Failures after which an item ends.
  duration initial_backoff{};   ///< Backoff after the first failure.
  duration max_backoff{};       ///< Upper bound of the doubling backoff.
  duration result_retention{};  ///< Retention of results after a job has ended.
  duration rewrite_after{};     ///< Age of records at which state is rewritten.
  /** Bytes of pending results at which dispatch stops. */
  std::size_t result_bytes = 64UL << 20;
  std::size_t append_bytes = 700UL << 10;  ///< Maximum size of one append.
  double rewrite_share = 0.25;  ///< Maximum share of an append for rewriting.
  /** Maximum number of non-repeatable items whose `started` record has not been
   * read back. */
  std::size_t max_starting_items = 64;
};

/** Ownership stage of a partition on this host. */
enum class owner_stage {
  kIdle,      ///< This host does not own the partition.
  kClaiming,  ///< The claim has not been read back.
  kOwning,    ///< Has read everything up to its claim.
  kLost,      ///< Another host has claimed the partition since.
};

/** One attempt of an item, to be sent to a server. */
struct item_run {
  item_ref item;
  item_request request;
  workspace_id workspace;  ///< Workspace that submitted the job.
  bool repeatable = true;  ///< It may be sent again after a failure.
  unsigned attempt = 0;    ///< Number of previous attempts that failed.
};

/** Outcome of one attempt of an item. */
enum class attempt_outcome {
  kResult,    ///< The server answered; the text is the result line.
  kFailed,    ///< Counts as a failed attempt. If the item is not repeatable, it
              ///< was certainly not executed.
  kReturned,  ///< Preempted or no free slot: sent again without counting an
              ///< attempt.
  kUnknown,   ///< Not repeatable and possibly executed: ends as an error line.
};

/** Returns the weight of a workspace in the dispatch queue. */
using weight_function = std::function<double(const workspace_id&)>;
/** Returns whether an item may be sent to a server more than once. */
using repeat_function = std::function<bool(const item_request&)>;

/** Owner of one partition, without I/O or clock. Not thread-safe. */
class partition_owner {
 public:
  partition_owner(partition_id partition,
                  host_id host,
                  incarnation start,
                  owner_policy policy);

  // Ownership and log (job_owner.cc).

  /** Starts a takeover: the replay restarts at `first`, the oldest retained
   * record, and a claim is queued. */
  auto Claim(log_offset first, unix_ms now) -> void;
  /** Gives up ownership and drops the items in flight. Queued records stay:
   * submissions are valid from any host, and readers ignore the others as
   * stale. */
  auto Resign() -> void;
  /** Applies the next record of the stream. */
  auto Apply(log_offset offset, std::string_view record) -> apply_report;
  /** Queues the records that are due (started items, results, drops and
   * rewritten state) and returns the records of the next append. */
  auto StartAppend(unix_ms now) -> std::vector<std::string>;
  /** Handles the outcome of the append in flight. */
  auto HandleAppendOutcome(append_outcome end) -> void {
    queue_.HandleOutcome(end);
  }
  /** Queues a submission. Returns the sequence number of its commit record. */
  auto Submit(const job_submission& submission, unix_ms now) -> std::uint64_t;
  /** Queues a cancel. Returns the sequence number of its record. */
  auto Cancel(log_offset job, unix_ms now) -> std::uint64_t;
  /** Removes a queued record. Returns false if it is in the log or may be. */
  auto Withdraw(std::uint64_t seq) -> bool { return queue_.Withdraw(seq); }

  // Dispatch (job_dispatch.cc).

  /** Returns the targets that have items ready to send. */
  auto Targets(time_point now) const -> std::vector<std::string>;
  /** Returns the next item for `target`. An item that may not be repeated is
   * first recorded as `started`, and returned once that record was read
   * back. */
  auto Next(const std::string& target,
            time_point now,
            const weight_function& weight,
            const repeat_function& may_repeat) -> std::optional<item_run>;
  /** Handles the outcome of an attempt. `text` is the result line for kResult
   * and the reason otherwise. Ignored for items that are not in flight. */
  auto End(const item_ref& item,
           attempt_outcome end,
           std::string text,
           bool failed,
           time_point now) -> void;
  /** Returns and clears the items to abort: those in flight whose job was
   * cancelled or whose owner changed since the last call. */
  auto DrainAborts() -> std::vector<item_ref>;

  auto stage() const -> owner_stage { return stage_; }
  auto projection() const -> const job_partition& { return projection_; }
  auto host() const -> const host_id& { return host_; }
  auto start() const -> incarnation { return start_; }
  /** Returns whether all records have been appended and all results read
   * back. */
  auto IsFlushed() const -> bool;
  /** Returns the number of items in flight. */
  auto in_flight() const -> std::size_t { return running_.size(); }
  /** Returns the bytes of records that are not confirmed by the log. */
  auto queued_bytes() const -> std::size_t { return queue_.bytes(); }
  /** Returns the bytes of results that have not been read back. */
  auto result_bytes() const -> std::size_t { return result_bytes_; }

 private:
  /** Queued items of one job and target. */
  struct job_queue {
    std::deque<std::uint32_t> ready;  ///< In order of submission.
    /** In backoff after a failure. */
    std::multimap<time_point, std::uint32_t> delayed;
  };
  /** Queued items of one workspace and target. */
  struct workspace_queue {
    double pass = 0;  ///< Stride pass; grows by 1/weight per item.
    std::map<log_offset, job_queue> jobs;  ///< In order of submission.
  };
  /** Queued items of one target. */
  struct target_queue {
    double pass = 0;  ///< Pass of the workspace served last.
    std::map<workspace_id, workspace_queue> workspaces;
    std::deque<item_ref> confirmed;  ///< Their `started` record was read back.
    /** Confirmed items in backoff after a failure. */
    std::multimap<time_point, item_ref> confirmed_delayed;
  };
  /** A result that has not been read back from the log. */
  struct pending_result {
    item_result result;
    bool queued = false;  ///< It is in a done record of the current epoch.
  };
  enum class run_kind { kRepeatable, kStarted };

  auto Append(job_record_kind kind, boost::json::object fields)
      -> std::uint64_t;
  auto RecoverItems() -> void;
  auto Enqueue(const job_state& job) -> void;
  auto RemovePendingResult(const item_ref& item) -> void;
  auto RemoveJob(log_offset job) -> void;
  auto HandleClaim(const apply_report& report) -> void;
  auto QueueStarted() -> void;
  auto QueueResults(unix_ms now) -> void;
  auto QueueRewrites(unix_ms now) -> void;
  auto QueueDrops(unix_ms now) -> void;
  auto PopWaiting(target_queue& queue,
                  time_point now,
                  const weight_function& weight) -> std::optional<item_ref>;
  auto PopConfirmed(target_queue& queue, time_point now)
      -> std::optional<item_ref>;
  auto MakeRun(const item_ref& item) const -> item_run;
  auto QueueOf(const item_ref& item) -> target_queue&;
  auto AddPendingResult(const item_ref& item, bool failed, std::string line)
      -> void;
  auto BackoffAfter(unsigned attempts) const -> duration;
  /** Returns whether fenced records may be queued: this host owns the
   * partition and no claim is pending. */
  auto CanQueueFenced() const -> bool {
    return stage_ == owner_stage::kOwning && claim_seq_ == 0;
  }

  host_id host_;
  incarnation start_;
  owner_policy policy_;
  owner_stage stage_ = owner_stage::kIdle;
  job_partition projection_;
  append_queue queue_;
  std::uint64_t claim_seq_ = 0;  // Pending claim, 0 if none.
  std::uint64_t keep_seq_ = 0;   // Last pending keep, base or drop, 0 if none.
  std::map<std::string, target_queue, std::less<>> target_queues_;
  std::map<item_ref, run_kind> running_;
  std::map<item_ref, unsigned> attempts_;
  std::map<item_ref, pending_result> results_;
  std::size_t result_bytes_ = 0;
  std::set<item_ref> starting_;         // Selected, `started` not queued yet.
  std::set<item_ref> starting_queued_;  // `started` queued, not read back.
  std::vector<item_ref> aborts_;
  unix_ms next_rewrite_;
};

}  // namespace dogwood

#endif  // SRC_JOB_OWNER_H_
