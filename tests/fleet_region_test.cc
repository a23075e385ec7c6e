/** Tests of the choice of a job's partition by its regions. */
#include <rapidcheck.h>

#include <algorithm>

#include "src/fleet.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

using std::chrono::seconds;

const region_id kEast("east");
const region_id kWest("west");
const region_id kNorth("north");

/** Three regions with one data centre each. */
auto Layout() -> partition_layout {
  return MakeLayout(12,
                    {{data_centre_id("a"), kEast},
                     {data_centre_id("b"), kWest},
                     {data_centre_id("c"), kNorth}},
                    true);
}

/** Returns a view with one member in each of these data centres. */
auto View(const std::vector<std::string>& data_centres) -> fleet_view {
  fleet_view view;
  for (const auto& data_centre : data_centres) {
    view.members.push_back({.name = "10.0.0.1|" + data_centre + "|500",
                            .ip = "10.0.0.1",
                            .data_centre = data_centre_id(data_centre),
                            .processor_share = 0.5});
  }
  view.owners.assign(GroupPartitionCount(Layout()), 0);
  AssignRegionalOwners(view, Layout());
  return view;
}

/** Returns a state with one batch route that has these regions. */
auto State(std::set<region_id> regions) -> deployment {
  deployment state;
  state.routes.push_back({.id = route_id("job"),
                          .host = "one.example",
                          .prefix = "/job/",
                          .kind = request_kind::kBatch,
                          .services = {},
                          .regions = std::move(regions)});
  return state;
}

auto DrawBound() -> region_bound {
  std::set<region_id> regions;
  for (const auto& region : {kEast, kWest, kNorth, region_id("unknown")}) {
    if (*rc::gen::arbitrary<bool>()) {
      regions.insert(region);
    }
  }
  return *rc::gen::arbitrary<bool>() ? region_bound(regions) : region_bound();
}

/** Property: a bound job goes to a region that is allowed and has hosts, others
 * where they go without regions, and each is among the candidates, whatever
 * bounds and members the host that looks for it knows. */
auto CheckChoice() -> void {
  const auto layout = Layout();
  std::vector<std::string> data_centres;
  for (const auto* name : {"a", "b", "c"}) {
    if (*rc::gen::arbitrary<bool>()) {
      data_centres.emplace_back(name);
    }
  }
  const auto view = View(data_centres);
  const batch_id job(std::to_string(*rc::gen::arbitrary<std::uint64_t>()));
  const auto bound = DrawBound();
  const auto chosen = ChoosePartition(job, bound, layout, view);
  if (MayBeHeldAnywhere(bound, layout)) {
    RC_ASSERT(chosen == PartitionOf(job, layout));
  } else if (chosen) {
    const auto region = RegionOf(*chosen, layout);
    RC_ASSERT(region.has_value());
    RC_ASSERT(bound.Allows(*region));
    RC_ASSERT(view.OwnerOf(*chosen) != nullptr);
    RC_ASSERT(layout.RegionOf(*view.OwnerOf(*chosen)) == region);
  } else {
    RC_ASSERT(std::ranges::none_of(view.members, [&](const auto& member) {
      return bound.Allows(*layout.RegionOf(member));
    }));
  }
  const std::vector<region_bound> likely{DrawBound(), DrawBound()};
  const auto candidates = CandidatePartitions(job, likely, layout, view);
  RC_ASSERT(candidates.size() == 1 + layout.regions.size());
  RC_ASSERT(
      (!chosen || std::ranges::find(candidates, *chosen) != candidates.end()));
  const auto first = ChoosePartition(job, likely[0], layout, view);
  RC_ASSERT((!first || candidates[0] == *first));
}

/** Property: a job that was accepted before the declared regions or the regions
 * with hosts have changed is looked for in the partition that holds it. */
auto CheckEarlier() -> void {
  const auto layout = Layout();
  const auto time = [](int s) { return time_point(seconds(s)); };
  const auto draw_regions = [] {
    std::set<region_id> regions;
    for (const auto& region : {kEast, kWest, kNorth}) {
      if (*rc::gen::arbitrary<bool>()) {
        regions.insert(region);
      }
    }
    return regions;
  };
  const auto draw_view = [] {
    std::vector<std::string> data_centres;
    for (const auto* name : {"a", "b", "c"}) {
      if (*rc::gen::arbitrary<bool>()) {
        data_centres.emplace_back(name);
      }
    }
    return View(data_centres);
  };
  const batch_id job(std::to_string(*rc::gen::arbitrary<std::uint64_t>()));
  placement_changes changes;
  auto view = draw_view();
  auto regions = draw_regions();
  const auto chosen = [&] {
    const auto bound = regions.empty() ? region_bound() : region_bound(regions);
    return std::pair(bound, ChoosePartition(job, bound, layout, view));
  };
  changes.RecordView(view, layout, time(0));
  changes.RecordState(State(regions), time(0));
  const auto accepted = chosen().second;
  const auto accepted_at = 100;
  for (int i = 0; i < 3; ++i) {
    if (*rc::gen::arbitrary<bool>()) {
      view = draw_view();
      changes.RecordView(view, layout, time(accepted_at + i));
    } else {
      regions = draw_regions();
      changes.RecordState(State(regions), time(accepted_at + i));
    }
  }
  const auto [bound, now_chosen] = chosen();
  const auto earlier = changes.EarlierPartitions(job, bound, now_chosen, layout,
                                                 time(accepted_at + 5));
  RC_ASSERT((!accepted || accepted == now_chosen ||
             std::ranges::find(earlier, *accepted) != earlier.end()));
  RC_ASSERT((!now_chosen ||
             std::ranges::find(earlier, *now_chosen) == earlier.end()));
  RC_ASSERT(changes
                .EarlierPartitions(job, bound, now_chosen, layout,
                                   time(accepted_at + 100))
                .empty());
}

}  // namespace

// Guards against jobs in regions that their route or workspace excludes, and
// against accepted jobs that no host finds.
Test(fleet_region, bound_jobs_stay_in_their_regions) {
  cr_assert(rc::check(CheckChoice));
}

// Guards against a job that is accepted twice, into two partitions, when it is
// submitted again after its regions have changed.
Test(fleet_region, repeated_jobs_are_looked_for_where_they_were) {
  cr_assert(rc::check(CheckEarlier));
}

// Guards against calls between regions for each submission although nothing has
// changed, and against jobs that are refused while a host that has just started
// cannot reach other regions.
Test(fleet_region, jobs_are_looked_for_only_after_changes) {
  const auto layout = Layout();
  const auto time = [](int s) { return time_point(seconds(s)); };
  const region_bound bound({kEast, kWest});
  placement_changes changes;
  const auto all = View({"a", "b", "c"});
  changes.RecordView(all, layout, time(0));
  changes.RecordState(State({kEast, kWest}), time(0));
  const batch_id job("j1");
  const auto chosen = ChoosePartition(job, bound, layout, all);
  const auto at = [&](int s) {
    return changes.EarlierPartitions(job, bound, chosen, layout, time(s));
  };
  cr_assert_not(at(1).empty());
  cr_assert_not(changes.HasSeenChange(time(1)));
  cr_assert(at(60).empty());
  // The same regions in a newer state, and other members in them.
  changes.RecordState(State({kEast, kWest}), time(100));
  changes.RecordView(View({"a", "a", "b", "c"}), layout, time(100));
  cr_assert(at(101).empty());
  cr_assert_not(changes.HasSeenChange(time(101)));
  changes.RecordState(State({kEast}), time(200));
  cr_assert_not(at(201).empty());
  cr_assert(changes.HasSeenChange(time(201)));
  cr_assert_not(changes.HasSeenChange(time(260)));
}

// Guards against all jobs that are refused after the loss of one region:
// those that would not have been there are taken at once.
Test(fleet_region, loss_of_a_region_concerns_its_own_jobs_only) {
  const auto layout = Layout();
  const auto time = [](int s) { return time_point(seconds(s)); };
  const region_bound bound({kEast, kWest});
  placement_changes changes;
  const auto all = View({"a", "b", "c"});
  const auto without_west = View({"a", "c"});
  changes.RecordView(all, layout, time(0));
  changes.RecordState(State({kEast, kWest}), time(0));
  changes.RecordView(without_west, layout, time(100));
  std::size_t moved = 0;
  for (int i = 0; i < 100; ++i) {
    const batch_id job("j" + std::to_string(i));
    const auto before = ChoosePartition(job, bound, layout, all);
    const auto now = ChoosePartition(job, bound, layout, without_west);
    const auto earlier =
        changes.EarlierPartitions(job, bound, now, layout, time(101));
    cr_assert_eq(RegionOf(*now, layout)->value, "east");
    cr_assert_eq(earlier.empty(), before == now);
    moved += before == now ? 0 : 1;
  }
  cr_assert(moved > 20 && moved < 80, "%zu jobs have moved", moved);
}

// Guards against the memory of a host that grows with each job it is asked
// about.
Test(fleet_region, hints_are_bounded) {
  found_jobs found;
  for (std::uint32_t i = 0; i < 10000; ++i) {
    found.Record(batch_id(std::to_string(i)), partition_id(i));
  }
  cr_assert_eq(found.Find(batch_id("9999"))->value, 9999);
  cr_assert_not(found.Find(batch_id("0")).has_value());
}

}  // namespace dogwood::testing
