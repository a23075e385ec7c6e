/** Lookups in a deployment's declared state. */
#ifndef SRC_DEPLOYMENT_QUERY_H_
#define SRC_DEPLOYMENT_QUERY_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/deployment_type.h"

namespace dogwood {

/** An immutable deployment with indexes for the lookups of requests. The
 * pointers it returns are valid as long as the index. */
class deployment_index {
 public:
  explicit deployment_index(deployment state);
  deployment_index(const deployment_index&) = delete;
  auto operator=(const deployment_index&) -> deployment_index& = delete;

  auto state() const -> const deployment& { return state_; }
  /** Returns the route of `host` with the longest prefix that matches `path`;
   * nullptr if none.
   */
  auto FindRoute(std::string_view host, std::string_view path) const
      -> const route_rule*;
  /** Returns the routes of a host name. */
  auto RoutesOf(std::string_view host) const
      -> std::span<const route_rule* const>;
  /** Returns the workspace that owns the key with this SHA-256 (hex); nullptr
   * if none. */
  auto FindWorkspaceByKey(std::string_view hash) const -> const workspace_rule*;
  /** Returns nullptr if there is no such workspace. */
  auto FindWorkspace(const workspace_id& id) const -> const workspace_rule*;
  /** Whether jobs can be submitted without a key on some route. */
  auto HasOpenBatchRoute() const -> bool { return has_open_batch_route_; }
  /** Returns nullptr if there is no such service. */
  auto FindService(const service_id& id) const -> const service_rule*;

 private:
  deployment state_;
  std::unordered_map<std::string, std::vector<const route_rule*>>
      routes_by_host_;  // Longest prefix first.
  std::unordered_map<std::string, const workspace_rule*> by_key_;
  std::map<workspace_id, const workspace_rule*> workspaces_;
  std::map<service_id, const service_rule*> services_;
  bool has_open_batch_route_ = false;
};

/** Selects a service of a route by weight. `random` is uniform in [0, 1). The
 * route must have a service.
 */
auto PickService(const route_rule& route, double random) -> const service_id&;

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_QUERY_H_
