/** Tests of the recognition of callers who return. */
#include "src/dispatch.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

using std::chrono::milliseconds;

/** A route whose requests may take 5 s. */
auto Route() -> route_rule {
  route_rule route;
  route.answer_timeout = milliseconds(5000);
  return route;
}

}  // namespace

// Load: callers that were cut off meet a host that has just started. Guards
// against their second refusal, which ends their requests.
Test(dispatch_return, first_requests_of_a_host_may_be_returning_ones) {
  retry_detector history;
  cr_assert(history.Note(Route(), milliseconds(3900), 0));
  cr_assert_not(history.Note(Route(), milliseconds(4999), 0));
  cr_assert(history.Note(Route(), milliseconds(4500), 0));
}

// Guards against a resumed stream that is taken for a new request.
Test(dispatch_return, resumed_stream_returns) {
  retry_detector history;
  cr_assert(history.Note(Route(), milliseconds(5000), 9));
}

// Guards against callers that all count as returning, and so go before nobody,
// where they have less time than their route's limit.
Test(dispatch_return, callers_with_short_limits_are_learned) {
  retry_detector history;
  for (int i = 0; i < 20; ++i) {
    history.Note(Route(), milliseconds(3000), 0);
  }
  cr_assert_not(history.Note(Route(), milliseconds(3000), 0));
  cr_assert(history.Note(Route(), milliseconds(2500), 0));
}

}  // namespace dogwood::testing
