/** Tests of the fleet-wide limits. */
#include <rapidcheck.h>

#include <cstdio>

#include "tests/limit_simulation.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kStepsPerCase = 4000;

/** Runs one random simulation; returns the greatest excess over the limit. */
auto GreatestExcess(std::uint32_t seed, limit_rate rate, fleet_faults faults)
    -> double {
  constexpr std::size_t kHosts = 5;
  limit_simulation fleet(kHosts, limit_mode::kDemandShares, rate, faults, seed);
  conformance check(rate);
  auto now = time_point() + std::chrono::hours(1);
  double excess = 0;
  std::vector<int> waiting(kHosts, 0);
  for (int step = 0; step < kStepsPerCase; ++step) {
    // A long pause now and then lets the buckets fill up.
    now += milliseconds(fleet.random()() % (step % 500 == 0 ? 20000 : 20));
    fleet.Advance(now);
    const std::size_t host = fleet.random()() % kHosts;
    const auto event = fleet.random()() % 1000;
    if (event == 0) {
      // Ownership guarantees that the former owner has stopped by now.
      fleet.ChangeOwner(now);
    } else if (event == 1) {
      fleet.Restart(host, limit_mode::kDemandShares);
      waiting[host] = 0;
    } else if (event == 2) {
      fleet.EvictFull(now);
    } else if (event < 300 && waiting[host] > 0) {
      if (fleet.Retry(host, now)) {
        --waiting[host];
        excess = std::max(excess, check.Admit(now));
      }
    } else if (fleet.Request(host, now)) {
      excess = std::max(excess, check.Admit(now));
    } else {
      ++waiting[host];
    }
  }
  return excess;
}

/** Property: no interval has more than burst + rate * length admissions. */
auto NeverExceedsLimit() -> bool {
  return rc::check("admissions never exceed rate and burst", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const limit_rate rate{*rc::gen::inRange(1, 400) / 4.0,
                          *rc::gen::inRange(4, 200) / 4.0};
    const fleet_faults faults{*rc::gen::inRange(0, 30) / 100.0,
                              milliseconds(*rc::gen::inRange(0, 400)), 0.05};
    RC_ASSERT(GreatestExcess(seed, rate, faults) == 0);
  });
}

/** Returns the fraction of requests admitted within 100 ms, at 0.8 of the rate
 * and after 5 s of warm-up. The requests are spread over all hosts, or move to
 * the next host every 10 s if `skewed`. */
auto AdmittedShare(limit_mode mode, bool skewed) -> double {
  constexpr std::size_t kHosts = 11;
  const limit_rate rate{50, 50};
  limit_simulation fleet(kHosts, mode, rate, {}, 7);
  auto now = time_point() + std::chrono::hours(1);
  const auto start = now;
  int sent_requests = 0;
  int admitted = 0;
  std::vector<std::pair<std::size_t, time_point>> waiting;
  for (int ms = 0; ms < 60000; ++ms) {
    now = start + milliseconds(ms);
    fleet.Advance(now);
    std::erase_if(waiting, [&](const auto& w) {
      if (fleet.Retry(w.first, now)) {
        ++admitted;
        return true;
      }
      if (now - w.second > milliseconds(100)) {
        fleet.CancelWaiting(w.first);
        return true;
      }
      return false;
    });
    if (ms < 5000 || ms % 25 != 0) {
      continue;
    }
    const std::size_t host =
        skewed ? (ms / 10000) % kHosts : fleet.random()() % kHosts;
    ++sent_requests;
    if (fleet.Request(host, now)) {
      ++admitted;
    } else {
      waiting.emplace_back(host, now);
    }
  }
  return static_cast<double>(admitted) / sent_requests;
}

}  // namespace
}  // namespace dogwood::testing

// Guards against hosts that together admit more than a workspace's rate and
// burst, with lost and late messages, clock drift, host restarts and changes of
// the owner. Detects an owner that does not count outstanding tokens and a new
// owner that starts with a full bucket.
Test(limit, admissions_never_exceed_rate_and_burst) {
  cr_assert(dogwood::testing::NeverExceedsLimit());
}

// Guards against refusals within the rate: a static split per host refuses most
// requests if all of them arrive at one host; demand shares must refuse none.
Test(limit, load_within_the_rate_is_admitted) {
  using dogwood::limit_mode;
  using dogwood::testing::AdmittedShare;
  for (const bool skewed : {false, true}) {
    const auto share = AdmittedShare(limit_mode::kDemandShares, skewed);
    std::printf(
        "admitted within the rate, skewed=%d: demand shares %.4f, "
        "central bucket %.4f, static split %.4f\n",
        skewed, share, AdmittedShare(limit_mode::kCentralBucket, skewed),
        AdmittedShare(limit_mode::kStaticSplit, skewed));
    cr_assert_eq(share, 1.0);
  }
}

// Guards against an owner that considers a grant expired while a host whose
// clock is 5% slow still uses it.
Test(limit, grants_outlive_slow_clocks) {
  using namespace dogwood;
  const auto ttl = std::chrono::seconds(1);
  const workspace_id workspace("w");
  const limit_rate rate{1000, 1};
  limit_owner_table owner(ttl, 1);
  const auto since = time_point() + std::chrono::hours(1);
  const auto start = since + std::chrono::minutes(1);
  cr_assert_eq(owner.Grant(workspace, rate, 1, {}, since, start).tokens, 1);
  const auto slow_expiry =
      start + std::chrono::duration_cast<duration>(ttl / 0.95);
  cr_assert_eq(owner.Grant(workspace, rate, 1, {}, since, slow_expiry).tokens,
               0);
}

// Guards against applying a report on a former owner's grant to a grant of the
// present owner, which would free tokens that are still in use.
Test(limit, reports_on_a_former_owners_grant_are_ignored) {
  using namespace dogwood;
  const workspace_id workspace("w");
  const limit_rate rate{1, 1};
  const auto since = time_point() + std::chrono::hours(1);
  const auto start = since + std::chrono::minutes(1);
  limit_owner_table former(std::chrono::seconds(1), 1000);
  limit_owner_table present(std::chrono::seconds(1), 2000);
  const auto old = former.Grant(workspace, rate, 1, {}, since, start);
  const auto held = present.Grant(workspace, rate, 1, {}, since, start);
  cr_assert_eq(held.tokens, 1);
  const std::vector<grant_report> reports{{old.id, 0, 1}};
  cr_assert_eq(present.Grant(workspace, rate, 1, reports, since, start).tokens,
               0);
}
