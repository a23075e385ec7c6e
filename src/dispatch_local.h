/** Placement by a host on its own, while no dispatcher answers it. */
#ifndef SRC_DISPATCH_LOCAL_H_
#define SRC_DISPATCH_LOCAL_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "src/dispatch_type.h"

namespace dogwood {

/** What one host knows of the servers and of the limits without its
 * dispatcher. Has no clock and no I/O. Not thread-safe. */
class local_placement {
 public:
  /** `share` is the part of a workspace's rate, divided by the number of
   * hosts, that this host admits: others may still have a dispatcher. */
  local_placement(double share, std::uint64_t seed);

  /** Replaces the servers and where each data centre is. */
  auto SetServers(std::vector<registered_server> servers,
                  std::map<data_centre_id, region_id> regions) -> void;
  /** Number of hosts that share each limit; many are assumed until it is known.
   */
  auto SetHostCount(std::size_t hosts) -> void;
  /** Takes the dispatcher's last counts. They grow old, so they are used until
   * `until` only. */
  auto SetCounts(const std::vector<server_count>& counts, time_point until)
      -> void;
  /** A dispatcher is expected until then: batch work waits for it. */
  auto ExpectDispatcher(time_point until) -> void { expected_until_ = until; }
  /** Notes that this host began or ended a run on a server. */
  auto RecordRunStart(const server_id& server, work_class work) -> void;
  auto RecordRunEnd(const server_id& server, work_class work) -> void;
  /** Notes that a server could not be reached. */
  auto Pause(const server_id& server, time_point until) -> void;
  /** Decides at once. Load pattern answered for batch work: all hosts start
   * anew, each with every open item of its jobs. Batch work is placed only once
   * no dispatcher is expected any more, on this host's part of half of all
   * slots. */
  auto Ask(const placement_request& ask, const limit_rate& rate, time_point now)
      -> placement_answer;

  /** A registered server, nullptr if it is not known. */
  auto Find(const server_id& server) const -> const registered_server*;

 private:
  struct row {
    registered_server info;    ///< As registered.
    std::uint32_t own = 0;     ///< Runs of this host.
    std::uint32_t others = 0;  ///< Runs of other hosts by the last counts.
    time_point paused_until;   ///< Gets nothing before then.
  };
  struct bucket {
    double level = 0;      ///< Tokens.
    time_point filled_at;  ///< Time of the last fill.
  };

  auto ConsumeToken(const placement_request& ask,
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
