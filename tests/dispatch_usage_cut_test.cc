/** The limit of a workspace while dispatchers are cut off in series. */
#include "tests/dispatch_usage_model.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {

// Guards against dispatchers that are cut off, 0.6 to 2 s apart, and grant to
// their own callers what their successors grant as well.
Test(dispatch_usage_cut, cuts_in_series_keep_the_limit) {
  const auto runs = RunAll({.kinds = {change::kCut}, .pressure = 3});
  cr_assert_eq(runs.broken, 0, "%d of 200 runs break the limit", runs.broken);
}

}  // namespace dogwood::testing
