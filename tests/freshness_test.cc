/** Tests of library freshness. */
#include <rapidcheck.h>
#include <chrono>
#include <iostream>
#include <set>

#include "src/freshness.h"
#include "tests/freshness_world.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::test {
namespace {

constexpr std::size_t kStepsPerWorld = 5000;
constexpr std::uint64_t kWorldsPerCase = 4;

/** What all worlds together did. */
struct totals {
  std::uint64_t steps = 0;     ///< Events handled.
  std::uint64_t accepted = 0;  ///< Sum of the offsets accepted last.
  std::uint64_t early = 0;     ///< Changes accepted by a vouch.
};

/** Runs one random world; fails on the first violation. */
auto RunWorld(std::uint64_t seed, totals& total) -> void {
  world_faults faults;
  std::mt19937_64 random(seed);
  faults.loss = 0.01 * static_cast<double>(random() % 10);
  faults.pause_rate = 0.005 * static_cast<double>(random() % 4);
  faults.change_rate = 0.02 * static_cast<double>(1 + random() % 5);
  freshness_world world(seed, faults, 2 + random() % 5, 1 + random() % 3);
  for (std::size_t i = 0; i < kStepsPerWorld; ++i) {
    world.Step();
    ++total.steps;
    if (const auto violation = world.Violation()) {
      RC_FAIL(*violation + " in world " + std::to_string(seed));
    }
  }
  total.accepted += world.accepted();
  total.early += world.early_accepts();
}

/** Whether every world keeps the invariant; prints how much was run. */
auto KeepsInvariant() -> bool {
  totals total;
  const auto begin = std::chrono::steady_clock::now();
  const bool ok =
      rc::check("no host serves on a configuration older than an accepted one",
                [&total](std::uint64_t seed) {
                  for (std::uint64_t i = 0; i < kWorldsPerCase; ++i) {
                    RunWorld(seed * kWorldsPerCase + i, total);
                  }
                });
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begin;
  const auto* params = std::getenv("RC_PARAMS");
  std::cout << "freshness: " << (params == nullptr ? "" : params) << ", "
            << total.steps << " steps, "
            << static_cast<std::uint64_t>(static_cast<double>(total.steps) /
                                          took.count())
            << " steps/s, " << total.accepted << " records accepted, "
            << total.early << " changes accepted early\n";
  // A run in which nothing happened would prove nothing.
  return ok && total.accepted > 1000 && total.early > 100;
}

/** A world without faults that has joined and gathered vouches. */
auto CalmWorld(std::size_t hosts, std::size_t regions) -> freshness_world {
  world_faults none;
  none.loss = none.slow = none.answer_loss = none.stray = 0;
  none.pause_rate = none.restart_rate = none.join_rate = 0;
  none.away_rate = 0;
  none.cut_rate = none.outage_rate = none.change_rate = 0;
  freshness_world world(7, none, hosts, regions);
  world.RunUntil(30 * kSecond);
  return world;
}

/** Number of hosts of a region that serve; all regions if none is given. */
auto Serving(const freshness_world& world, std::optional<std::size_t> region)
    -> std::size_t {
  std::size_t count = 0;
  for (std::size_t i = 0; i < world.hosts(); ++i) {
    if ((!region || world.host(i).region == *region) && world.Serves(i)) {
      ++count;
    }
  }
  return count;
}

/** Members h0, h1, ... of `counts[i]` hosts in region i. */
auto MakeMembers(const std::vector<std::size_t>& counts)
    -> std::vector<member> {
  std::vector<member> members;
  for (std::size_t region = 0; region < counts.size(); ++region) {
    for (std::size_t i = 0; i < counts[region]; ++i) {
      member m;
      m.region = region_id(std::string(1, static_cast<char>('a' + region)));
      m.host = host_id(m.region.value + std::to_string(100 + i));
      members.push_back(m);
    }
  }
  return members;
}

/** Whether parents and children agree, and every host reaches the root. */
auto IsTree(const std::vector<member>& members, const region_id& root_region)
    -> bool {
  std::set<host_id> reached;
  std::size_t roots = 0;
  for (const auto& m : members) {
    const auto position = TreePosition(members, m.host, root_region);
    roots += position.ancestors.empty() ? 1 : 0;
    for (const auto& child : position.children) {
      const auto below = TreePosition(members, child, root_region);
      if (below.ancestors.empty() || below.ancestors.front() != m.host ||
          !reached.insert(child).second) {
        return false;
      }
    }
  }
  return roots == 1 && reached.size() + 1 == members.size();
}

/** Every size of fleet gives one tree. */
auto EveryFleetIsATree() -> bool {
  return rc::check("parents and children agree", [] {
    const auto counts =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, 90)));
    const auto members = MakeMembers(counts);
    RC_PRE(!members.empty());
    const region_id region(
        std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))));
    RC_ASSERT(IsTree(members, region));
  });
}

}  // namespace
}  // namespace dogwood::test

using dogwood::test::kSecond;

// Guards against a withdrawn key that a host still takes after the operator
// was told that the withdrawal is in force.
Test(freshness,
     nobody_serves_on_a_configuration_older_than_an_accepted_one,
     .timeout = 300) {
  cr_assert(dogwood::test::KeepsInvariant());
}

// Guards against online requests ending because the store is down.
Test(freshness, connected_hosts_stay_fresh_through_a_store_outage) {
  auto world = dogwood::test::CalmWorld(7, 3);
  cr_assert_eq(dogwood::test::Serving(world, std::nullopt), 7);
  world.SetOutage(1000 * kSecond);
  for (int second = 31; second < 120; ++second) {
    world.RunUntil(second * kSecond);
    cr_assert_eq(dogwood::test::Serving(world, std::nullopt), 7);
  }
}

// Guards against a region that goes on with an old configuration while the
// others change it.
Test(freshness, a_cut_off_region_stops_serving) {
  auto world = dogwood::test::CalmWorld(7, 3);
  world.SetCut(1, 1000 * kSecond);
  world.RunUntil(37 * kSecond);
  cr_assert_eq(dogwood::test::Serving(world, 1), 0);
  cr_assert_eq(dogwood::test::Serving(world, 0), 3);
  // In an outage the others cannot know what the cut-off region accepted.
  world.SetOutage(1000 * kSecond);
  world.RunUntil(44 * kSecond);
  cr_assert_eq(dogwood::test::Serving(world, std::nullopt), 0);
  world.SetCut(1, 0);
  world.RunUntil(54 * kSecond);
  cr_assert_eq(dogwood::test::Serving(world, std::nullopt), 7);
}

// Guards against a delayed request that makes an old vouch look new.
Test(freshness, a_vouch_without_echo_is_not_taken) {
  using dogwood::log_offset;
  const dogwood::time_point start(std::chrono::hours(1));
  const auto now = start + std::chrono::seconds(60);
  dogwood::freshness_tracker tracker(dogwood::incarnation(5),
                                     std::chrono::seconds(5), start);
  tracker.SetApplied(log_offset(2), 0, 2);
  tracker.SetJoined(log_offset(0));
  dogwood::rank_set other;
  other.Add(1);
  const auto take = [&](std::uint64_t echo_start, dogwood::duration ago) {
    const dogwood::reply_echo echo{
        dogwood::incarnation(echo_start), now - ago, {}};
    tracker.HandleChildAttestation(dogwood::host_id("b"), log_offset(2), other,
                                   {}, echo, now);
    return tracker.MergeAttestations(now)->covered.Covers(2);
  };
  cr_assert_not(take(0, std::chrono::seconds(0)));
  cr_assert_not(take(4, std::chrono::seconds(1)));
  cr_assert_not(take(5, std::chrono::seconds(6)));
  cr_assert(take(5, std::chrono::seconds(1)));
  const auto fleet = tracker.FleetAttestation();
  cr_assert(fleet.has_value() && fleet->as_of == now - std::chrono::seconds(1));
}

// Guards against hosts without a parent or with two.
Test(freshness, every_fleet_is_one_tree) {
  cr_assert(dogwood::test::EveryFleetIsATree());
}

// Guards against a proof that counts the time a reply was held in full: the
// replying host's clock may be 5% fast and the asking host's 5% slow.
Test(freshness, a_held_reply_is_not_dated_too_late) {
  const auto sent = dogwood::time_point() + std::chrono::hours(1);
  const auto real = std::chrono::milliseconds(1000);
  const auto held = std::chrono::duration_cast<dogwood::duration>(real * 1.05);
  const auto as_of = dogwood::ReplyAsOf(sent, held, {});
  cr_assert(as_of <=
            sent + std::chrono::duration_cast<dogwood::duration>(real * 0.95));
}
