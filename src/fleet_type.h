/** Members of the fleet, according to the store's group. */
#ifndef SRC_FLEET_TYPE_H_
#define SRC_FLEET_TYPE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** A host of the fleet. All fields are encoded in its name in the group. */
struct fleet_member {
  std::string name;  ///< Name in the group.
  std::string ip;    ///< IP address; ports are the same on all hosts.
  data_centre_id data_centre;
  double processor_share = 0;  ///< Processor cores; may be fractional.

  auto operator==(const fleet_member&) const -> bool = default;
};

/** Numbering of the partitions of batch jobs: first those that the store's
 * group assigns, then those of each region, in the order of `regions`. It must
 * be the same on all hosts. */
struct partition_layout {
  std::uint32_t per_topic = 1;  ///< Partitions of each topic.
  /** Regions that have a topic of their own, sorted by name; empty if no job is
   * bound to regions. */
  std::vector<region_id> regions;
  /** Data centres of these regions. */
  std::map<data_centre_id, region_id> data_centres;

  /** Whether regions have partitions of their own. */
  auto IsRegional() const -> bool { return !regions.empty(); }
  /** Returns the region of a member; nothing if its data centre is not known.
   */
  auto RegionOf(const fleet_member& member) const -> std::optional<region_id> {
    const auto found = data_centres.find(member.data_centre);
    return found == data_centres.end() ? std::nullopt
                                       : std::optional(found->second);
  }
};

/** Members and partition owners at one generation of the group. */
struct fleet_view {
  std::uint64_t generation = 0;       ///< Increases with each change.
  std::vector<fleet_member> members;  ///< Sorted by name.
  std::vector<std::uint32_t> owners;  ///< Index into `members` by partition;
                                      ///< members.size() if it has no owner.

  /** Returns the owner of a partition, nullptr if it has none. */
  auto OwnerOf(partition_id partition) const -> const fleet_member* {
    if (partition.value >= owners.size()) {
      return nullptr;
    }
    const auto index = owners[partition.value];
    return index < members.size() ? &members[index] : nullptr;
  }
  /** Returns the member of that name, nullptr if there is none. */
  auto Find(const std::string& name) const -> const fleet_member* {
    for (const auto& member : members) {
      if (member.name == name) {
        return &member;
      }
    }
    return nullptr;
  }
  auto operator==(const fleet_view&) const -> bool = default;
};

}  // namespace dogwood

#endif  // SRC_FLEET_TYPE_H_
