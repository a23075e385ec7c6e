/** What follows from the members of the fleet: partitions, dispatcher and the
 * addresses that callers get. */
#ifndef SRC_FLEET_FUNC_H_
#define SRC_FLEET_FUNC_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/batch_type.h"
#include "src/fleet_type.h"
#include "src/store_type.h"

namespace dogwood {

/** Topics over which the jobs are spread. A group deals partitions evenly, so
 * there must be as many partitions as hosts, or some hosts own none. */
constexpr std::uint32_t kJobTopics = 10;

/** Names of the job topics. */
auto JobTopics() -> std::vector<std::string>;
/** Where a partition lies in the store. */
auto LocatePartition(partition_id partition, std::uint32_t per_topic)
    -> log_partition;
/** Reverses LocatePartition(); nothing if it is none of the job topics. */
auto PartitionAt(const log_partition& where, std::uint32_t per_topic)
    -> std::optional<partition_id>;
/** Partition of a job. */
auto PartitionOf(const batch_id& job, std::uint32_t per_topic) -> partition_id;

/** Name of a member in the group. */
auto FormatMember(const fleet_member& member) -> std::string;
/** Reverses FormatMember(); nothing if `name` is no such name. */
auto ParseMember(std::string_view name) -> std::optional<fleet_member>;

/** View of a group from the owners of its partitions. */
auto BuildView(std::uint64_t generation,
               std::span<const partition_owner_row> rows,
               std::uint32_t per_topic) -> fleet_view;

/** The member that places requests: the one with the most processor, then one
 * in the region with the most members. All hosts with the same view come to
 * the same one. Nullptr if there are no members. */
auto DispatcherOf(const fleet_view& view,
                  const std::map<data_centre_id, region_id>& regions)
    -> const fleet_member*;

/** Members whose addresses a caller gets: those in its data centre, else those
 * in its region, else all; at least two if there are two. */
auto MembersNear(const fleet_view& view,
                 const std::map<data_centre_id, region_id>& regions,
                 const data_centre_id& data_centre,
                 const region_id& region) -> std::vector<const fleet_member*>;

}  // namespace dogwood

#endif  // SRC_FLEET_FUNC_H_
