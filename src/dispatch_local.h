/** Fallback placement by a single host while no dispatcher answers. */
#ifndef SRC_DISPATCH_LOCAL_H_
#define SRC_DISPATCH_LOCAL_H_

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "src/dispatch_cold.h"
#include "src/dispatch_type.h"

namespace dogwood {

/** One host's own view of servers and limits, used while it has no dispatcher.
 * Has no clock and no I/O. Not thread-safe. */
class local_placement {
 public:
  /** This host admits `share` of a workspace's rate, divided by the number of
   * hosts. `share` is below 1 because other hosts may still have a dispatcher.
   */
  local_placement(double share, std::uint64_t seed);

  /** Replaces the servers and the region of each data centre. */
  auto SetServers(std::vector<registered_server> servers,
                  std::map<data_centre_id, region_id> regions) -> void;
  /** Sets the number of hosts that share each limit; a large number is assumed
   * until then. */
  auto SetHostCount(std::size_t hosts) -> void;
  /** Stores the dispatcher's latest counts; servers that are not listed are
   * free. They are used until `until` only, since they become outdated. */
  auto SetCounts(const std::vector<server_count>& counts, time_point until)
      -> void;
  /** Defers batch work until then, since a dispatcher is expected by that time.
   */
  auto ExpectDispatcher(time_point until) -> void { expected_until_ = until; }
  /** Records that this host started or ended a run on a server. */
  auto RecordRunStart(const server_id& server, work_class work) -> void;
  auto RecordRunEnd(const server_id& server, work_class work) -> void;
  /** Replaces the declared request rates of cold servers. */
  auto SetColdRates(cold_rates rates) -> void { rates_ = std::move(rates); }
  /** Counts the servers of a data centre as cold for kSuspicionTime, since its
   * evacuation has ended. */
  auto SuspectCold(const data_centre_id& data_centre, time_point now) -> void;
  /** Records that a server has said in an answer that it is cold until then. */
  auto RecordCold(const server_id& server, time_point until) -> void;
  /** Keeps requests off a server that could not be reached. */
  auto Pause(const server_id& server, time_point until) -> void;
  /** Decides at once. Cold servers get nothing, since other hosts may send them
   * their full rate. Batch work is placed only once no dispatcher is expected
   * any more, and on at most this host's share of half of all slots: after a
   * restart of all hosts each of them has every open item of its jobs to run.
   */
  auto RequestSlot(const placement_request& request,
                   const limit_rate& rate,
                   time_point now) -> placement_answer;

  /** Returns a registered server, nullptr if it is unknown. */
  auto Find(const server_id& server) const -> const registered_server*;

 private:
  struct row {
    registered_server info;      ///< As registered.
    std::uint32_t own = 0;       ///< Runs of this host.
    std::uint32_t others = 0;    ///< Runs of other hosts by the latest counts.
    time_point backs_off_until;  ///< Gets no requests before then.
    time_point cold_until;       ///< Cold beyond what its registration says.
    /** The next request before then, if any, finds out whether the server is
     * back, and no other one is sent to it for a while. */
    time_point probe_until;
    bool has_restarted = false;  ///< Since the latest request for a slot.
    double factor = 1;  ///< Expected time, relative to a typical server.
  };
  struct bucket {
    double level = 0;      ///< Tokens.
    time_point filled_at;  ///< Time of the last fill.
  };

  auto ConsumeToken(const placement_request& request,
                    const limit_rate& rate,
                    time_point now) -> bool;
  /** Whether a server is of a service that declares a rate of cold servers. */
  auto HasColdRate(const row& r) const -> bool {
    return !rates_.empty() && rates_.contains(r.info.service);
  }
  /** Whether a server counts as cold. */
  auto IsCold(const row& r, time_point now) const -> bool {
    return HasColdRate(r) && now < std::max(r.info.cold_until, r.cold_until);
  }
  /** Returns how long a server that may just have come back gets no requests of
   * this host. All hosts together stay within the rate of a cold server. */
  auto ProbeInterval(const row& r) -> duration;
  auto MayRunBatch(const service_id& service, time_point now) const -> bool;

  double share_;
  std::mt19937_64 random_;
  std::size_t hosts_;
  std::map<server_id, row> rows_;
  std::map<data_centre_id, region_id> regions_;
  std::map<workspace_id, bucket> buckets_;
  cold_rates rates_;
  time_point counts_until_;
  time_point expected_until_;
  std::size_t own_batch_ = 0;  // Batch runs of this host.
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_LOCAL_H_
