/** Assignment of resources to owners by rendezvous hashing over the live
 * members. */
#ifndef SRC_OWNERSHIP_FUNC_H_
#define SRC_OWNERSHIP_FUNC_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "src/config_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Kinds of owned resources; part of the hashed name. */
enum class owned_kind {
  kLimit,      ///< Token bucket of a workspace.
  kPartition,  ///< Partition of the batch jobs, by number.
  kServer,     ///< Batch admission on a backend server.
};

/** Returns the owner of a resource among the live members. Members of `region`
 * take precedence if it is not empty and has any. Nothing if no member is live.
 */
auto OwnerOf(std::span<const member> members,
             owned_kind kind,
             std::string_view name,
             const region_id& region = region_id()) -> std::optional<host_id>;

/** Returns the `count` highest ranked live members for `name`, best first;
 * fewer if there are fewer. */
auto TopOwners(std::span<const member> members,
               std::string_view name,
               std::size_t count) -> std::vector<host_id>;

}  // namespace dogwood

#endif  // SRC_OWNERSHIP_FUNC_H_
