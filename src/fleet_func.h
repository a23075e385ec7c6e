/** Assignments derived from the members of the fleet: partitions, the
 * dispatcher, and the addresses that callers get. */
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

/** Number of topics over which batch jobs are distributed. */
constexpr std::uint32_t kJobTopics = 10;
/** Number of topics without records whose partitions only carry membership. The
 * store lists the members of a group by the partitions that they own and
 * assigns partitions evenly, so a group needs more partitions than hosts. */
constexpr std::uint32_t kMemberTopics = 14;

/** Returns the names of all topics whose partitions the group assigns. */
auto GroupTopics() -> std::vector<std::string>;
/** Returns the layout of a fleet in these data centres. If it is not regional,
 * all partitions are assigned by the group. */
auto MakeLayout(std::uint32_t per_topic,
                const std::map<data_centre_id, region_id>& data_centres,
                bool is_regional) -> partition_layout;
/** Returns the number of partitions that the group assigns. */
auto GroupPartitionCount(const partition_layout& layout) -> std::size_t;
/** Returns the number of all partitions. */
auto PartitionCount(const partition_layout& layout) -> std::size_t;
/** Returns the region that holds a partition; nothing if the group assigns it,
 * or if there is no such partition. */
auto RegionOf(partition_id partition, const partition_layout& layout)
    -> std::optional<region_id>;
/** Returns the topic and number of a partition in the store. */
auto LocatePartition(partition_id partition, const partition_layout& layout)
    -> log_partition;
/** Inverse of LocatePartition(); nothing for other partitions of the store. */
auto PartitionAt(const log_partition& where, const partition_layout& layout)
    -> std::optional<partition_id>;
/** Returns the partition of a batch job that any host may hold, by the hash of
 * its id. */
auto PartitionOf(const batch_id& job, const partition_layout& layout)
    -> partition_id;
/** Returns the partition of a batch job among those of a region, which must be
 * one of the layout's. */
auto RegionalPartitionOf(const batch_id& job,
                         const region_id& region,
                         const partition_layout& layout) -> partition_id;

/** Returns the name of a member in the group. */
auto FormatMember(const fleet_member& member) -> std::string;
/** Inverse of FormatMember(); nothing if `name` is malformed. */
auto ParseMember(std::string_view name) -> std::optional<fleet_member>;

/** Builds the view of a group from the owners of its partitions. */
auto BuildView(std::uint64_t generation,
               std::span<const partition_owner_row> rows,
               const partition_layout& layout) -> fleet_view;

/** Replaces the owners of the regions' partitions in a view by those that
 * follow from its members. The owner is the member of the region with the
 * highest hash of its name and the partition (rendezvous hashing), so a change
 * of one member moves only partitions that it owns before or after. A region
 * without members has no owners. */
auto AssignRegionalOwners(fleet_view& view, const partition_layout& layout)
    -> void;

/** Returns a hash of the members and owners of a view. */
auto HashOf(const fleet_view& view) -> std::uint64_t;

/** Returns the member that runs the dispatcher: the one with the most cores,
 * among equal ones in the region with the most members. The choice depends on
 * the view only, so hosts with the same view agree. Nullptr if there are no
 * members. */
auto DispatcherOf(const fleet_view& view,
                  const std::map<data_centre_id, region_id>& regions)
    -> const fleet_member*;

/** Data centres with more members than this have readers. In smaller ones every
 * host reads the store itself, which needs fewer hops. */
constexpr std::size_t kMaxDirectReaders = 5;
/** Number of readers of a larger data centre; one may fail without effect. */
constexpr std::size_t kReadersPerDataCentre = 2;

/** Whether a host that owns `owned` partitions of the group is, by their even
 * assignment, in a fleet whose data centres have no readers. A host that starts
 * learns this one call earlier than the members. */
auto OwnsShareOfSmallFleet(std::size_t owned,
                           std::uint32_t per_topic,
                           std::size_t data_centres) -> bool;

/** Whether a view may show a small part of the members: a single host owns all
 * partitions, as the first one does until it gives them up to the others. */
auto IsProvisional(const fleet_view& view, const fleet_member& self) -> bool;

/** Returns the members from which `self` gets the declared state and the
 * registrations, in order of preference; empty if it reads the store itself.
 *
 * Without readers a large state crosses the link between regions once for each
 * host of the other region: 1,900 more routes times 150 hosts filled 150 Mbit/s
 * for seconds, and requests for slots and runs of items waited behind them. The
 * members with the most cores are readers; the others are spread over them. */
auto FeedSourcesOf(const fleet_view& view, const fleet_member& self)
    -> std::vector<fleet_member>;

/** Returns the members of `self`'s data centre in the order in which they read
 * the store: first the readers, then those that stand in for them one after
 * another. Empty if all read it. */
auto ReadOrderOf(const fleet_view& view, const fleet_member& self)
    -> std::vector<fleet_member>;

/** Returns the members whose addresses a caller gets: those in its data centre,
 * or else those in its region, or else all; at least two if there are two. */
auto MembersNear(const fleet_view& view,
                 const std::map<data_centre_id, region_id>& regions,
                 const data_centre_id& data_centre,
                 const region_id& region) -> std::vector<const fleet_member*>;

}  // namespace dogwood

#endif  // SRC_FLEET_FUNC_H_
