/** The hosts that run the system, as the store's group shows them. */
#ifndef SRC_FLEET_TYPE_H_
#define SRC_FLEET_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** One host. Its name in the group carries what the others must know of it. */
struct fleet_member {
  std::string name;            ///< Name in the group.
  std::string ip;              ///< Address; ports are the same on all hosts.
  data_centre_id data_centre;  ///< Where it is.
  double processor_share = 0;  ///< Cores that it has.
};

/** Members and what they own at one generation of the group. */
struct fleet_view {
  std::uint64_t generation = 0;       ///< Rises with each change.
  std::vector<fleet_member> members;  ///< By name.
  std::vector<std::uint32_t> owners;  ///< Index into `members` by partition;
                                      ///< members.size() if nobody's.

  /** Member that owns a partition, nullptr if nobody does. */
  auto OwnerOf(partition_id partition) const -> const fleet_member* {
    if (partition.value >= owners.size()) {
      return nullptr;
    }
    const auto index = owners[partition.value];
    return index < members.size() ? &members[index] : nullptr;
  }
  /** Member of that name, nullptr if there is none. */
  auto Find(const std::string& name) const -> const fleet_member* {
    for (const auto& member : members) {
      if (member.name == name) {
        return &member;
      }
    }
    return nullptr;
  }
};

}  // namespace dogwood

#endif  // SRC_FLEET_TYPE_H_
