/** Tests of library freshness. */
#include <rapidcheck.h>
#include <chrono>
#include <iostream>
#include <set>

#include "src/freshness.h"
#include "tests/freshness_simulation.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::test {
namespace {

constexpr std::size_t kStepsPerSimulation = 5000;
constexpr std::uint64_t kSimulationsPerCase = 4;

/** Totals over all simulations. */
struct totals {
  std::uint64_t steps = 0;     ///< Events handled.
  std::uint64_t accepted = 0;  ///< Sum of the accepted offsets.
  std::uint64_t early = 0;     ///< Changes accepted by an attestation.
};

/** Runs one random simulation; fails on the first violation. */
auto RunSimulation(std::uint64_t seed, totals& total) -> void {
  simulation_faults faults;
  std::mt19937_64 random(seed);
  faults.loss_rate = 0.01 * static_cast<double>(random() % 10);
  faults.pause_rate = 0.005 * static_cast<double>(random() % 4);
  faults.change_rate = 0.02 * static_cast<double>(1 + random() % 5);
  freshness_simulation simulation(seed, faults, 2 + random() % 5,
                                  1 + random() % 3);
  for (std::size_t i = 0; i < kStepsPerSimulation; ++i) {
    simulation.Step();
    ++total.steps;
    if (const auto violation = simulation.FindViolation()) {
      RC_FAIL(*violation + " in the simulation with seed " +
              std::to_string(seed));
    }
  }
  total.accepted += simulation.accepted();
  total.early += simulation.accepted_early();
}

/** Property: the invariant holds in every simulation. Prints how much was run.
 */
auto InvariantHolds() -> bool {
  totals total;
  const auto begin = std::chrono::steady_clock::now();
  const bool ok =
      rc::check("no host serves on a configuration older than an accepted one",
                [&total](std::uint64_t seed) {
                  for (std::uint64_t i = 0; i < kSimulationsPerCase; ++i) {
                    RunSimulation(seed * kSimulationsPerCase + i, total);
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
  // A run without changes would prove nothing.
  return ok && total.accepted > 1000 && total.early > 100;
}

/** Returns a simulation without faults, in which all hosts have joined and
 * attested. */
auto FaultlessSimulation(std::size_t hosts, std::size_t regions)
    -> freshness_simulation {
  simulation_faults none;
  none.loss_rate = none.slow_rate = none.answer_loss_rate =
      none.extra_pull_rate = 0;
  none.pause_rate = none.restart_rate = none.join_rate = 0;
  none.failover_rate = 0;
  none.partition_rate = none.outage_rate = none.change_rate = 0;
  freshness_simulation simulation(7, none, hosts, regions);
  simulation.RunUntil(30 * kSecond);
  return simulation;
}

/** Returns the number of hosts that serve, in one region or in all. */
auto CountServing(const freshness_simulation& simulation,
                  std::optional<std::size_t> region) -> std::size_t {
  std::size_t count = 0;
  for (std::size_t i = 0; i < simulation.hosts(); ++i) {
    if ((!region || simulation.host(i).region == *region) &&
        simulation.Serves(i)) {
      ++count;
    }
  }
  return count;
}

/** Returns members with `counts[i]` hosts in region i, named a100, a101, ...,
 * b100, ... */
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

/** Whether parents and children agree, there is one root, and every other host
 * has one parent. */
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

/** Property: the hosts of every fleet form one tree. */
auto EveryFleetIsOneTree() -> bool {
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

// Guards against a host that still accepts a withdrawn key after the withdrawal
// was reported to be in force.
Test(freshness,
     nobody_serves_on_a_configuration_older_than_an_accepted_one,
     .timeout = 300) {
  cr_assert(dogwood::test::InvariantHolds());
}

// Guards against hosts that stop serving because the store is down.
Test(freshness, connected_hosts_stay_fresh_through_a_store_outage) {
  auto simulation = dogwood::test::FaultlessSimulation(7, 3);
  cr_assert_eq(dogwood::test::CountServing(simulation, std::nullopt), 7);
  simulation.SetOutage(1000 * kSecond);
  for (int second = 31; second < 120; ++second) {
    simulation.RunUntil(second * kSecond);
    cr_assert_eq(dogwood::test::CountServing(simulation, std::nullopt), 7);
  }
}

// Guards against a disconnected region that keeps serving on an old
// configuration while the others change it.
Test(freshness, a_disconnected_region_stops_serving) {
  auto simulation = dogwood::test::FaultlessSimulation(7, 3);
  simulation.SetPartition(1, 1000 * kSecond);
  simulation.RunUntil(37 * kSecond);
  cr_assert_eq(dogwood::test::CountServing(simulation, 1), 0);
  cr_assert_eq(dogwood::test::CountServing(simulation, 0), 3);
  // During an outage the others cannot know what the disconnected region
  // accepted.
  simulation.SetOutage(1000 * kSecond);
  simulation.RunUntil(44 * kSecond);
  cr_assert_eq(dogwood::test::CountServing(simulation, std::nullopt), 0);
  simulation.SetPartition(1, 0);
  simulation.RunUntil(54 * kSecond);
  cr_assert_eq(dogwood::test::CountServing(simulation, std::nullopt), 7);
}

// Guards against a delayed request that makes an old attestation look new.
Test(freshness, an_attestation_without_echo_is_ignored) {
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
  cr_assert(dogwood::test::EveryFleetIsOneTree());
}

// Guards against adding the full time that a reply was held to the date of a
// proof: the replying host's clock may be 5% fast, and that of the requesting
// host 5% slow.
Test(freshness, a_held_reply_is_not_dated_too_late) {
  const auto sent = dogwood::time_point() + std::chrono::hours(1);
  const auto real = std::chrono::milliseconds(1000);
  const auto held = std::chrono::duration_cast<dogwood::duration>(real * 1.05);
  const auto as_of = dogwood::ReplyAsOf(sent, held, {});
  cr_assert(as_of <=
            sent + std::chrono::duration_cast<dogwood::duration>(real * 0.95));
}
