/** Tests of workspace limits over changes of the dispatcher. */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr limit_rate kRate{.per_s = 77, .burst = 77};
const workspace_id kWorkspace("w");

/** Takes tokens until none is left; returns their number. */
auto TakeAll(limit_ledger& ledger, time_point now) -> int {
  int taken = 0;
  while (ledger.Consume(kWorkspace, kRate, now)) {
    ++taken;
  }
  return taken;
}

/** A report of a host that a dispatcher has answered. */
auto InformedReport() -> usage_report {
  return {.is_informed = true, .known = {}, .grants = {}};
}

// Guards against a second burst from a dispatcher that takes over: what the
// former one has granted is handed over.
Test(dispatch_usage, handed_over_burst_is_not_granted_again) {
  limit_ledger first(0.5);
  first.Record(InformedReport(), false, Begin());
  cr_assert_eq(TakeAll(first, Begin()), 77);
  limit_ledger second(0.5);
  auto report = InformedReport();
  report.known = first.Usage(0, Begin() + milliseconds(500));
  second.Record(report, false, Begin() + milliseconds(500));
  cr_assert_eq(TakeAll(second, Begin() + milliseconds(500)), 38);
}

// Guards against wrong refusals: a dispatcher that takes over in calm grants
// the whole burst, and one that nobody can inform half of it.
Test(dispatch_usage, calm_change_grants_the_whole_burst) {
  limit_ledger informed(0.5);
  informed.Record(InformedReport(), false, Begin());
  cr_assert_eq(TakeAll(informed, Begin()), 77);
  limit_ledger alone(0.5);
  cr_assert_eq(TakeAll(alone, Begin()), 38);
}

// Guards against counting one grant twice, as told by its dispatcher and as
// reported by its host, and against not counting later ones.
Test(dispatch_usage, grants_are_counted_once) {
  const dispatcher_term old(1);
  limit_ledger ledger(0.5);
  auto report = InformedReport();
  report.known = {{kWorkspace, kRate, 40, Begin(), old}};
  report.grants = {
      {kWorkspace, kRate, 10, Begin() - milliseconds(10), old},
      {kWorkspace, kRate, 5, Begin() + milliseconds(1), old},
      {kWorkspace, kRate, 3, Begin() + milliseconds(1), dispatcher_term()}};
  const auto now = Begin() + milliseconds(1);
  ledger.Record(report, false, now);
  cr_assert_eq(TakeAll(ledger, now), 29);
}

// Guards against forgetting the grants of a dispatcher that goes on deciding:
// they make a debt, which is paid before anything more is granted.
Test(dispatch_usage, grants_of_two_dispatchers_add_up) {
  limit_ledger ledger(0.5);
  ledger.Record(InformedReport(), false, Begin());
  cr_assert_eq(TakeAll(ledger, Begin()), 77);
  auto report = InformedReport();
  report.grants = {{kWorkspace, kRate, 77, Begin(), dispatcher_term(1)}};
  ledger.Record(report, true, Begin());
  cr_assert_eq(TakeAll(ledger, Begin() + milliseconds(990)), 0);
  cr_assert_eq(TakeAll(ledger, Begin() + seconds(2)), 77);
}

// Guards against a host that tells a restarted dispatcher of the same name
// nothing, since it takes it for the one that knows.
Test(dispatch_usage, new_term_of_a_host_is_told_what_the_old_one_granted) {
  usage_memory memory;
  const dispatcher_term old(1);
  memory.RecordReply("h", old, true, Begin());
  memory.RecordUsage({kWorkspace, kRate, 70, Begin(), old});
  cr_assert(memory.MakeReport("h", Begin()).known.empty());
  memory.RecordReply("h", dispatcher_term(2), false, Begin());
  const auto report = memory.MakeReport("h", Begin());
  cr_assert_eq(report.known.size(), 1);
  cr_assert(report.is_informed);
}

// Guards against grants that are reported twice, or never after a lost report.
Test(dispatch_usage, grants_are_reported_until_answered) {
  usage_memory memory;
  const auto now = Begin();
  memory.RecordGrant(kWorkspace, kRate, dispatcher_term(1), now);
  memory.RecordGrant(kWorkspace, kRate, dispatcher_term(1), now);
  const auto before = memory.ReportedUntil("h");
  const auto report = memory.MakeReport("h", now);
  cr_assert_eq(report.grants.size(), 1);
  cr_assert_eq(report.grants[0].count, 2);
  cr_assert(memory.MakeReport("h", now).grants.empty());
  memory.RecordNoReply("h", before);
  cr_assert_eq(memory.MakeReport("h", now).grants.size(), 1);
}

}  // namespace
}  // namespace dogwood::testing
