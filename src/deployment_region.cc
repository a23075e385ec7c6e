#include "src/deployment_region.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwood {

auto region_bound::Overlaps(const region_bound& other) const -> bool {
  if (!is_bound_ || !other.is_bound_) {
    return !AllowsNone() && !other.AllowsNone();
  }
  return std::ranges::any_of(
      allowed_, [&other](const auto& region) { return other.Allows(region); });
}

auto RegionsOf(const route_rule& route, const workspace_rule* workspace)
    -> region_bound {
  const bool is_workspace_bound =
      workspace != nullptr && !workspace->regions.empty();
  if (route.regions.empty() && !is_workspace_bound) {
    return {};
  }
  if (route.regions.empty()) {
    return region_bound(workspace->regions);
  }
  if (!is_workspace_bound) {
    return region_bound(route.regions);
  }
  std::set<region_id> both;
  std::ranges::set_intersection(route.regions, workspace->regions,
                                std::inserter(both, both.end()));
  return region_bound(std::move(both));
}

auto FindUnknownRegions(const deployment& state,
                        const std::set<region_id>& known)
    -> std::vector<unknown_region> {
  std::vector<unknown_region> unknown;
  const auto check = [&](std::string entry, const auto& regions) {
    for (const auto& region : regions) {
      if (!known.contains(region)) {
        unknown.push_back({entry, region});
      }
    }
  };
  for (const auto& route : state.routes) {
    check("route \"" + route.id.value + "\"", route.regions);
  }
  for (const auto& workspace : state.workspaces) {
    check("workspace \"" + workspace.id.value + "\"", workspace.regions);
  }
  return unknown;
}

}  // namespace dogwood
