#include "src/fleet_region.h"

#include <algorithm>
#include <tuple>

#include "src/core.h"
#include "src/fleet_func.h"

namespace dogwood {
namespace {

/** Callers repeat a submission for some seconds only, until their own time
 * limit. */
constexpr std::chrono::seconds kRepeatWindow{30};
/** Maximum number of jobs whose partitions are remembered. The hints of more
 * jobs are dropped together; the next call on each of them searches again. */
constexpr std::size_t kMaxFoundJobs = 4096;

/** Rank of a region for a job; the highest holds it. */
auto RankOf(const batch_id& job, const region_id& region) -> std::uint64_t {
  return StableHash(job.value + "/" + region.value);
}

/** Returns the regions of the layout that have a host. */
auto RegionsWithHosts(const partition_layout& layout, const fleet_view& view)
    -> std::set<region_id> {
  std::set<region_id> regions;
  for (const auto& member : view.members) {
    if (auto region = layout.RegionOf(member)) {
      regions.insert(std::move(*region));
    }
  }
  return regions;
}

}  // namespace

auto MayBeHeldAnywhere(const region_bound& bound,
                       const partition_layout& layout) -> bool {
  return std::ranges::all_of(layout.regions, [&bound](const auto& region) {
    return bound.Allows(region);
  });
}

auto ChoosePartition(const batch_id& job,
                     const region_bound& bound,
                     const partition_layout& layout,
                     const fleet_view& view) -> std::optional<partition_id> {
  if (MayBeHeldAnywhere(bound, layout)) {
    return PartitionOf(job, layout);
  }
  std::optional<region_id> chosen;
  for (const auto& region : RegionsWithHosts(layout, view)) {
    if (bound.Allows(region) &&
        (!chosen || RankOf(job, region) > RankOf(job, *chosen))) {
      chosen = region;
    }
  }
  return chosen ? std::optional(RegionalPartitionOf(job, *chosen, layout))
                : std::nullopt;
}

auto CandidatePartitions(const batch_id& job,
                         std::span<const region_bound> likely,
                         const partition_layout& layout,
                         const fleet_view& view) -> std::vector<partition_id> {
  std::vector<partition_id> candidates;
  const auto add = [&candidates](partition_id partition) {
    if (std::ranges::find(candidates, partition) == candidates.end()) {
      candidates.push_back(partition);
    }
  };
  for (const auto& bound : likely) {
    if (const auto chosen = ChoosePartition(job, bound, layout, view)) {
      add(*chosen);
    }
  }
  add(PartitionOf(job, layout));
  for (const auto& region : layout.regions) {
    add(RegionalPartitionOf(job, region, layout));
  }
  return candidates;
}

auto KnowsAllRegions(const partition_layout& layout, const fleet_view& view)
    -> bool {
  return std::ranges::all_of(view.members, [&layout](const auto& member) {
    return layout.RegionOf(member).has_value();
  });
}

auto placement_changes::RecordState(const deployment& state, time_point now)
    -> void {
  std::map<batch_prefix, std::set<region_id>> routes;
  std::map<workspace_id, std::set<region_id>> workspaces;
  bool is_any_bound = false;
  for (const auto& route : state.routes) {
    if (route.kind == request_kind::kBatch) {
      is_any_bound = is_any_bound || !route.regions.empty();
      routes[{route.host, route.prefix}] = route.regions;
    }
  }
  for (const auto& workspace : state.workspaces) {
    if (!workspace.regions.empty()) {
      is_any_bound = true;
      workspaces[workspace.id] = workspace.regions;
    }
  }
  if (!is_any_bound) {
    routes.clear();
  }
  if (std::tie(routes, workspaces) != std::tie(routes_, workspaces_)) {
    routes_ = std::move(routes);
    workspaces_ = std::move(workspaces);
    bounds_settled_at_ = now + kRepeatWindow;
    change_settled_at_ = has_state_ ? bounds_settled_at_ : change_settled_at_;
  }
  has_state_ = true;
}

auto placement_changes::RecordView(const fleet_view& view,
                                   const partition_layout& layout,
                                   time_point now) -> void {
  const auto regions = RegionsWithHosts(layout, view);
  bool is_change = false;
  for (const auto& region : regions) {
    const auto found = hosted_.find(region);
    if (found == hosted_.end() || found->second.until != time_point::max()) {
      is_change = true;
      hosted_[region] = {.settled_at = now + kRepeatWindow};
    }
  }
  for (auto& [region, hosted] : hosted_) {
    if (hosted.until == time_point::max() && !regions.contains(region)) {
      is_change = true;
      hosted.until = now + kRepeatWindow;
    }
  }
  if (is_change && has_view_) {
    change_settled_at_ = now + kRepeatWindow;
  }
  has_view_ = has_view_ || !view.members.empty();
}

auto placement_changes::MayHaveAccepted(const region_id& region,
                                        time_point now) const -> bool {
  const auto found = hosted_.find(region);
  return found != hosted_.end() && now < found->second.until;
}

auto placement_changes::MayPrecede(const batch_id& job,
                                   const region_id& region,
                                   const std::optional<region_id>& chosen,
                                   time_point now) const -> bool {
  if (!chosen || RankOf(job, region) > RankOf(job, *chosen)) {
    return true;
  }
  const auto found = hosted_.find(*chosen);
  return found == hosted_.end() || now < found->second.settled_at;
}

auto placement_changes::EarlierPartitions(
    const batch_id& job,
    const region_bound& bound,
    const std::optional<partition_id>& chosen,
    const partition_layout& layout,
    time_point now) const -> std::vector<partition_id> {
  std::vector<partition_id> earlier;
  const bool is_bound_settled = now >= bounds_settled_at_;
  const bool is_anywhere = MayBeHeldAnywhere(bound, layout);
  if (is_bound_settled && is_anywhere) {
    return earlier;
  }
  if (!is_bound_settled && !is_anywhere) {
    earlier.push_back(PartitionOf(job, layout));
  }
  const auto chosen_region = chosen ? RegionOf(*chosen, layout) : std::nullopt;
  for (const auto& region : layout.regions) {
    const bool may_precede =
        !is_bound_settled ||
        (bound.Allows(region) && MayPrecede(job, region, chosen_region, now));
    if (region != chosen_region && may_precede &&
        MayHaveAccepted(region, now)) {
      earlier.push_back(RegionalPartitionOf(job, region, layout));
    }
  }
  return earlier;
}

auto found_jobs::Record(const batch_id& job, partition_id partition) -> void {
  if (found_.size() >= kMaxFoundJobs && !found_.contains(job)) {
    found_.clear();
  }
  found_[job] = partition;
}

auto found_jobs::Find(const batch_id& job) const
    -> std::optional<partition_id> {
  const auto found = found_.find(job);
  return found == found_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace dogwood
