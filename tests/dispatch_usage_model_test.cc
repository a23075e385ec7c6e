/** The limit of a workspace over changes of the dispatcher in series. */
#include "tests/dispatch_usage_model.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {

// Guards against a burst anew from each dispatcher: changes 0.6 to 2 s apart,
// while the workspace sends three times its rate.
Test(dispatch_usage_model, changes_in_series_keep_the_limit) {
  for (const auto kind : {change::kStop, change::kKill, change::kPause}) {
    const auto runs = RunAll({.kinds = {kind}, .pressure = 3});
    cr_assert_eq(runs.broken, 0);
    cr_assert_gt(runs.changes, 1000);
  }
}

// Guards against a dispatcher that is cut off and goes on granting the limit to
// its own callers; changes of all kinds are 6 s apart and more.
Test(dispatch_usage_model, mixed_changes_keep_the_limit) {
  const auto runs =
      RunAll({.kinds = kAllChanges, .pressure = 3, .gap = milliseconds(6000)});
  cr_assert_eq(runs.broken, 0);
  cr_assert_gt(runs.changes, 500);
}

// Guards against a model that would not notice: without reports nearly all
// series of planned stops break the limit.
Test(dispatch_usage_model, forgotten_grants_break_the_limit) {
  const auto runs =
      RunAll({.kinds = {change::kStop}, .pressure = 3, .tells_usage = false});
  cr_assert_gt(runs.broken, 100);
}

// Guards against limits kept by wrong refusals: planned stops refuse fewer of
// the requests that are within the limit than without reports, in calm as many.
Test(dispatch_usage_model, planned_stops_refuse_no_more_than_before) {
  for (const auto pressure : {0.8, 3.0}) {
    scenario plan{.kinds = {change::kStop}, .pressure = pressure};
    const auto told = RunAll(plan);
    plan.tells_usage = false;
    const auto forgotten = RunAll(plan);
    cr_assert_leq(told.refused_wrongly, forgotten.refused_wrongly * 1.01);
  }
}

}  // namespace dogwood::testing
