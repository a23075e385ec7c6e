/** Batch jobs: the partitions that this host owns, the runs of their items, and
 * the callers' requests, which are routed to the owner of a job's partition. */
#ifndef SRC_HOSTD_BATCH_H_
#define SRC_HOSTD_BATCH_H_

#include <boost/asio/awaitable.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/adapter.h"
#include "src/async_condition.h"
#include "src/batch.h"
#include "src/caller_type.h"
#include "src/fleet.h"
#include "src/hostd_relay.h"
#include "src/http.h"
#include "src/link.h"

namespace dogwood {

struct host_state;

/** Operation of a call on a batch job. */
enum class batch_call_kind : std::uint8_t {
  kSubmit,          ///< Accepts the job in `body`, see EncodeSubmission().
  kResults,         ///< Returns the results from `position` on.
  kItem,            ///< Returns the body of `item`.
  kEnd,             ///< Ends the job.
  kSubmitForOwner,  ///< Like kSubmit, but sent to a host that is not the owner.
  kFind,            ///< Tells whether the job has been accepted.
};

/** Handles a caller's request on a batch job and responds to it. `workspace` is
 * empty for a submission on an open route. `lacks_key` tells that the caller
 * has no known key although the declared state has workspaces; it has access to
 * the jobs of open routes only. */
auto HandleBatchCall(host_state& host,
                     http_exchange& exchange,
                     const caller_request& caller,
                     const workspace_id& workspace,
                     bool lacks_key) -> boost::asio::awaitable<void>;

/** Manages the jobs of the partitions that this host owns. Used on the thread
 * of the event loop only. */
class batch_service {
 public:
  explicit batch_service(host_state& host);
  ~batch_service();

  /** Starts the dispatch loop. */
  auto Start() -> void;
  /** Loads partitions that this host has gained and releases lost ones. Called
   * after `host_state::owned` has changed. */
  auto OwnershipChanged() -> void;
  /** Applies a new declared state to the queued items. */
  auto StateChanged() -> void;
  /** Ends all runs and waits, at most until `deadline`, until their progress is
   * in the log, so that another host can take over. */
  auto HandOver(time_point deadline) -> boost::asio::awaitable<void>;
  /** Handles a call for a partition that this host owns, or kSubmitForOwner for
   * any partition. */
  auto Answer(const wire::batch_callT& call)
      -> boost::asio::awaitable<http_response>;
  /** Changes that let jobs be held by another partition than a new one. */
  auto changes() const -> const placement_changes& { return changes_; }
  /** Partitions in which this host has found jobs. */
  auto found() -> found_jobs& { return found_; }
  /** Returns the tokens that wait on routes with a limit, of jobs of this
   * host's partitions and of those that are being accepted. */
  auto WaitingReport() const -> waiting_report;
  /** Number of open items, waiting or running; for metrics. */
  auto ItemCount() const -> std::size_t { return queue_.Size(); }
  /** Number of items that have an outstanding placement request, and of those
   * that run. */
  auto AwaitingSlotCount() const -> std::size_t { return awaiting_slot_; }
  auto RunningCount() const -> std::size_t { return runs_.size(); }

 private:
  /** Records that are to be appended to the log together. */
  struct pending_record {
    std::vector<std::string> records;  ///< Appended in order, all or none.
    /** Set if the records submit a job. */
    std::optional<batch_id> submitted_job;
    std::optional<batch_id> ended_job;  ///< Set if the record ends a job.
    /** Set if the record is an item's result. */
    std::optional<batch_item_ref> result_item;
    /** Set if the record is an item's progress. */
    std::optional<batch_item_ref> progress_item;
    /** Last event already in the log before that progress. */
    std::uint64_t after_event = 0;
    /** Set if the record is a failed run of an item. */
    std::optional<batch_item_ref> failed_item;
    batch_run_id failed_run;     ///< That run.
    bool may_be_in_log = false;  ///< An append with it got no answer.
    bool is_settled = false;     ///< It is in the log or no longer needed.
    /** Set if the store does not take it: kTooLarge or kStoreFull. */
    std::optional<error_code> refusal;
  };
  /** One partition that this host owns or has owned until recently. */
  struct owned_partition {
    owned_partition(boost::asio::io_context& io,
                    boost::asio::ip::tcp::endpoint store)
        : client(store), store_calls(io), changed(io) {}
    batch_partition projection;  ///< Jobs as replayed from the log.
    bool is_loaded = false;      ///< Set once the log has been read to its end.
    bool is_owned = true;        ///< Cleared when another host becomes owner.
    /** After ownership is lost: until then progress may still be written. */
    time_point writable_until;
    bool is_writing = false;  ///< Set while WriteLoop() runs.
    /** Incremented by each call of Load(), so that an older one stops. */
    unsigned load_version = 0;
    adapter::store_client client;  ///< Connection of this partition's calls.
    /** Serialises the store calls that change `projection`. */
    async_mutex store_calls;
    /** Records to append, in order. */
    std::list<std::shared_ptr<pending_record>> pending;
    /** Appends one pending record at a time, since the store has refused
     * several as too large. */
    bool appends_singly = false;
    /** The store was full; until then nothing is appended. */
    time_point full_until;
    async_condition changed;  ///< Notified of each change of the partition.
  };
  using partition_ptr = std::shared_ptr<owned_partition>;
  /** Tokens of a job that is being accepted, until its partition counts them.
   */
  struct accepted_tokens {
    waiting_tokens row;
    time_point counted_until;
  };
  /** A run in progress. The pointers refer to objects of its coroutine. */
  struct item_run {
    attempt_handle* handle;           ///< Aborts the run.
    const stream_progress* progress;  ///< Progress of the event stream.
    const std::string* output;  ///< Concatenated data of the events so far.
  };

  using run_map = std::map<batch_item_ref, item_run>;
  /** Entry of a run in `runs_` for as long as its coroutine lives. */
  class run_entry {
   public:
    run_entry(run_map& runs, batch_item_ref ref, item_run run)
        : runs_(runs), ref_(std::move(ref)) {
      runs_[ref_] = run;
    }
    run_entry(const run_entry&) = delete;
    auto operator=(const run_entry&) -> run_entry& = delete;
    ~run_entry() { runs_.erase(ref_); }

   private:
    run_map& runs_;
    batch_item_ref ref_;
  };

  /** Whether this host may write to a partition: while it owns it and for
   * kWriteGrace after that. */
  static auto MayWrite(const owned_partition& partition) -> bool;
  auto Load(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<void>;
  /** Applies all records up to the end of the log. Returns false if the store
   * does not answer. */
  auto CatchUp(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<bool>;
  /** Like CatchUp(), for callers that hold `store_calls`. */
  auto ReadToEnd(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<bool>;
  auto ApplyRecords(partition_id id,
                    owned_partition& partition,
                    const std::vector<std::string>& records) -> void;
  auto ApplyChange(partition_id id,
                   owned_partition& partition,
                   const batch_change& change) -> void;
  auto QueueItems(partition_id id, const batch_job& job) -> void;
  auto ApplyProgress(const batch_item_ref& ref, const batch_progress& recorded)
      -> void;
  auto DropItems(partition_id id, const batch_job& job) -> void;
  auto SettlePending(owned_partition& partition) -> void;
  auto Write(partition_id id,
             partition_ptr partition,
             std::shared_ptr<pending_record> record) -> void;
  auto WriteLoop(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<void>;
  auto AppendOnce(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<bool>;
  /** Drops what the store refused as too large, or lets it be found among
   * several records. */
  auto HandleTooLarge(partition_id id,
                      owned_partition& partition,
                      const std::vector<std::shared_ptr<pending_record>>& sent)
      -> void;
  /** Refuses the jobs that are to be appended to a store that is full. All
   * other records wait until it has room. */
  auto HandleFull(partition_id id, owned_partition& partition) -> void;
  auto AwaitSettled(partition_ptr partition,
                    std::shared_ptr<pending_record> record,
                    time_point deadline) -> boost::asio::awaitable<bool>;
  auto AwaitLoaded(partition_ptr partition, time_point deadline)
      -> boost::asio::awaitable<bool>;

  /** Catches up with the log if the known records cannot answer the call.
   * Returns false if the store does not answer. */
  auto EnsureCurrent(partition_id id,
                     partition_ptr partition,
                     const wire::batch_callT& call)
      -> boost::asio::awaitable<bool>;
  /** Tells whether a partition that is current has a job. */
  static auto FindAnswer(const owned_partition& partition, const batch_id& job)
      -> http_response;
  auto Submit(partition_id id,
              partition_ptr partition,
              const batch_submission& submission,
              time_point deadline) -> boost::asio::awaitable<http_response>;
  /** Accepts a job in place of an owner that does not answer. Any host may do
   * so: the conditional append succeeds only at the expected end of the log,
   * and replay drops a second submission. The owner finds the job when it is
   * queried for it, or the next owner when it reads the log. */
  auto SubmitForOwner(partition_id id,
                      const batch_submission& submission,
                      time_point deadline)
      -> boost::asio::awaitable<http_response>;
  /** Waits until this host knows the route of a job, at most until `deadline`.
   */
  auto AwaitRoute(const batch_submission& submission, time_point deadline)
      -> boost::asio::awaitable<void>;
  /** Asks for room for a job within its workspace's limit of waiting tokens.
   * Returns false if there is none. */
  auto ReserveRoom(const batch_submission& submission)
      -> boost::asio::awaitable<bool>;
  auto Results(partition_ptr partition, const wire::batch_callT& call)
      -> boost::asio::awaitable<http_response>;
  auto End(partition_id id,
           partition_ptr partition,
           const wire::batch_callT& call)
      -> boost::asio::awaitable<http_response>;

  auto RunDispatch() -> boost::asio::awaitable<void>;
  auto RunItem(batch_item_ref ref) -> boost::asio::awaitable<void>;
  auto RunPlaced(const batch_item_ref& ref,
                 ticket_id ticket,
                 const registered_server& server)
      -> boost::asio::awaitable<void>;
  auto HandleRunEnd(const batch_item_ref& ref,
                    const attempt_result& result,
                    stream_progress progress,
                    std::string output,
                    const server_id& server) -> void;
  /** Records a failed run of an item, which runs again once the record is in
   * the log, or is given up. */
  auto HandleFailedRun(const batch_item_ref& ref) -> void;
  auto RecordFailure(const batch_item_ref& ref, batch_run_id run) -> void;
  auto RecordResult(const batch_item_ref& ref,
                    batch_item_outcome end,
                    std::string output) -> void;
  auto AbortItem(const batch_item_ref& ref) -> void;
  auto RecordProgress(partition_id id, const partition_ptr& partition) -> void;
  auto RecordItem(const batch_item_ref& ref,
                  const partition_ptr& partition,
                  std::uint64_t last_event,
                  const std::string& output) -> void;
  /** Whether the declared state that this host knows is older than the one
   * under which a job was accepted. Such a state decides nothing about it. */
  auto IsBehind(const batch_submission& submission) const -> bool;
  /** Returns the route of a job in the declared state that this host knows;
   * nullptr if there is none. */
  auto KnownRouteOf(const batch_submission& submission) const
      -> const route_rule*;
  /** Returns the route by which a job's items may run; nullptr if this host is
   * behind the job's state or the route has been removed. */
  auto RouteOf(const batch_submission& submission) const -> const route_rule*;
  auto FindJob(const batch_item_ref& ref) -> const batch_job*;

  host_state& host_;
  std::map<partition_id, partition_ptr> partitions_;
  batch_queue queue_;
  run_map runs_;
  std::size_t awaiting_slot_ =
      0;  // Items with an outstanding placement request.
  std::map<batch_id, accepted_tokens> accepting_;
  placement_changes changes_;
  found_jobs found_;
  std::uint64_t last_grant_ = 0;  // Number of the newest quota grant.
  double run_seconds_;            // Smoothed duration of a complete run.
  time_point next_record_;        // When progress is recorded next.
};

}  // namespace dogwood

#endif  // SRC_HOSTD_BATCH_H_
