/** Placement of requests on server slots: the dispatcher, and the client side
 * of the hosts that send it placement requests. */
#ifndef SRC_HOSTD_PLACEMENT_H_
#define SRC_HOSTD_PLACEMENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/async_condition.h"
#include "src/batch.h"
#include "src/caller_type.h"
#include "src/dispatch.h"
#include "src/link.h"

namespace dogwood {

struct host_state;

/** Interval of a host's reports to the dispatcher. */
inline constexpr std::chrono::milliseconds kHeldReportInterval{250};

/** Returns the tuning of the dispatcher for a deployment. */
auto PolicyFor(const deployment_features& features) -> dispatch_policy;

/** Places the requests of this host on slots, and those of all hosts while this
 * host is the dispatcher. Used on the thread of the event loop only. */
class placement_service {
 public:
  placement_service(host_state& host, std::uint64_t seed);
  ~placement_service();

  /** Starts the timer and report loops. */
  auto Start() -> void;
  /** Waits for a slot. With kGranted the slot is held under the request's
   * ticket until End(). */
  auto Place(placement_request request)
      -> boost::asio::awaitable<placement_answer>;
  /** Returns a new ticket, unique among the placement requests of this host. */
  auto NewTicket() -> ticket_id;
  /** Cancels a waiting placement request whose caller has disconnected; Place()
   * returns soon. */
  auto Withdraw(ticket_id ticket) -> void;
  /** Releases a slot and reports the outcome of the run to the dispatcher. */
  auto End(const run_end_report& end) -> void;
  /** Registers `abort`, which is called if the run is preempted. */
  auto OnPreempt(ticket_id ticket, std::function<void()> abort) -> void;

  /** Asks the dispatcher whether `tokens` more of a workspace's batch items may
   * wait. Returns nullopt if none answers. */
  auto RequestQuota(const batch_quota_key& key,
                    std::uint64_t tokens,
                    std::uint64_t limit)
      -> boost::asio::awaitable<std::optional<batch_grant>>;

  /** Records the load, and the figure of its speed, that a server has reported
   * in an answer. */
  auto RecordLoad(const server_id& server, const reported_load& load) -> void;

  /** Records that a server has said in an answer how much longer it is cold.
   * The dispatcher learns it with the next report. */
  auto RecordCold(const server_id& server, std::chrono::milliseconds left)
      -> void;

  /** Logs, once for each server, that it has said so with a value that cannot
   * be used. */
  auto RejectColdTime(const server_id& server) -> void;

  /** Applies a changed declared state. */
  auto StateChanged() -> void;
  /** Counts the servers of a data centre as cold for a while, since its
   * evacuation has ended. */
  auto SuspectCold(const data_centre_id& data_centre) -> void;
  /** Applies changed registrations of servers and changed evacuations: a server
   * of an evacuated data centre gets nothing new, like one that leaves. */
  auto ServersChanged() -> void;
  /** Applies a changed view of the members, which may choose another
   * dispatcher. */
  auto ViewChanged() -> void;

  /** Handle calls of other hosts. */
  auto HandlePlace(const wire::place_requestT& message)
      -> boost::asio::awaitable<wire_message>;
  auto HandleEnds(const wire::ends_requestT& request) -> void;
  auto HandleHeld(const wire::held_requestT& request) -> wire::held_replyT;
  auto HandlePreempt(const wire::preempt_requestT& request) -> void;
  auto HandleQuota(const wire::quota_requestT& request) -> wire::quota_replyT;

  /** Number of slots held by this host; for metrics. */
  auto HeldCount() const -> std::size_t { return held_.size(); }
  /** Whether the placement requests of this host reach a dispatcher. */
  auto HasDispatcher() const -> bool;
  /** Number of placement requests that wait at this host as dispatcher. */
  auto WaitingCount(work_class work) const -> std::size_t {
    return dispatcher_.WaitingCount(work);
  }
  /** Returns the requests and parts of prompts that are known to crash servers.
   */
  auto Quarantine() const -> quarantine_entries {
    return dispatcher_.Quarantine(clock::now());
  }
  /** Number of servers that count as cold. */
  auto ColdCount() const -> std::size_t {
    return dispatcher_.ColdServers(clock::now()).size();
  }
  /** Number of requests that this host, as dispatcher, deferred because only
   * cold servers had free slots. */
  auto DeferredColdStarts() const -> std::uint64_t {
    return dispatcher_.DeferredColdStarts();
  }
  /** Number of requests on servers that were not placed by this dispatcher. */
  auto ExternalCount() const -> std::size_t {
    return dispatcher_.ExternalCount(clock::now());
  }
  /** Numbers of slow and of fast servers as estimated by this dispatcher; 0 at
   * other hosts, whose estimates are not up to date. */
  auto SlowServers() const -> std::size_t {
    return dispatcher_.IsReady(clock::now()) ? dispatcher_.Speeds().SlowCount()
                                             : 0;
  }
  auto FastServers() const -> std::size_t {
    return dispatcher_.IsReady(clock::now()) ? dispatcher_.Speeds().FastCount()
                                             : 0;
  }
  /** Number of runs from which speeds were learned here. */
  auto SpeedSamples() const -> std::uint64_t {
    return dispatcher_.Speeds().SampleCount();
  }
  /** Number of figures of servers' speeds that were missing or out of range. */
  auto RejectedFigures() const -> std::uint64_t { return rejected_figures_; }
  /** Returns a registered server; nullptr if it is not known. */
  auto FindServer(const server_id& server) const -> const registered_server* {
    return local_.Find(server);
  }

 private:
  struct waiter {
    explicit waiter(boost::asio::steady_timer t) : timer(std::move(t)) {}
    boost::asio::steady_timer timer;  ///< Cancelled when the answer is set.
    /** Set once the dispatcher has decided. */
    std::optional<placement_answer> answer;
  };
  struct held {
    server_id server;               ///< Server that runs the request.
    work_class work;                ///< Class of the run.
    std::function<void()> preempt;  ///< Aborts the run.
  };
  /** Load that a server has reported to this host. */
  struct load_record {
    std::uint32_t count = 0;  ///< Number of requests that run or wait.
    time_point reported_at;   ///< Time of the report.
    std::uint32_t slowness_percent = 0;  ///< Of the server; 0: not reported.
  };
  /** A dispatcher and how this host reaches it. */
  struct target {
    std::string name;     ///< Member name; empty if none.
    std::string address;  ///< Address of its link; empty for this host.
    /** Placement requests may be sent to it until then. */
    time_point valid_until;
  };

  auto PlaceAsDispatcher(placement_request request)
      -> boost::asio::awaitable<placement_answer>;
  auto PlaceAtDispatcher(const placement_request& request,
                         const std::string& address)
      -> boost::asio::awaitable<std::optional<placement_answer>>;
  auto ExpectDispatcher(time_point until) -> void;
  auto PlaceWithoutDispatcher(const placement_request& request)
      -> placement_answer;
  auto DeliverAnswers() -> void;
  auto SendPreemptions() -> void;
  auto FlushEnds() -> boost::asio::awaitable<void>;
  auto QueueEnd(const run_end_report& end) -> void;
  /** What was under quarantine when it was last logged. */
  struct quarantine_log {
    std::set<prompt_part_id> parts;
    std::set<request_hash> requests;
  };
  /** Logs what has come under quarantine or left it. */
  auto LogQuarantine(time_point now) -> void;
  /** Remembers that a server could not be reached, for new dispatchers. */
  auto RecordUnreachable(const server_id& server) -> void;
  /** Returns what this host has seen of servers that may be cold. */
  auto ColdReports(time_point now) -> std::vector<cold_report>;
  /** Logs, as the dispatcher, which servers have become cold or warm. */
  auto LogColdServers(time_point now) -> void;
  /** Logs the servers whose speed has changed much. */
  auto LogSpeeds() -> void;
  /** Returns the figure that a server has reported if it can be used, else 0.
   */
  auto CheckFigure(const server_id& server, const reported_load& load)
      -> std::uint32_t;
  /** Forgets what servers that are no longer registered have reported. */
  auto ForgetLoads() -> void;
  auto RunTicker() -> boost::asio::awaitable<void>;
  auto RunReports() -> boost::asio::awaitable<void>;
  auto ReportHeld(target to) -> boost::asio::awaitable<void>;
  auto HeldSlots() const -> std::vector<held_slot>;
  /** Returns the loads that servers have reported since the previous report. */
  auto ReportedLoads(time_point now) const -> std::vector<server_count>;
  auto RateOf(const workspace_id& workspace) const -> limit_rate;
  auto LocationOf(const data_centre_id& data_centre) const -> host_location;
  /** Stops deciding for a while if this process was paused for so long that
   * another dispatcher may have taken over. */
  auto CheckForPause(time_point now) -> void;
  /** Whether this host, as dispatcher, has heard of no other host for the time
   * after which they no longer send it placement requests: another one may
   * decide for them. */
  auto IsIsolated(time_point now) const -> bool;
  /** Adds the use of limits as counted by this dispatcher to what this host
   * remembers. */
  auto RememberOwnUsage(time_point now) -> void;
  /** Makes the report on the use of limits for the dispatcher `target`. */
  auto MakeUsageReport(const std::string& target, time_point now)
      -> usage_report;

  host_state& host_;
  dispatcher dispatcher_;
  batch_quota quota_;  // Used while this host is the dispatcher.
  usage_memory usage_;
  time_point last_tick_;  ///< Last run of the ticker.
  /** Last report of another host to this dispatcher. */
  time_point last_report_;
  /** When this dispatcher resumed after a pause, until it knows that it still
   * is the dispatcher. */
  std::optional<time_point> resumed_at_;
  local_placement local_;
  bool is_dispatcher_ = false;
  /** When this host stops deciding after another one has become dispatcher. */
  time_point decides_until_;
  std::map<std::pair<host_id, ticket_id>, std::shared_ptr<waiter>> waiters_;
  std::map<ticket_id, held> held_;
  std::map<server_id, load_record> reported_loads_;
  /** Servers whose figure of their speed was missing or out of range. */
  std::set<server_id> rejected_figure_servers_;
  std::uint64_t rejected_figures_ = 0;
  time_point counts_due_;  ///< When the dispatcher is asked for its counts.
  std::uint64_t next_ticket_;
  /** End of the current discovery of a dispatcher. */
  time_point discovery_deadline_;
  /** Notified when a dispatcher has answered. */
  async_condition dispatcher_found_;
  target active_;  ///< Receives the placement requests.
  /** Dispatcher according to the view; becomes active once it is ready. */
  target candidate_;
  std::vector<run_end_report> ends_;
  std::vector<ticket_id> withdrawn_;
  quarantine_log logged_quarantine_;
  bool has_cold_rates_ = false;  ///< Some service declares a rate.
  std::map<server_id, cold_report> cold_reports_;
  std::set<server_id> rejected_cold_times_;  ///< Servers that were logged.
  std::map<server_id, cold_state> logged_cold_;
  time_point cold_log_due_;  ///< Time of the next LogColdServers().
  bool flushing_ = false;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_PLACEMENT_H_
