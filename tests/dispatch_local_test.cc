/** Tests of the placement of a host that has no dispatcher. */
#include "tests/dispatch_world.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {

// Guards against a fleet that admits a whole limit at each of its hosts while
// they have no dispatcher.
Test(dispatch_local, hosts_alone_admit_a_part_of_each_limit) {
  constexpr std::size_t kHosts = 10;
  const limit_rate rate{.per_s = 40, .burst = 40};
  int granted = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    local_placement local(0.5, host);
    local.SetServers(Servers(20), Regions());
    local.SetHostCount(kHosts);
    for (int i = 0; i < 1000; ++i) {
      const auto now = Begin() + milliseconds(5 * i);
      const auto answer = local.Ask(
          Ask(static_cast<std::uint64_t>(i), work_class::kOnline, now), rate,
          now);
      granted += answer.verdict == placement_verdict::kGranted ? 1 : 0;
    }
  }
  cr_assert_leq(granted, 5 * 40 + 40);
  cr_assert_gt(granted, 50);
}

// Load: all hosts start anew, each with every open item of its jobs. Guards
// against batch runs that fill the servers before a dispatcher can weigh them
// against online work, and against items that never run without one.
Test(dispatch_local, hosts_alone_leave_most_slots_free_of_batch) {
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
      const auto answer = local.Ask(
          Ask(static_cast<std::uint64_t>(i), work_class::kBatch, now), {}, now);
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

// Load: all hosts start anew while callers press. Guards against hosts that
// take each limit for theirs alone until they know the members, and against a
// first request of a workspace that is refused.
Test(dispatch_local, hosts_that_start_admit_one_request_of_a_workspace) {
  const limit_rate rate{.per_s = 40, .burst = 40};
  local_placement local(0.5, 1);
  local.SetServers(Servers(20), Regions());
  int granted = 0;
  for (int i = 0; i < 200; ++i) {
    const auto now = Begin() + milliseconds(5 * i);
    const auto answer =
        local.Ask(Ask(static_cast<std::uint64_t>(i), work_class::kOnline, now),
                  rate, now);
    const bool is_granted = answer.verdict == placement_verdict::kGranted;
    cr_assert(i > 0 || is_granted);
    granted += is_granted ? 1 : 0;
  }
  cr_assert_leq(granted, 2);
}

// Guards against a host that, alone, sends everything to one server or to one
// that others have filled.
Test(dispatch_local, hosts_alone_use_the_last_counts) {
  local_placement local(0.5, 1);
  local.SetServers(Servers(2), Regions());
  local.SetCounts({{server_id("s0"), kSlots + 2}}, Begin() + seconds(1));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    const auto answer =
        local.Ask(Ask(i, work_class::kOnline, Begin()), {}, Begin());
    cr_assert_eq(answer.server.value, "s1");
    local.RecordRunStart(answer.server, work_class::kOnline);
  }
}

}  // namespace dogwood::testing
