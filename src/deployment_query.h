/** Lookups in a deployment's declared state. */
#ifndef SRC_DEPLOYMENT_QUERY_H_
#define SRC_DEPLOYMENT_QUERY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/deployment_type.h"

namespace dogwood {

/** An immutable deployment with indexes for requests. */
class deployment_index {
 public:
  explicit deployment_index(deployment state);
  deployment_index(const deployment_index&) = delete;
  auto operator=(const deployment_index&) -> deployment_index& = delete;

  auto state() const -> const deployment& { return state_; }
  /** The route of `host` with the longest prefix of `path`; nullptr if none.
   */
  auto FindRoute(std::string_view host, std::string_view path) const
      -> const route_rule*;
  /** Workspace that holds the key with this SHA-256; nullptr if none. */
  auto FindKey(std::string_view hash) const -> const workspace_rule*;
  /** Nullptr if there is no such workspace. */
  auto FindWorkspace(const workspace_id& id) const -> const workspace_rule*;
  /** Nullptr if there is no such service. */
  auto FindService(const service_id& id) const -> const service_rule*;

 private:
  deployment state_;
  std::unordered_map<std::string, std::vector<const route_rule*>>
      routes_by_host_;  // Longest prefix first.
  std::unordered_map<std::string, const workspace_rule*> by_key_;
  std::map<workspace_id, const workspace_rule*> workspaces_;
  std::map<service_id, const service_rule*> services_;
};

/** Service of a route for a request: `draw` in [0, 1) picks among the shares.
 */
auto PickService(const route_rule& route, double draw) -> const service_id&;

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_QUERY_H_
