/** Choice of the partition of a batch job by the regions that it is bound to,
 * and of the partitions in which a job may be found. */
#ifndef SRC_FLEET_REGION_H_
#define SRC_FLEET_REGION_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "src/batch_type.h"
#include "src/deployment.h"
#include "src/fleet_type.h"

namespace dogwood {

/** Whether a job with this bound may be held by any host of the fleet. */
auto MayBeHeldAnywhere(const region_bound& bound,
                       const partition_layout& layout) -> bool;

/** Returns the partition for a job with this bound; nothing if no allowed
 * region has a host. Among the allowed regions with hosts it is the one with
 * the highest hash of the job and the region, so that a job changes its region
 * only if that region is no longer among them. */
auto ChoosePartition(const batch_id& job,
                     const region_bound& bound,
                     const partition_layout& layout,
                     const fleet_view& view) -> std::optional<partition_id>;

/** Returns all partitions in which a job may be, whatever its bound was when it
 * was accepted: first those that fit the given bounds, then the others. */
auto CandidatePartitions(const batch_id& job,
                         std::span<const region_bound> likely,
                         const partition_layout& layout,
                         const fleet_view& view) -> std::vector<partition_id>;

/** Whether all members are in data centres of the layout. If not, other hosts
 * may know regions in which jobs are held and that this one does not know. */
auto KnowsAllRegions(const partition_layout& layout, const fleet_view& view)
    -> bool;

/** Tells which other partitions may hold a job that is submitted again: for a
 * while after the declared regions have changed, or the regions that have
 * hosts, it may have been accepted into another partition than the one that is
 * chosen for it now. */
class placement_changes {
 public:
  /** Records the regions that a declared state sets. */
  auto RecordState(const deployment& state, time_point now) -> void;
  /** Records the regions that have hosts. */
  auto RecordView(const fleet_view& view,
                  const partition_layout& layout,
                  time_point now) -> void;
  /** Returns the partitions other than `chosen`, the one for a job with this
   * bound now, that may hold the job from an earlier submission. */
  auto EarlierPartitions(const batch_id& job,
                         const region_bound& bound,
                         const std::optional<partition_id>& chosen,
                         const partition_layout& layout,
                         time_point now) const -> std::vector<partition_id>;
  /** Whether this host has seen a change lately. If not, EarlierPartitions() is
   * a precaution after its start. */
  auto HasSeenChange(time_point now) const -> bool {
    return now < change_settled_at_;
  }

 private:
  using batch_prefix = std::pair<std::string, std::string>;
  /** When jobs of a region may be repeated. */
  struct hosted_region {
    /** No job is repeated that was accepted before it had hosts. */
    time_point settled_at;
    /** No job is repeated that it has accepted; max() while it has hosts. */
    time_point until = time_point::max();
  };

  /** Whether jobs that this region has accepted may be repeated. */
  auto MayHaveAccepted(const region_id& region, time_point now) const -> bool;
  /** Whether a job for which `chosen` is the region now was accepted by
   * `region`, which it allows too, if only hosts have come and gone. */
  auto MayPrecede(const batch_id& job,
                  const region_id& region,
                  const std::optional<region_id>& chosen,
                  time_point now) const -> bool;

  /** Regions of the batch routes by host name and prefix, and of the
   * workspaces; both are empty if none of them is bound. */
  std::map<batch_prefix, std::set<region_id>> routes_;
  std::map<workspace_id, std::set<region_id>> workspaces_;
  std::map<region_id, hosted_region> hosted_;  // Regions that have had hosts.
  bool has_state_ = false;
  bool has_view_ = false;
  time_point bounds_settled_at_;  // No job of earlier bounds is repeated then.
  time_point change_settled_at_;  // End of the window of the latest change.
};

/** Remembers in which partitions jobs were found, so that further calls on them
 * ask one host only. A hint may be outdated. */
class found_jobs {
 public:
  auto Record(const batch_id& job, partition_id partition) -> void;
  auto Find(const batch_id& job) const -> std::optional<partition_id>;

 private:
  std::map<batch_id, partition_id> found_;
};

}  // namespace dogwood

#endif  // SRC_FLEET_REGION_H_
