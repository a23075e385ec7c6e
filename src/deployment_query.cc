#include "src/deployment_query.h"

#include <algorithm>
#include <numeric>

namespace dogwood {

deployment_index::deployment_index(deployment state)
    : state_(std::move(state)) {
  for (const auto& route : state_.routes) {
    routes_by_host_[route.host].push_back(&route);
    has_open_batch_route_ = has_open_batch_route_ ||
                            (route.open && route.kind == request_kind::kBatch);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::ranges::sort(routes, [](const auto* a, const auto* b) {
      return a->prefix.size() > b->prefix.size();
    });
  }
  for (const auto& workspace : state_.workspaces) {
    workspaces_[workspace.id] = &workspace;
    for (const auto& hash : workspace.hashes) {
      by_key_[hash] = &workspace;
    }
  }
  for (const auto& service : state_.services) {
    services_[service.id] = &service;
  }
}

auto deployment_index::RoutesOf(std::string_view host) const
    -> std::span<const route_rule* const> {
  const auto found = routes_by_host_.find(std::string(host));
  return found == routes_by_host_.end()
             ? std::span<const route_rule* const>()
             : std::span<const route_rule* const>(found->second);
}

auto deployment_index::FindRoute(std::string_view host,
                                 std::string_view path) const
    -> const route_rule* {
  const auto routes = RoutesOf(host);
  const auto route = std::ranges::find_if(
      routes, [path](const auto* r) { return path.starts_with(r->prefix); });
  return route == routes.end() ? nullptr : *route;
}

auto deployment_index::FindWorkspaceByKey(std::string_view hash) const
    -> const workspace_rule* {
  const auto found = by_key_.find(std::string(hash));
  return found == by_key_.end() ? nullptr : found->second;
}

auto deployment_index::FindWorkspace(const workspace_id& id) const
    -> const workspace_rule* {
  const auto found = workspaces_.find(id);
  return found == workspaces_.end() ? nullptr : found->second;
}

auto deployment_index::FindService(const service_id& id) const
    -> const service_rule* {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

auto PickService(const route_rule& route, double random) -> const service_id& {
  const auto total = std::accumulate(
      route.services.begin(), route.services.end(), 0U,
      [](unsigned sum, const auto& share) { return sum + share.weight; });
  auto remaining = random * total;
  for (const auto& share : route.services) {
    remaining -= share.weight;
    if (remaining < 0) {
      return share.service;
    }
  }
  return route.services.back().service;
}

}  // namespace dogwood
