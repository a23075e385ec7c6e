/** Placement of requests on the slots of backend servers.
 *
 * Servers admit requests in order of arrival and have no priorities, so
 * requests are queued here instead of at the servers. One host, the dispatcher,
 * counts the slots of all servers; the other hosts send it placement requests.
 * It is designed for bursts of online requests that last seconds, over batch
 * work that fills the time between them. An online request gets a free slot,
 * preempts a batch run, is queued if a slot is expected to be free in time, or
 * is refused at once with a time to retry. */
#ifndef SRC_DISPATCH_BASE_H_
#define SRC_DISPATCH_BASE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch_cold.h"
#include "src/dispatch_quarantine.h"
#include "src/dispatch_speed.h"
#include "src/dispatch_type.h"
#include "src/dispatch_usage.h"

namespace dogwood {

/** Slots, queues and limits of one dispatcher. Has no clock and no I/O; random
 * choices follow from the seed. Not thread-safe. */
class dispatcher {
 public:
  dispatcher(dispatch_policy policy, std::uint64_t seed);

  // Commands.

  /** Clears all state and starts to decide after the policy's warm-up. */
  auto Start(time_point now) -> void;
  /** Refuses all queued requests, and new ones until the next Start(), with
   * kNotReady. */
  auto Stop() -> void;
  /** Refuses requests with kNotReady until `until`, since another dispatcher
   * may have taken over while this process was paused. */
  auto Suspend(time_point until) -> void {
    ready_at_ = until;
    cold_.HoldUntil(until + kColdWindow);
  }
  /** Replaces the servers and the region of each data centre. */
  auto SetServers(std::vector<registered_server> servers,
                  std::map<data_centre_id, region_id> regions) -> void;
  /** Replaces the declared request rates of cold servers. */
  auto SetColdRates(cold_rates rates) -> void {
    cold_.SetRates(std::move(rates));
  }
  /** Counts the servers of a data centre as cold for kSuspicionTime, since its
   * evacuation has ended. */
  auto SuspectCold(const data_centre_id& data_centre, time_point now) -> void;
  /** Records what a host has seen of servers that may be cold. Servers that it
   * could not reach count only for a dispatcher that has just started; others
   * know it from the ends of runs. */
  auto RecordColdReports(std::span<const cold_report> reports, time_point now)
      -> void;
  /** Places, queues or refuses a request; `rate` is the limit of its workspace.
   * The answer is returned by DrainNotices(), possibly at once. */
  auto RequestSlot(placement_request request,
                   const limit_rate& rate,
                   time_point now) -> void;
  /** Cancels a queued request; it is answered with kNoCapacity. */
  auto Withdraw(const host_id& host, ticket_id ticket) -> void;
  /** Releases the slot of a run that has ended. */
  auto End(const host_id& host, const run_end_report& end, time_point now)
      -> void;
  /** Applies a host's complete list of slots in use: adds slots that are not
   * counted yet, and releases those that are not listed any more. */
  auto ReconcileHeldSlots(const host_id& host,
                          std::span<const held_slot> held,
                          time_point now) -> void;
  /** Records loads that servers report, running and waiting requests together.
   * What exceeds the slots counted here is external load: requests of hosts
   * that cannot reach this dispatcher, or that their callers have abandoned. */
  auto RecordReportedLoads(std::span<const server_count> reported,
                           time_point now) -> void;
  /** As a host that is not the dispatcher: takes over the estimates that the
   * dispatcher has sent, see CountsNear(). */
  auto AdoptSpeeds(std::span<const server_count> rows, time_point now) -> void;
  /** Removes and returns the changes of servers' speeds to log. */
  auto DrainSpeedChanges() -> std::vector<speed_change> {
    return speeds_.DrainChanges();
  }
  /** Records what a host knows of the use of limits. */
  auto RecordUsage(const usage_report& report, time_point now) -> void;
  /** Takes over what other hosts have under quarantine. */
  auto MergeQuarantine(const quarantine_entries& found, time_point now) -> void;
  /** As a host that is not the dispatcher: takes over its quarantine. */
  auto ReplaceQuarantine(const quarantine_entries& found, time_point now)
      -> void;
  /** Releases the slots of hosts that have timed out, refuses overdue requests
   * and serves the queues. */
  auto Advance(time_point now) -> void;
  /** Removes and returns the pending answers. */
  auto DrainNotices() -> std::vector<placement_notice>;
  /** Removes and returns the batch runs to end for online requests. */
  auto DrainPreemptions() -> std::vector<preemption>;

  // Queries.

  auto IsReady(time_point now) const -> bool { return now >= ready_at_; }
  /** Whether the request, or a part of its prompt, crashes servers. */
  auto IsQuarantined(const placement_request& request, time_point now) const
      -> bool {
    return quarantine_.Contains(request.prompt, now) ||
           (request.content &&
            request_quarantine_.Contains(*request.content, now));
  }
  /** Returns the requests and the parts of prompts that crash servers. */
  auto Quarantine(time_point now) const -> quarantine_entries {
    return {quarantine_.Entries(now), request_quarantine_.Entries(now)};
  }
  /** Use of the limits of which `min_share` of the burst or more is in use. */
  auto Usage(double min_share, time_point now) const
      -> std::vector<limit_usage>;
  /** Identifies the time since the latest Start(). */
  auto Term() const -> dispatcher_term { return term_; }
  /** Tokens of a workspace in use. */
  auto UsedTokens(const workspace_id& workspace, time_point now) const
      -> double {
    return limits_.Used(workspace, now);
  }
  /** Returns the slots in use on the servers that have any, the nearest to
   * `place` first, `max_rows` servers at most. If speeds are learned, the rows
   * have the servers' estimates, and unused servers that are not typical follow
   * within the same limit. */
  auto CountsNear(const host_location& place, std::size_t max_rows) const
      -> std::vector<server_count>;
  /** Estimates of the servers' speeds; for metrics. */
  auto Speeds() const -> const server_speeds& { return speeds_; }
  /** External load of all servers, as reported by them. */
  auto ExternalCount(time_point now) const -> std::size_t;
  /** Returns the servers that count as cold. */
  auto ColdServers(time_point now) const -> std::vector<cold_server>;
  /** Requests for which only cold servers had free slots, and these had had
   * their share, since the start of the process. */
  auto DeferredColdStarts() const -> std::uint64_t {
    return deferred_cold_starts_;
  }
  /** Queued requests of a class. */
  auto WaitingCount(work_class work) const -> std::size_t;
  /** Slots of a service that are not in use, on servers not in backoff. */
  auto FreeSlots(const service_id& service, time_point now) const
      -> std::uint32_t;

 private:
  using slot_key = std::pair<host_id, ticket_id>;
  struct slot {
    server_id server;
    work_class work = work_class::kOnline;
    bool is_preempted = false;  ///< Still running, but its slot is given away.
    time_point granted_at;
    prompt_parts prompt = {};  ///< Of the request, if it was placed here.
    std::optional<request_hash> content = {};  ///< As above.
    run_start start = {};  ///< As above; set if speeds are learned.
  };
  /** Highest count of the last one to two intervals of reported_load_ttl. Loads
   * are compared with it because they arrive late. */
  struct recent_peak {
    std::uint32_t current = 0;   ///< Peak of the current interval.
    std::uint32_t previous = 0;  ///< Peak of the interval before.
    time_point rotates_at;       ///< End of the current interval.
  };
  struct server_row {
    registered_server info;       ///< As registered.
    bool listed = false;          ///< Whether it is in the latest list.
    std::uint32_t used = 0;       ///< Slots in use, without preempted runs.
    std::uint32_t preempted = 0;  ///< Preempted runs that have not ended.
    std::set<slot_key> batch;     ///< Batch runs that are not preempted.
    recent_peak peak;             ///< Peak of `used` + `preempted`.
    std::uint32_t external = 0;   ///< Reported load that is not counted here.
    time_point external_until;    ///< `external` is valid until then.
    time_point backs_off_until;   ///< Gets no requests before then.
    duration last_backoff{};      ///< Zero after a complete answer.
    const region_id* region = nullptr;  ///< In regions_; null: unknown.
    const server_pace* pace = nullptr;  ///< Null unless speeds are learned.
  };
  /** Returns the longest time that lets a batch item end on time, relative to
   * that on a typical empty server. */
  auto BatchSlack(const placement_request& request, time_point now) const
      -> double;
  /** Distance class: 0 same data centre, 1 same region, 2 elsewhere. */
  auto TierOf(const server_row& row, const host_location& place) const -> int;
  /** Whether a server can run a request if it has a free slot and, while cold,
   * has not had its share. */
  auto IsAvailable(const server_row& row,
                   const placement_request& request,
                   time_point now) const -> bool;
  /** As above, and it has not had its share or is warm. */
  auto IsUsable(const server_row& row,
                const placement_request& request,
                time_point now) const -> bool;
  /** Whether a cold server would run the request had it not had its share. */
  auto IsDeferredByCold(const placement_request& request, time_point now) const
      -> bool;
  auto SlotsFor(work_class work, const server_row& row) const -> std::uint32_t;
  /** Requests on a server, external load included. */
  static auto LoadOf(const server_row& row, time_point now) -> std::uint32_t;
  auto RecordPeak(server_row& row, time_point now) -> void;
  auto FindFree(const placement_request& request, time_point now)
      -> server_row*;
  /** As FindFree(), by what is learned of the servers' speeds. */
  auto FindFreeBySpeed(const placement_request& request, time_point now)
      -> server_row*;
  auto FindBatchRun(const placement_request& request, time_point now)
      -> std::optional<slot_key>;
  /** Whether the region of a server is allowed for a request. */
  auto IsInAllowedRegion(const server_row& row,
                         const placement_request& request) const -> bool;
  /** Whether a server may ever run a request: it is listed, runs the service
   * and is in an allowed region. */
  auto CanServe(const server_row& row, const placement_request& request) const
      -> bool;
  auto HasServer(const placement_request& request) const -> bool;
  auto Grant(const placement_request& request, server_row& row, time_point now)
      -> void;
  auto TryPlace(const placement_request& request, time_point now) -> bool;
  auto Refuse(const placement_request& request,
              placement_verdict verdict,
              time_point now) -> void;
  auto ConsumeToken(const placement_request& request,
                    const limit_rate& rate,
                    time_point now) -> bool;
  auto RefundToken(const placement_request& request) -> void;
  auto EstimateWait(const placement_request& request, time_point now) const
      -> duration;
  /** Requests a second that a cold server is expected to take; 0 while it is in
   * backoff or avoided. */
  auto ColdRate(const server_row& row,
                const placement_request& request,
                time_point now) const -> double;
  /** Number of refused callers that are expected to retry by `end`. */
  auto ExpectedRetries(const service_id& service, time_point end) const
      -> std::ptrdiff_t;
  /** Records what the end of a run tells about its request and server. */
  auto RecordEvidence(const slot& run,
                      const run_end_report& end,
                      time_point now) -> void;
  auto Release(const slot_key& key) -> void;
  auto Preempt(const slot_key& key) -> void;
  auto RefuseOverdue(std::list<placement_request>& queue, time_point now)
      -> void;
  auto ServeQueue(std::list<placement_request>& queue, time_point now) -> void;
  /** Whether `a` comes before `b` in a queue. Retries come first: their callers
   * have waited longest and give up after a second refusal. */
  static auto IsAhead(const placement_request& a, const placement_request& b)
      -> bool;
  auto Enqueue(std::list<placement_request>& queue, placement_request request)
      -> void;
  auto RetryTime(time_point now) -> time_point;

  dispatch_policy policy_;
  std::mt19937_64 random_;
  time_point ready_at_ = time_point::max();
  dispatcher_term term_;
  std::map<server_id, server_row> servers_;
  std::map<data_centre_id, region_id> regions_;
  std::map<slot_key, slot> slots_;
  std::map<host_id, time_point> host_deadlines_;
  limit_ledger limits_;
  cold_starts cold_;  // Kept over Start(), since the servers stay the same.
  std::uint64_t deferred_cold_starts_ = 0;
  std::list<placement_request> online_;  // In queue order.
  std::list<placement_request> batch_;   // In queue order.
  /** When refused callers are expected to retry; they have precedence then. */
  std::map<service_id, std::multiset<time_point>> expected_retries_;
  /** Kept when another host becomes dispatcher, and over Start(). */
  prompt_quarantine quarantine_;
  server_speeds speeds_;                   // Likewise.
  request_quarantine request_quarantine_;  // Likewise.
  std::vector<placement_notice> notices_;
  std::vector<preemption> preemptions_;
  double run_seconds_;  // Moving average of the duration of an online run.
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_BASE_H_
