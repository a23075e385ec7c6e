/** Regions in which the requests of a route or a workspace may be handled. */
#ifndef SRC_DEPLOYMENT_REGION_H_
#define SRC_DEPLOYMENT_REGION_H_

#include <set>
#include <string>
#include <vector>

#include "src/deployment_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Regions that may serve, cache and store a request. */
class region_bound {
 public:
  /** Any region. */
  region_bound() = default;
  /** The given regions only, possibly none. */
  explicit region_bound(std::set<region_id> allowed)
      : is_bound_(true), allowed_(std::move(allowed)) {}

  /** Whether not every region is allowed. */
  auto IsBound() const -> bool { return is_bound_; }
  /** Whether no region is allowed, so that the request cannot be served. */
  auto AllowsNone() const -> bool { return is_bound_ && allowed_.empty(); }
  auto Allows(const region_id& region) const -> bool {
    return !is_bound_ || allowed_.contains(region);
  }
  /** Whether some region is allowed by both. */
  auto Overlaps(const region_bound& other) const -> bool;
  /** The allowed regions; meaningless if every region is allowed. */
  auto allowed() const -> const std::set<region_id>& { return allowed_; }

  // clang-tidy 14 takes the comparison with 0 in the default for a pointer.
  auto operator<=>(const region_bound&) const =
      default;  // NOLINT(modernize-use-nullptr)

 private:
  bool is_bound_ = false;
  std::set<region_id> allowed_;
};

/** Returns the bound of a request on `route` for `workspace` (nullptr: none).
 * If both declare regions, only those that both allow remain. */
auto RegionsOf(const route_rule& route, const workspace_rule* workspace)
    -> region_bound;

/** A region that the declared state names but that no data centre lies in. */
struct unknown_region {
  std::string entry;  ///< Kind and name of the entry that names it.
  region_id region;
};

/** Returns the regions of routes and workspaces that are not in `known`, each
 * once for each entry that names it. */
auto FindUnknownRegions(const deployment& state,
                        const std::set<region_id>& known)
    -> std::vector<unknown_region>;

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_REGION_H_
