/** Fallback placement by a single host while no dispatcher answers. */
#ifndef SRC_DISPATCH_LOCAL_H_
#define SRC_DISPATCH_LOCAL_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

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
  /** Keeps requests off a server that could not be reached. */
  auto Pause(const server_id& server, time_point until) -> void;
  /** Decides at once. Batch work is placed only once no dispatcher is expected
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
    double factor = 1;  ///< Expected time, relative to a typical server.
  };
  struct bucket {
    double level = 0;      ///< Tokens.
    time_point filled_at;  ///< Time of the last fill.
  };

  auto ConsumeToken(const placement_request& request,
                    const limit_rate& rate,
                    time_point now) -> bool;
  auto MayRunBatch(const service_id& service, time_point now) const -> bool;

  double share_;
  std::mt19937_64 random_;
  std::size_t hosts_;
  std::map<server_id, row> rows_;
  std::map<data_centre_id, region_id> regions_;
  std::map<workspace_id, bucket> buckets_;
  time_point counts_until_;
  time_point expected_until_;
  std::size_t own_batch_ = 0;  // Batch runs of this host.
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_LOCAL_H_
