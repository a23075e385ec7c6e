/** Batch jobs: the partitions that this host owns, the runs of their items, and
 * the callers' calls, which go to the owner of a job's partition. */
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
#include "src/hostd_relay.h"
#include "src/http.h"
#include "src/link.h"

namespace dogwood {

struct host_state;

/** What a call on a batch job asks its owner for. */
enum class batch_call_kind : std::uint8_t {
  kSubmit,          ///< Accept the job in `body`, see EncodeSubmission().
  kResults,         ///< Results from `position` on.
  kItem,            ///< Body of `item`.
  kEnd,             ///< End the job.
  kSubmitForOwner,  ///< The same as kSubmit, at a host that is not the owner.
};

/** Answers a caller's call on a batch job. */
auto HandleBatchCall(host_state& host,
                     http_exchange& exchange,
                     const caller_request& caller,
                     const workspace_id& workspace)
    -> boost::asio::awaitable<void>;

/** Jobs of the partitions that this host owns. */
class batch_service {
 public:
  explicit batch_service(host_state& host);
  ~batch_service();

  /** Starts the loops. */
  auto Start() -> void;
  /** The set of owned partitions has changed. */
  auto OwnershipChanged() -> void;
  /** The declared state has changed. */
  auto StateChanged() -> void;
  /** Ends all runs and waits until what came of them is in the log, at most
   * until `deadline`: another host is to take over. */
  auto HandOver(time_point deadline) -> boost::asio::awaitable<void>;
  /** Answers a call for a partition that this host owns, or kSubmitForOwner
   * for any. */
  auto Answer(const wire::batch_callT& call)
      -> boost::asio::awaitable<http_response>;
  /** Items that wait or run, for metrics. */
  auto ItemCount() const -> std::size_t { return queue_.Size(); }
  /** Items that wait for a slot, and those that run. */
  auto AskingCount() const -> std::size_t { return asking_; }
  auto RunningCount() const -> std::size_t { return running_; }

 private:
  /** A record on its way into the log. */
  struct pending_record {
    std::vector<std::string> records;     ///< Appended together.
    std::optional<batch_id> opens;        ///< Job that it submits.
    std::optional<batch_id> ends;         ///< Job that it ends.
    std::optional<batch_item_ref> lists;  ///< Item whose result it is.
    std::optional<batch_item_ref> tells;  ///< Item whose progress it is.
    std::uint64_t after_event = 0;        ///< Recorded before that progress.
    bool may_be_in_log = false;           ///< An append with it had no answer.
    bool is_settled = false;  ///< It is in the log, or needless by now.
  };
  /** One partition of this host. */
  struct owned_partition {
    owned_partition(boost::asio::io_context& io,
                    boost::asio::ip::tcp::endpoint store)
        : client(store), store_calls(io), changed(io) {}
    batch_partition projection;    ///< As read from the log.
    bool is_loaded = false;        ///< The log has been read to its end.
    bool is_owned = true;          ///< False once another host owns it.
    time_point written_until;      ///< Once not owned: end of its last writes.
    bool is_writing = false;       ///< WriteLoop() runs.
    unsigned load_version = 0;     ///< Counts the calls of Load().
    adapter::store_client client;  ///< For this partition's calls.
    async_mutex store_calls;       ///< Around calls that change `fold`.
    std::list<std::shared_ptr<pending_record>> pending;  ///< In order.
    async_condition changed;  ///< Notified of each change.
  };
  using partition_ptr = std::shared_ptr<owned_partition>;
  /** A run of an item under way; points into its coroutine. */
  struct item_run {
    attempt_handle* handle;           ///< Ends it.
    const stream_progress* progress;  ///< How far it has come.
    const std::string* output;        ///< Data of the events so far.
  };

  /** Whether this host may write to a partition: while it owns it and a moment
   * longer. */
  static auto IsWritten(const owned_partition& partition) -> bool;
  auto Load(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<void>;
  /** Applies the records up to the end of the log; false if the store does not
   * answer. */
  auto CatchUp(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<bool>;
  /** The same within `store_calls`. */
  auto ReadToEnd(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<bool>;
  auto ApplyRecords(partition_id id,
                    owned_partition& partition,
                    const std::vector<std::string>& records) -> void;
  auto TakeChange(partition_id id,
                  owned_partition& partition,
                  const batch_change& change) -> void;
  auto QueueItems(partition_id id, const batch_job& job) -> void;
  auto UpdateProgress(const batch_item_ref& ref, const batch_progress& recorded)
      -> void;
  auto DropItems(partition_id id, const batch_job& job) -> void;
  auto Settle(owned_partition& partition) -> void;
  auto Write(partition_id id,
             partition_ptr partition,
             std::shared_ptr<pending_record> record) -> void;
  auto WriteLoop(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<void>;
  auto AppendOnce(partition_id id, partition_ptr partition)
      -> boost::asio::awaitable<bool>;
  auto AwaitSettled(partition_ptr partition,
                    std::shared_ptr<pending_record> record,
                    time_point deadline) -> boost::asio::awaitable<bool>;
  auto AwaitLoaded(partition_ptr partition, time_point deadline)
      -> boost::asio::awaitable<bool>;

  /** Reads the end of the log if what this host knows does not answer the
   * call; false if the store does not answer. */
  auto Verify(partition_id id,
              partition_ptr partition,
              const wire::batch_callT& call) -> boost::asio::awaitable<bool>;
  auto Submit(partition_id id,
              partition_ptr partition,
              const batch_submission& submission,
              time_point deadline) -> boost::asio::awaitable<http_response>;
  /** Accepts a job in place of an owner that does not answer. Any host may: an
   * append counts only at the end of the log that it was made for, and the fold
   * drops a second submission. The owner finds the job when it is asked for it,
   * or the next owner when it reads the log. */
  auto SubmitForOwner(partition_id id,
                      const batch_submission& submission,
                      time_point deadline)
      -> boost::asio::awaitable<http_response>;
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
  auto TakeRun(const batch_item_ref& ref,
               const attempt_result& result,
               stream_progress progress,
               std::string output,
               const server_id& server) -> void;
  auto List(const batch_item_ref& ref,
            batch_item_outcome end,
            std::string output) -> void;
  auto AbortItem(const batch_item_ref& ref) -> void;
  auto RecordProgress(partition_id id, const partition_ptr& partition) -> void;
  auto RecordItem(const batch_item_ref& ref,
                  const partition_ptr& partition,
                  std::uint64_t last_event,
                  const std::string& output) -> void;
  auto RouteOf(const batch_submission& submission) const -> const route_rule*;
  auto FindJob(const batch_item_ref& ref) -> const batch_job*;

  host_state& host_;
  std::map<partition_id, partition_ptr> partitions_;
  batch_queue queue_;
  std::map<batch_item_ref, item_run> runs_;
  std::size_t asking_ = 0;  // Items that wait for a slot.
  std::size_t running_ = 0;
  double run_seconds_;      // Smoothed time of a whole run.
  time_point next_record_;  // Of progress.
};

}  // namespace dogwood

#endif  // SRC_HOSTD_BATCH_H_
