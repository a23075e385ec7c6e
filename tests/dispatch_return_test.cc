/** Tests of the detection of retrying callers. */
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

// Guards against treating retries as new requests on a host that has just
// started: callers whose streams were interrupted retry there, and a second
// refusal ends their requests.
Test(dispatch_return, first_requests_of_a_host_may_be_retries) {
  retry_detector detector;
  cr_assert(detector.RecordAndCheckRetry(Route(), milliseconds(3900), 0));
  cr_assert_not(detector.RecordAndCheckRetry(Route(), milliseconds(4999), 0));
  cr_assert(detector.RecordAndCheckRetry(Route(), milliseconds(4500), 0));
}

// Guards against treating a resumed stream as a new request.
Test(dispatch_return, resumed_stream_is_a_retry) {
  retry_detector detector;
  cr_assert(detector.RecordAndCheckRetry(Route(), milliseconds(5000), 9));
}

// Guards against counting all callers of a route as retries, which gives none
// of them precedence, because they allow less time than the route's limit.
Test(dispatch_return, callers_with_short_limits_are_learned) {
  retry_detector detector;
  for (int i = 0; i < 20; ++i) {
    detector.RecordAndCheckRetry(Route(), milliseconds(3000), 0);
  }
  cr_assert_not(detector.RecordAndCheckRetry(Route(), milliseconds(3000), 0));
  cr_assert(detector.RecordAndCheckRetry(Route(), milliseconds(2500), 0));
}

}  // namespace dogwood::testing
