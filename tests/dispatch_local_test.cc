/** Tests of the fallback placement of a host that has no dispatcher. */
#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {

// Guards against each host admitting a workspace's full limit while the hosts
// have no dispatcher.
Test(dispatch_local, hosts_admit_a_share_of_each_limit) {
  constexpr std::size_t kHosts = 10;
  const limit_rate rate{.per_s = 40, .burst = 40};
  int granted = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    local_placement local(0.5, host);
    local.SetServers(Servers(20), Regions());
    local.SetHostCount(kHosts);
    for (int i = 0; i < 1000; ++i) {
      const auto now = Begin() + milliseconds(5 * i);
      const auto answer = local.RequestSlot(
          MakeRequest(static_cast<std::uint64_t>(i), work_class::kOnline, now),
          rate, now);
      granted += answer.verdict == placement_verdict::kGranted ? 1 : 0;
    }
  }
  cr_assert_leq(granted, 5 * 40 + 40);
  cr_assert_gt(granted, 50);
}

// Guards against batch runs that fill the servers before there is a dispatcher,
// and against batch items that never run without one. Load: all hosts restart,
// each with every open item of its jobs.
Test(dispatch_local, hosts_leave_half_of_the_slots_free_of_batch) {
  constexpr std::size_t kHosts = 11;
  constexpr unsigned kServers = 12;
  unsigned granted = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    local_placement local(0.5, host);
    local.SetServers(Servers(kServers), Regions());
    local.SetHostCount(kHosts);
    local.ExpectDispatcher(Begin() + seconds(1));
    for (int i = 0; i < 200; ++i) {
      const auto now = Begin() + milliseconds(10 * i);
      const auto answer = local.RequestSlot(
          MakeRequest(static_cast<std::uint64_t>(i), work_class::kBatch, now),
          {}, now);
      if (answer.verdict == placement_verdict::kGranted) {
        cr_assert_geq(now, Begin() + seconds(1));
        local.RecordRunStart(answer.server, work_class::kBatch);
        ++granted;
      }
    }
  }
  cr_assert_leq(granted, kServers * kSlots / 2 + kHosts);
  cr_assert_geq(granted, kHosts);
}

// Guards against hosts that each use the full limit until they know the
// members, and against refusing the first request of a workspace. Load: all
// hosts restart while callers send requests at a high rate.
Test(dispatch_local, restarted_hosts_admit_one_request_of_a_workspace) {
  const limit_rate rate{.per_s = 40, .burst = 40};
  local_placement local(0.5, 1);
  local.SetServers(Servers(20), Regions());
  int granted = 0;
  for (int i = 0; i < 200; ++i) {
    const auto now = Begin() + milliseconds(5 * i);
    const auto answer = local.RequestSlot(
        MakeRequest(static_cast<std::uint64_t>(i), work_class::kOnline, now),
        rate, now);
    const bool is_granted = answer.verdict == placement_verdict::kGranted;
    cr_assert(i > 0 || is_granted);
    granted += is_granted ? 1 : 0;
  }
  cr_assert_leq(granted, 2);
}

// Guards against a host without dispatcher that sends requests to a server that
// other hosts have filled.
Test(dispatch_local, hosts_use_the_latest_counts) {
  local_placement local(0.5, 1);
  local.SetServers(Servers(2), Regions());
  local.SetCounts({{server_id("s0"), kSlots + 2}}, Begin() + seconds(1));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    const auto answer = local.RequestSlot(
        MakeRequest(i, work_class::kOnline, Begin()), {}, Begin());
    cr_assert_eq(answer.server.value, "s1");
    local.RecordRunStart(answer.server, work_class::kOnline);
  }
}

// Guards against servers that seem full for ever, since the dispatcher no
// longer lists those that nobody uses.
Test(dispatch_local, servers_missing_from_the_counts_are_free) {
  local_placement local(0.5, 1);
  local.SetServers(Servers(1), Regions());
  const auto is_granted = [&local](std::uint64_t ticket) {
    const auto request = MakeRequest(ticket, work_class::kOnline, Begin());
    return local.RequestSlot(request, {}, Begin()).verdict ==
           placement_verdict::kGranted;
  };
  local.SetCounts({{server_id("s0"), kSlots + 2}}, Begin() + seconds(1));
  cr_assert_not(is_granted(1));
  local.SetCounts({}, Begin() + seconds(2));
  cr_assert(is_granted(2));
}

}  // namespace dogwood::testing
