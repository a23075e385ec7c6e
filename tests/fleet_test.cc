/** Tests of the assignments derived from the members of the fleet. */
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "src/fleet.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr std::uint32_t kPartitionsPerTopic = 12;

/** Returns a layout in which the group assigns all partitions. */
auto GroupLayout(std::uint32_t per_topic = kPartitionsPerTopic)
    -> partition_layout {
  return MakeLayout(per_topic, {}, false);
}

/** Returns a member's name in the group. */
auto Name(std::string ip, std::string data_centre, double share)
    -> std::string {
  return FormatMember({.name = {},
                       .ip = std::move(ip),
                       .data_centre = data_centre_id(std::move(data_centre)),
                       .processor_share = share});
}

/** Two data centres in one region and one in another. */
auto Regions() -> std::map<data_centre_id, region_id> {
  return {{data_centre_id("a"), region_id("east")},
          {data_centre_id("b"), region_id("east")},
          {data_centre_id("c"), region_id("west")}};
}

/** Returns a view in which each name of the list owns one partition. */
auto View(const std::vector<std::string>& names) -> fleet_view {
  std::vector<partition_owner_row> rows;
  std::uint32_t number = 0;
  for (const auto& name : names) {
    rows.push_back({{"jobs-0", number++}, name});
  }
  return BuildView(7, rows, GroupLayout());
}

/** Returns the layout of a fleet whose regions have partitions. */
auto RegionalLayout(std::uint32_t per_topic = kPartitionsPerTopic)
    -> partition_layout {
  return MakeLayout(per_topic, Regions(), true);
}

/** Returns up to 30 distinct names of members; some are in a data centre that
 * the settings do not name. */
auto DrawNames() -> std::vector<std::string> {
  std::vector<std::string> names;
  const auto count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; ++i) {
    names.push_back(
        Name("10.0." + std::to_string(*rc::gen::inRange(0, 9)) + "." +
                 std::to_string(i),
             *rc::gen::element<std::string>("a", "b", "c", "unknown"), 0.5));
  }
  return names;
}

/** Returns the view of these members. They own no partition of jobs. */
auto RegionalView(const std::vector<std::string>& names,
                  const partition_layout& layout) -> fleet_view {
  std::vector<partition_owner_row> rows;
  for (std::uint32_t i = 0; i < names.size(); ++i) {
    rows.push_back({{"hosts-0", i}, names[i]});
  }
  return BuildView(7, rows, layout);
}

/** Returns the names of the owners of the regions' partitions; empty for a
 * partition without an owner. */
auto RegionalOwners(const fleet_view& view, const partition_layout& layout)
    -> std::vector<std::string> {
  std::vector<std::string> owners;
  for (auto i = GroupPartitionCount(layout); i < PartitionCount(layout); ++i) {
    const auto* owner =
        view.OwnerOf(partition_id(static_cast<std::uint32_t>(i)));
    owners.push_back(owner == nullptr ? "" : owner->name);
  }
  return owners;
}

/** Property: the owner of a region's partition is a member there, if there is
 * any, and does not depend on the order in which the members are listed. */
auto CheckRegionalOwners() -> void {
  const auto layout = RegionalLayout(*rc::gen::inRange(1, 30));
  auto names = DrawNames();
  const auto view = RegionalView(names, layout);
  RC_ASSERT(view.owners.size() == PartitionCount(layout));
  for (auto i = GroupPartitionCount(layout); i < PartitionCount(layout); ++i) {
    const partition_id partition(static_cast<std::uint32_t>(i));
    const auto region = RegionOf(partition, layout);
    RC_ASSERT(region.has_value());
    const auto* owner = view.OwnerOf(partition);
    const bool has_member = std::ranges::any_of(
        view.members,
        [&](const auto& member) { return layout.RegionOf(member) == region; });
    RC_ASSERT((owner != nullptr) == has_member);
    RC_ASSERT((owner == nullptr || layout.RegionOf(*owner) == region));
  }
  std::ranges::reverse(names);
  RC_ASSERT(RegionalOwners(RegionalView(names, layout), layout) ==
            RegionalOwners(view, layout));
  // A host that has the view from another one derives the same owners.
  fleet_view from_peer{
      .generation = 7,
      .members = view.members,
      .owners = std::vector<std::uint32_t>(
          view.owners.begin(),
          view.owners.begin() +
              static_cast<std::ptrdiff_t>(GroupPartitionCount(layout)))};
  AssignRegionalOwners(from_peer, layout);
  RC_ASSERT(from_peer.owners == view.owners);
}

/** Property: a member that leaves moves only the partitions that it owned, and
 * so does one that joins. */
auto CheckRegionalMoves() -> void {
  const auto layout = RegionalLayout(*rc::gen::inRange(1, 30));
  auto names = DrawNames();
  RC_PRE(!names.empty());
  const auto before = RegionalOwners(RegionalView(names, layout), layout);
  const auto changed = *rc::gen::inRange<std::size_t>(0, names.size());
  const auto gone = names[changed];
  names.erase(names.begin() + static_cast<std::ptrdiff_t>(changed));
  const auto after = RegionalOwners(RegionalView(names, layout), layout);
  for (std::size_t i = 0; i < before.size(); ++i) {
    RC_ASSERT(after[i] != gone);
    RC_ASSERT((before[i] == gone || after[i] == before[i]));
  }
}

}  // namespace

// Guards against names that do not round-trip, so that a member gets another
// address or data centre.
Test(fleet, member_names_survive_the_store) {
  const auto name = Name("10.1.0.21", "ankara-a", 0.12);
  const auto member = ParseMember(name);
  cr_assert(member.has_value());
  cr_assert_eq(member->ip, "10.1.0.21");
  cr_assert_eq(member->data_centre.value, "ankara-a");
  cr_assert_float_eq(member->processor_share, 0.12, 1e-9);
  cr_assert_not(ParseMember("stranger").has_value());
  cr_assert_not(ParseMember("a|b|c").has_value());
}

// Guards against mapping two partitions to the same partition of the store.
Test(fleet, partitions_are_found_where_they_were_put) {
  std::set<log_partition> places;
  for (std::uint32_t i = 0; i < kJobTopics * kPartitionsPerTopic; ++i) {
    const auto where = LocatePartition(partition_id(i), GroupLayout());
    places.insert(where);
    cr_assert_eq(PartitionAt(where, GroupLayout())->value, i);
  }
  cr_assert_eq(places.size(), std::size_t{kJobTopics} * kPartitionsPerTopic);
  cr_assert_not(
      PartitionAt({"jobs-0", kPartitionsPerTopic}, GroupLayout()).has_value());
  cr_assert_not(PartitionAt({"other-0", 0}, GroupLayout()).has_value());
  cr_assert_not(PartitionAt({"jobs-99", 0}, GroupLayout()).has_value());
}

// Guards against hosts that are no members because they own no partition: with
// 240 partitions of jobs, 55 of 295 hosts got no callers, and 276 of 516 once
// the fleet had grown by three quarters.
Test(fleet, every_host_of_a_large_fleet_is_a_member) {
  constexpr std::uint32_t kLargePartitions = 24;
  constexpr std::size_t kHosts = 516;
  std::vector<partition_owner_row> rows;
  for (const auto& topic : GroupTopics()) {
    for (std::uint32_t part = 0; part < kLargePartitions; ++part) {
      const auto host = std::to_string(rows.size() % kHosts);
      rows.push_back({{topic, part}, Name("10.0.0." + host, "a", 0.5)});
    }
  }
  const auto view = BuildView(7, rows, GroupLayout(kLargePartitions));
  cr_assert_eq(view.members.size(), kHosts);
  // Partitions that only carry membership hold no jobs.
  cr_assert_eq(view.owners.size(), std::size_t{kJobTopics} * kLargePartitions);
}

// Guards against owners that differ from those in the store, and against a
// crash on a member name that this version cannot parse.
Test(fleet, view_names_the_owners_of_the_store) {
  const auto one = Name("10.0.0.1", "a", 0.5);
  const auto two = Name("10.0.0.2", "c", 0.5);
  const auto view = View({one, two, "stranger", one});
  cr_assert_eq(view.members.size(), 2);
  cr_assert_eq(view.OwnerOf(partition_id(0))->name, one);
  cr_assert_eq(view.OwnerOf(partition_id(1))->name, two);
  cr_assert_null(view.OwnerOf(partition_id(2)));
  cr_assert_eq(view.OwnerOf(partition_id(3))->name, one);
  cr_assert_null(view.OwnerOf(partition_id(100000)));
}

// Guards against two dispatchers for one view, and against choosing a host with
// fewer cores or one in the smaller region.
Test(fleet, best_equipped_host_dispatches) {
  const auto weak = Name("10.0.0.1", "a", 0.12);
  const auto east = Name("10.0.0.2", "a", 0.5);
  const auto west = Name("10.0.0.3", "c", 0.5);
  const auto other = Name("10.0.0.4", "b", 0.12);
  const auto view = View({weak, west, east, other});
  cr_assert_eq(DispatcherOf(view, Regions())->name, east);
  cr_assert_eq(DispatcherOf(View({other, east, west, weak}), Regions())->name,
               east);
  cr_assert_null(DispatcherOf(fleet_view(), Regions()));
}

// Guards against sending callers over the billed link between regions without
// need, and against giving a caller a single address.
Test(fleet, callers_get_hosts_near_them) {
  const auto a1 = Name("10.0.0.1", "a", 0.5);
  const auto a2 = Name("10.0.0.2", "a", 0.5);
  const auto b1 = Name("10.0.0.3", "b", 0.5);
  const auto c1 = Name("10.0.0.4", "c", 0.5);
  const auto view = View({a1, a2, b1, c1});
  const auto near = [&view](std::string centre, std::string region) {
    return MembersNear(view, Regions(), data_centre_id(std::move(centre)),
                       region_id(std::move(region)))
        .size();
  };
  cr_assert_eq(near("a", "east"), 2);
  cr_assert_eq(near("b", "east"), 3);
  cr_assert_eq(near("c", "west"), 4);
  cr_assert_eq(near("", ""), 4);
}

// Guards against a state that crosses the link between regions once for each
// host: in a large data centre two hosts read the store, and the others are
// spread over them.
Test(fleet, two_hosts_of_a_large_data_centre_read_the_store) {
  std::vector<std::string> names;
  for (int i = 0; i < 50; ++i) {
    names.push_back(
        Name("10.0.0." + std::to_string(i), "a", i < 10 ? 0.5 : 0.12));
  }
  names.push_back(Name("10.1.0.1", "c", 0.5));
  std::vector<partition_owner_row> rows;
  for (const auto& name : names) {
    rows.push_back({{"hosts-0", 0}, name});
  }
  const auto view = BuildView(7, rows, GroupLayout());
  std::map<std::string, std::size_t> first_choices;
  std::size_t direct = 0;
  for (const auto& member : view.members) {
    const auto sources = FeedSourcesOf(view, member);
    direct += sources.empty() ? 1 : 0;
    if (!sources.empty()) {
      cr_assert_eq(sources.size(), kReadersPerDataCentre);
      cr_assert_float_eq(sources[0].processor_share, 0.5, 1e-9);
      ++first_choices[sources[0].name];
    }
  }
  cr_assert_eq(direct, kReadersPerDataCentre + 1);
  cr_assert_eq(first_choices.size(), kReadersPerDataCentre);
  for (const auto& [name, followers] : first_choices) {
    cr_assert_geq(followers, 12);
  }
}

// Guards against an additional hop on small fleets.
Test(fleet, every_host_of_a_small_fleet_reads_the_store) {
  std::vector<std::string> names;
  for (int i = 0; i < 4; ++i) {
    names.push_back(Name("10.0.0." + std::to_string(i), "a", 0.5));
  }
  const auto view = View(names);
  for (const auto& member : view.members) {
    cr_assert(FeedSourcesOf(view, member).empty());
  }
}

// Guards against a host of a small fleet that waits for the members before it
// reads the state, and against one of a large fleet that does not.
Test(fleet, even_share_tells_a_small_fleet) {
  const std::size_t all =
      std::size_t{kJobTopics + kMemberTopics} * kPartitionsPerTopic;
  cr_assert(OwnsShareOfSmallFleet(all / 11, kPartitionsPerTopic, 3));
  cr_assert_not(OwnsShareOfSmallFleet(all / 60, kPartitionsPerTopic, 6));
  cr_assert_not(OwnsShareOfSmallFleet(0, kPartitionsPerTopic, 3));
}

// Guards against a host that takes the first member for the only one for good,
// since the partitions change hands without a further generation. Load: all
// hosts of a large fleet start at once.
Test(fleet, owners_are_read_again_until_partitions_have_settled) {
  using std::chrono::milliseconds;
  const auto begin = time_point() + std::chrono::seconds(100);
  owner_reads reads(milliseconds(2000));
  reads.RecordJoin(143, 0, begin);
  cr_assert(reads.IsDue(0, true, begin));
  cr_assert_not(reads.IsDue(143, true, begin));
  reads.RecordJoin(300, 0, begin + milliseconds(670));
  cr_assert(reads.IsDue(143, true, begin + milliseconds(670)));
  // The first member has given up partitions.
  const auto handed_over = begin + milliseconds(1340);
  reads.RecordJoin(300, 1, handed_over);
  cr_assert(reads.IsDue(300, true, handed_over));
  cr_assert(reads.IsDue(300, true, handed_over + milliseconds(1340)));
  cr_assert_not(reads.IsDue(300, true, handed_over + milliseconds(2010)));
  // Others tell it.
  cr_assert_not(reads.IsDue(300, false, handed_over));
  // The store counts anew.
  reads.RecordJoin(5, 1, handed_over + milliseconds(5000));
  cr_assert(reads.IsDue(300, false, handed_over + milliseconds(5000)));
}

// Guards against every host of a large fleet reading the store, because the
// view shows one member only.
Test(fleet, a_view_of_one_other_member_is_provisional) {
  fleet_member self;
  self.name = "10.0.0.1|a|500";
  fleet_member other;
  other.name = "10.0.0.2|a|500";
  fleet_view view;
  cr_assert_not(IsProvisional(view, self));
  view.members = {other};
  cr_assert(IsProvisional(view, self));
  cr_assert_not(IsProvisional(view, other));
  view.members = {other, self};
  cr_assert_not(IsProvisional(view, self));
}

// Guards against jobs that are written to the partition of another region, and
// against a fleet that calls the store for regions although nothing asks for
// them.
Test(fleet, partitions_of_regions_follow_those_of_the_group) {
  const auto layout = RegionalLayout();
  cr_assert_eq(PartitionCount(layout),
               std::size_t{kJobTopics + 2} * kPartitionsPerTopic);
  std::set<log_partition> places;
  for (std::uint32_t i = 0; i < PartitionCount(layout); ++i) {
    const auto where = LocatePartition(partition_id(i), layout);
    places.insert(where);
    cr_assert_eq(PartitionAt(where, layout)->value, i);
  }
  cr_assert_eq(places.size(), PartitionCount(layout));
  const partition_id first(kJobTopics * kPartitionsPerTopic);
  cr_assert_eq(RegionOf(first, layout)->value, "east");
  cr_assert_eq(LocatePartition(first, layout).topic, "region-jobs-east");
  cr_assert_not(RegionOf(partition_id(first.value - 1), layout).has_value());
  cr_assert_not(
      RegionOf(partition_id(static_cast<std::uint32_t>(PartitionCount(layout))),
               layout)
          .has_value());
  cr_assert_not(PartitionAt({"region-jobs-north", 0}, layout).has_value());
  cr_assert_not(
      PartitionAt({"region-jobs-east", 0}, GroupLayout()).has_value());
  cr_assert_eq(
      PartitionCount(MakeLayout(kPartitionsPerTopic, Regions(), false)),
      std::size_t{kJobTopics} * kPartitionsPerTopic);
}

// Guards against jobs of a region that are held in another one, and against two
// hosts that disagree about the owner.
Test(fleet, regional_partitions_are_owned_in_their_region) {
  cr_assert(rc::check(CheckRegionalOwners));
}

// Guards against a change of one member that moves the jobs of others.
Test(fleet, few_regional_partitions_move_with_a_member) {
  cr_assert(rc::check(CheckRegionalMoves));
}

// Guards against one host of a region that holds most of its jobs.
Test(fleet, regional_partitions_are_spread_over_the_members) {
  constexpr std::uint32_t kManyPartitions = 1000;
  const auto layout = RegionalLayout(kManyPartitions);
  std::vector<std::string> names;
  for (int i = 0; i < 10; ++i) {
    names.push_back(Name("10.0.0." + std::to_string(i), "a", 0.5));
  }
  std::map<std::string, std::size_t> counts;
  for (const auto& owner :
       RegionalOwners(RegionalView(names, layout), layout)) {
    ++counts[owner];
  }
  cr_assert_eq(counts[""], kManyPartitions, "those of the other region");
  for (const auto& name : names) {
    cr_assert_geq(counts[name], kManyPartitions / 20);
    cr_assert_leq(counts[name], kManyPartitions / 5);
  }
}

}  // namespace dogwood::testing
