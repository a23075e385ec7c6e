/** Tests of placement within the regions that a request is bound to. */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** `count` servers in each of the data centres "a" (east) and "b" (west). */
auto ServersInBothRegions(unsigned count) -> std::vector<registered_server> {
  auto servers = Servers(count);
  for (auto server : Servers(count)) {
    server.id = server_id("west-" + server.id.value);
    server.data_centre = data_centre_id("b");
    servers.push_back(std::move(server));
  }
  return servers;
}

auto IsWest(const server_id& server) -> bool {
  return server.value.starts_with("west-");
}

auto BoundTo(const char* region) -> region_bound {
  return region_bound({region_id(region)});
}

auto MakeReadyDispatcher(unsigned count) -> dispatcher {
  dispatcher d({}, 7);
  d.SetServers(ServersInBothRegions(count), Regions());
  d.Start(Begin() - seconds(1));
  d.ReconcileHeldSlots(host_id("h"), {}, Begin());
  return d;
}

/** Returns the answer to a request; nothing while it waits. */
auto Place(dispatcher& d, const placement_request& request, time_point now)
    -> std::optional<placement_answer> {
  d.RequestSlot(request, {}, now);
  for (const auto& notice : d.DrainNotices()) {
    if (notice.ticket == request.ticket) {
      return notice.answer;
    }
  }
  return std::nullopt;
}

}  // namespace

// Guards against requests that run outside their regions when the allowed ones
// are full. Load: online requests and batch items of both kinds, bound to one
// region, the other, both or none, with runs that end at random.
Test(dispatch_region, no_request_leaves_its_regions) {
  const bool holds = rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    auto d = MakeReadyDispatcher(2);
    std::map<ticket_id, region_bound> bounds;
    std::vector<held_slot> held;
    auto now = Begin();
    for (std::uint64_t i = 1; i <= 300; ++i) {
      now += milliseconds(random() % 20);
      auto request = MakeRequest(
          i, random() % 3 == 0 ? work_class::kBatch : work_class::kOnline, now);
      const auto kind = random() % 4;
      if (kind < 2) {
        request.regions = BoundTo(kind == 0 ? "east" : "west");
      } else if (kind == 2) {
        request.regions = region_bound({region_id("east"), region_id("west")});
      }
      bounds[request.ticket] = request.regions;
      d.RequestSlot(request, {}, now);
      if (!held.empty() && random() % 2 == 0) {
        d.End(host_id("h"), {held.back().ticket, run_outcome::kComplete}, now);
        held.pop_back();
      }
      d.ReconcileHeldSlots(host_id("h"), held, now);
      d.Advance(now);
      for (const auto& notice : d.DrainNotices()) {
        if (notice.answer.verdict == placement_verdict::kGranted) {
          const region_id region(IsWest(notice.answer.server) ? "west"
                                                              : "east");
          RC_ASSERT(bounds[notice.ticket].Allows(region));
          held.push_back({notice.ticket, notice.answer.server});
        }
      }
      d.DrainPreemptions();
    }
  });
  cr_assert(holds);
}

// Guards against a request that waits beside free slots, because the region of
// another one that is ahead of it in the queue is full.
Test(dispatch_region, a_full_region_does_not_hold_up_the_others) {
  auto d = MakeReadyDispatcher(1);
  std::uint64_t ticket = 1;
  for (unsigned i = 0; i < 2 * kSlots; ++i) {
    cr_assert(
        Place(d, MakeRequest(ticket++, work_class::kOnline, Begin()), Begin()));
  }
  auto west = MakeRequest(100, work_class::kOnline, Begin());
  west.regions = BoundTo("west");
  auto east = MakeRequest(101, work_class::kOnline, Begin());
  east.regions = BoundTo("east");
  cr_assert_not(Place(d, west, Begin()).has_value());
  cr_assert_not(Place(d, east, Begin()).has_value());
  // The host's own data centre is filled first: ticket 1 runs in the east.
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete}, Begin());
  const auto notices = d.DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].ticket.value, 101);
  cr_assert_not(IsWest(notices[0].answer.server));
}

// Guards against a request that waits until its deadline although no server of
// its regions exists.
Test(dispatch_region, a_region_without_servers_is_refused_at_once) {
  auto d = MakeReadyDispatcher(1);
  auto request = MakeRequest(1, work_class::kOnline, Begin());
  request.regions = BoundTo("north");
  const auto answer = Place(d, request, Begin());
  cr_assert(answer && answer->verdict == placement_verdict::kNoServer);
}

// Guards against counts of all servers for every host, which filled the link
// between regions: hosts get those in use, the nearest first, and no more than
// they need.
Test(dispatch_region, hosts_get_the_counts_of_used_servers_near_them) {
  auto d = MakeReadyDispatcher(100);
  for (std::uint64_t i = 1; i <= 60; ++i) {
    auto request = MakeRequest(i, work_class::kOnline, Begin());
    request.regions = BoundTo(i % 2 == 0 ? "west" : "east");
    cr_assert(Place(d, request, Begin()).has_value());
  }
  const host_location west{data_centre_id("b"), region_id("west")};
  const auto all = d.CountsNear(west, 200);
  cr_assert_eq(all.size(), 60);
  cr_assert(std::all_of(all.begin(), all.begin() + 30,
                        [](const auto& row) { return IsWest(row.server); }));
  cr_assert_not(IsWest(all.back().server));
  const auto some = d.CountsNear(west, 40);
  cr_assert_eq(some.size(), 40);
  cr_assert(IsWest(some[29].server));
  cr_assert_not(IsWest(some[30].server));
}

// Guards against a host without dispatcher that sends requests out of their
// regions.
Test(dispatch_region, hosts_alone_keep_to_the_regions) {
  local_placement local(0.5, 1);
  local.SetServers(ServersInBothRegions(1), Regions());
  for (std::uint64_t i = 1; i <= 40; ++i) {
    auto request = MakeRequest(i, work_class::kOnline, Begin());
    request.regions = BoundTo("west");
    const auto answer = local.RequestSlot(request, {}, Begin());
    if (answer.verdict == placement_verdict::kGranted) {
      cr_assert(IsWest(answer.server));
      local.RecordRunStart(answer.server, work_class::kOnline);
    }
    cr_assert(i > 1 || answer.verdict == placement_verdict::kGranted);
  }
}

}  // namespace dogwood::testing
