/** What the owner of one partition decides: which records to append, which
 * item to send next, and what becomes of its outcome. */
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

/** Constants of an owner. */
struct owner_policy {
  unsigned max_attempts = 5;               ///< Failures that end an item.
  duration initial_backoff{};              ///< After the first failure.
  duration max_backoff{};                  ///< It doubles up to this.
  duration result_retention{};             ///< Results stay after the end.
  duration rewrite_after{};                ///< Age at which state is rewritten.
  std::size_t result_bytes = 64UL << 20;   ///< Unsettled results; then stop.
  std::size_t append_bytes = 700UL << 10;  ///< Of one append.
  double rewrite_share = 0.25;             ///< Of an append, at most.
  std::size_t starting_items = 64;  ///< Not repeatable ones under way to start.
};

/** Where an owner stands. */
enum class owner_stage {
  kIdle,      ///< Not owner.
  kClaiming,  ///< The claim has not been read back.
  kOwning,    ///< Has read everything before its claim.
  kLost,      ///< Another claim followed.
};

/** An item to be sent to a server. */
struct item_run {
  item_ref item;           ///< Which item.
  item_request request;    ///< What to send.
  workspace_id workspace;  ///< Whose it is.
  bool repeatable = true;  ///< It may be sent again after a failure.
  unsigned attempt = 0;    ///< Number of attempts that failed before.
};

/** How a run ended. */
enum class attempt_outcome {
  kResult,    ///< `line` is the result.
  kFailed,    ///< Counts as an attempt. Not repeatable: certainly not run.
  kReturned,  ///< Preempted or no room: certainly to be sent again.
  kUnknown,   ///< Not repeatable and perhaps run: ends as an error line.
};

/** Weight of a workspace in the dispatch queue. */
using weight_function = std::function<double(const workspace_id&)>;
/** Whether an item may be sent to a server more than once. */
using repeat_function = std::function<bool(const item_request&)>;

/** Owner of one partition. Has no I/O and no clock. Not thread-safe. */
class partition_owner {
 public:
  partition_owner(partition_id partition,
                  host_id host,
                  incarnation start,
                  owner_policy policy);

  // Ownership and log (job_owner.cc).

  /** Begins to take over: the fold starts at `first`, the oldest retained
   * record; a claim is queued. */
  auto Claim(log_offset first, unix_ms now) -> void;
  /** Stops to be owner and forgets the items in flight. Records in the queue
   * stay: submissions are valid from any host, the fold drops the others. */
  auto Resign() -> void;
  /** Applies the next record of the stream. */
  auto Apply(log_offset offset, std::string_view record) -> fold_report;
  /** Queues what is due - started items, results, rewriting - and takes the
   * records of the next append. */
  auto StartAppend(unix_ms now) -> std::vector<std::string>;
  /** Takes the outcome of the append. */
  auto HandleAppendOutcome(append_outcome end) -> void { queue_.End(end); }
  /** Queues a submission; the number of its commit record. */
  auto Submit(const job_submission& submission, unix_ms now) -> std::uint64_t;
  /** Queues a cancel; the number of its record. */
  auto Cancel(log_offset job, unix_ms now) -> std::uint64_t;
  /** Removes a record; false if it is or may be in the log. */
  auto Withdraw(std::uint64_t seq) -> bool { return queue_.Withdraw(seq); }

  // Dispatch (job_dispatch.cc).

  /** Targets that have items waiting or cleared to start. */
  auto Targets(time_point now) const -> std::vector<std::string>;
  /** Next item for `target`. An item that may not be repeated is first queued
   * as `started` and returned once that was read back. */
  auto Next(const std::string& target,
            time_point now,
            const weight_function& weight,
            const repeat_function& may_repeat) -> std::optional<item_run>;
  /** Takes the outcome of a run. `text` is the result line of kResult, the
   * reason of the others. Ignored for items that are not in flight. */
  auto End(const item_ref& item,
           attempt_outcome end,
           std::string text,
           bool failed,
           time_point now) -> void;
  /** Items in flight whose job was cancelled or whose owner changed since the
   * last call: to be aborted. */
  auto TakeAborts() -> std::vector<item_ref>;

  auto stage() const -> owner_stage { return stage_; }
  auto projection() const -> const job_partition& { return fold_; }
  auto host() const -> const host_id& { return host_; }
  auto start() const -> incarnation { return start_; }
  /** Whether all records have been appended and all results read back. */
  auto IsFlushed() const -> bool;
  /** Number of items in flight. */
  auto in_flight() const -> std::size_t { return running_.size(); }
  /** Bytes of records that wait for the log. */
  auto queued_bytes() const -> std::size_t { return queue_.bytes(); }
  /** Bytes of results that have not been read back. */
  auto result_bytes() const -> std::size_t { return result_bytes_; }

 private:
  /** Waiting items of one job and target. */
  struct job_line {
    std::deque<std::uint32_t> ready;                   ///< In order.
    std::multimap<time_point, std::uint32_t> delayed;  ///< After failures.
  };
  /** Waiting items of one workspace and target. */
  struct workspace_line {
    double pass = 0;                      ///< Grows by 1/weight per item.
    std::map<log_offset, job_line> jobs;  ///< In order of submission.
  };
  /** Waiting items of one target. */
  struct target_line {
    double pass = 0;                                      ///< Of the last.
    std::map<workspace_id, workspace_line> workspaces;    ///< By workspace.
    std::deque<item_ref> cleared;                         ///< Started.
    std::multimap<time_point, item_ref> cleared_delayed;  ///< After failures.
  };
  /** A result on its way into the log. */
  struct unsettled {
    item_result result;   ///< The result.
    bool queued = false;  ///< A done record of the current epoch holds it.
  };
  enum class run_kind { kRepeatable, kStarted };

  auto Append(job_record_kind kind, boost::json::object fields)
      -> std::uint64_t;
  auto TakeOver() -> void;
  auto Enqueue(const job_state& job) -> void;
  auto Settle(const item_ref& item) -> void;
  auto DropJob(log_offset job) -> void;
  auto OnClaim(const fold_report& report) -> void;
  auto QueueStarted() -> void;
  auto QueueResults(unix_ms now) -> void;
  auto QueueRewriting(unix_ms now) -> void;
  auto QueueDrops(unix_ms now) -> void;
  auto TakeWaiting(target_line& line,
                   time_point now,
                   const weight_function& weight) -> std::optional<item_ref>;
  auto TakeCleared(target_line& line, time_point now)
      -> std::optional<item_ref>;
  auto RunOf(const item_ref& item) const -> item_run;
  auto LineOf(const item_ref& item) -> target_line&;
  auto Unsettle(const item_ref& item, bool failed, std::string line) -> void;
  auto DelayAfter(unsigned attempts) const -> duration;
  /** Whether fenced records may be queued: no claim is under way. */
  auto MayFence() const -> bool {
    return stage_ == owner_stage::kOwning && claim_seq_ == 0;
  }

  host_id host_;
  incarnation start_;
  owner_policy policy_;
  owner_stage stage_ = owner_stage::kIdle;
  job_partition fold_;
  append_queue queue_;
  std::uint64_t claim_seq_ = 0;  // Of a claim not read back, 0 if none.
  std::uint64_t keep_seq_ = 0;   // Of the last keep, base or drop not read.
  std::map<std::string, target_line, std::less<>> lines_;
  std::map<item_ref, run_kind> running_;
  std::map<item_ref, unsigned> attempts_;
  std::map<item_ref, unsettled> results_;
  std::size_t result_bytes_ = 0;
  std::set<item_ref> starting_;         // Chosen; no record queued.
  std::set<item_ref> starting_queued_;  // Record queued, not read back.
  std::vector<item_ref> aborts_;
  unix_ms next_rewrite_;
};

}  // namespace dogwood

#endif  // SRC_JOB_OWNER_H_
