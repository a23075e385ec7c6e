/** Placement of requests on the slots of backend servers.
 *
 * Servers admit requests in order of arrival and know no priorities, so
 * requests wait here and not there. One host, the dispatcher, counts the slots
 * of all servers; the others ask it for one. Load pattern answered: bursts of
 * online work that last seconds, over batch work that fills the time between
 * them. An online ask takes a free slot, or the slot of a batch run, or waits
 * if a slot will be free in time, or is refused at once with a time to return.
 */
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

#include "src/dispatch_type.h"

namespace dogwood {

/** Slots, queues and limits of one dispatcher. Has no clock, no I/O and no
 * randomness of its own. Not thread-safe. */
class dispatcher {
 public:
  dispatcher(dispatch_policy policy, std::uint64_t seed);

  // Commands.

  /** Begins to decide after the policy's warm-up; forgets what it counted. */
  auto Start(time_point now) -> void;
  /** Decides no more until the next Start(); waiting asks are sent away. */
  auto Stop() -> void;
  /** Replaces the servers and where each data centre is. */
  auto SetServers(std::vector<registered_server> servers,
                  std::map<data_centre_id, region_id> regions) -> void;
  /** Takes an ask; `rate` is the limit of its workspace. The answer comes with
   * DrainNotices(), maybe at once. */
  auto Ask(placement_request ask, const limit_rate& rate, time_point now)
      -> void;
  /** The host no longer wants a slot; the answer is kNoCapacity. */
  auto Withdraw(const host_id& host, ticket_id ticket) -> void;
  /** Takes the end of a run. */
  auto End(const host_id& host, const run_end_report& end, time_point now)
      -> void;
  /** Takes the whole list of slots that a host uses. */
  auto ReconcileHeldSlots(const host_id& host,
                          std::span<const held_slot> held,
                          time_point now) -> void;
  /** Takes loads that servers have told, running and waiting requests
   * together. What is beyond the slots counted here is of others: hosts that do
   * not reach this dispatcher, or requests that their caller has given up. */
  auto RecordReportedLoads(std::span<const server_count> told, time_point now)
      -> void;
  /** Drops silent hosts, serves and refuses waiting asks. */
  auto Advance(time_point now) -> void;
  /** Answers that are due. */
  auto DrainNotices() -> std::vector<placement_notice>;
  /** Batch runs to be ended for online work. */
  auto DrainPreemptions() -> std::vector<preemption>;

  // Queries.

  auto IsReady(time_point now) const -> bool { return now >= ready_at_; }
  /** Requests on each server. */
  auto Counts() const -> std::vector<server_count>;
  /** Requests on all servers that are not counted here, as servers told. */
  auto ExternalCount(time_point now) const -> std::size_t;
  /** Asks that wait, by class. */
  auto WaitingCount(work_class work) const -> std::size_t;
  /** Slots that are neither used nor paused. */
  auto FreeSlots(const service_id& service, time_point now) const
      -> std::uint32_t;

 private:
  using slot_key = std::pair<host_id, ticket_id>;
  struct slot {
    server_id server;                       ///< Where it is.
    work_class work = work_class::kOnline;  ///< What uses it.
    bool yields = false;    ///< Told to end; its place is taken already.
    time_point granted_at;  ///< When it was granted.
  };
  /** Highest count of the last one or two reported_load_ttl, since loads arrive
   * late.
   */
  struct recent_peak {
    std::uint32_t current = 0;   ///< Of the span under way.
    std::uint32_t previous = 0;  ///< Of the span before.
    time_point turns_at;         ///< End of the span under way.
  };
  struct server_row {
    registered_server info;      ///< As registered.
    bool listed = false;         ///< In the last list.
    std::uint32_t used = 0;      ///< Slots that do not yield.
    std::uint32_t yielding = 0;  ///< Runs told to end that have not ended yet.
    std::set<slot_key> batch;    ///< Batch runs that do not yield.
    recent_peak peak;            ///< Of `used` and `yielding` together.
    std::uint32_t others = 0;    ///< Requests that are not counted here.
    time_point others_until;     ///< They count until then.
    time_point paused_until;     ///< Gets nothing before then.
    duration last_pause{};       ///< Doubles while it cannot be reached.
  };
  struct bucket {
    double level = 0;      ///< Tokens.
    time_point filled_at;  ///< Time of the last fill.
  };
  auto Tier(const server_row& row, const host_location& place) const -> int;
  auto IsUsable(const server_row& row,
                const placement_request& ask,
                time_point now) const -> bool;
  auto SlotsFor(work_class work, const server_row& row) const -> std::uint32_t;
  /** Requests on a server, those of others included. */
  static auto LoadOf(const server_row& row, time_point now) -> std::uint32_t;
  auto NotePeak(server_row& row, time_point now) -> void;
  auto FindFree(const placement_request& ask, time_point now) -> server_row*;
  auto FindBatchRun(const placement_request& ask, time_point now)
      -> std::optional<slot_key>;
  auto HasServer(const service_id& service) const -> bool;
  auto Grant(const placement_request& ask, server_row& row, time_point now)
      -> void;
  auto TryPlace(const placement_request& ask, time_point now) -> bool;
  auto Refuse(const placement_request& ask,
              placement_verdict verdict,
              time_point now) -> void;
  auto ConsumeToken(const placement_request& ask,
                    const limit_rate& rate,
                    time_point now) -> bool;
  auto ReturnToken(const placement_request& ask) -> void;
  auto WaitOf(const placement_request& ask, time_point now) const -> duration;
  /** Refused callers that were told to return up to `end`. */
  auto ReturnsUntil(const service_id& service, time_point end) const
      -> std::ptrdiff_t;
  auto Release(const slot_key& key) -> void;
  auto Yield(const slot_key& key) -> void;
  auto RefuseOverdue(std::list<placement_request>& queue, time_point now)
      -> void;
  auto ServeQueue(std::list<placement_request>& queue, time_point now) -> void;
  auto Enqueue(std::list<placement_request>& queue, placement_request ask)
      -> void;
  auto ReturnTime(time_point now) -> time_point;

  dispatch_policy policy_;
  std::mt19937_64 random_;
  time_point ready_at_ = time_point::max();
  std::map<server_id, server_row> servers_;
  std::map<data_centre_id, region_id> regions_;
  std::map<slot_key, slot> slots_;
  std::map<host_id, time_point> silent_after_;
  std::map<workspace_id, bucket> buckets_;
  std::list<placement_request> online_;  // In order of service.
  std::list<placement_request> batch_;   // In order of service.
  /** When refused callers are expected back; they go first then. */
  std::map<service_id, std::multiset<time_point>> returns_;
  std::vector<placement_notice> notices_;
  std::vector<preemption> preemptions_;
  double run_seconds_;  // Smoothed time of an online run.
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_BASE_H_
