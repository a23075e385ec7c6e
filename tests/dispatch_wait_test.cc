/** Tests of the bounds on how long a request may wait for a slot. */
#include <rapidcheck.h>

#include <vector>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** A streaming route with the objectives that the users specify. */
auto Stream() -> route_rule {
  route_rule route;
  route.kind = request_kind::kStream;
  route.objective = milliseconds(300);
  route.event_gap_objective = milliseconds(400);
  return route;
}

/** Typical run times on that route: first event and end. */
constexpr run_times kTypical{milliseconds(50), milliseconds(1100)};

/** Property: the bounds lie before the deadline, and leave time for an attempt.
 */
auto LimitsAreInOrder() -> bool {
  return rc::check("a request may wait for part of its time", [] {
    auto route = Stream();
    route.kind =
        *rc::gen::element(request_kind::kStream, request_kind::kIdempotent);
    const auto left = milliseconds(*rc::gen::inRange(1, 20000));
    const auto first = milliseconds(*rc::gen::inRange(0, 1000));
    const auto complete = milliseconds(*rc::gen::inRange(0, 20000));
    const auto limits =
        StartLimits(route, Begin(), Begin() + left, {first, complete});
    RC_ASSERT(limits.latest_start <= Begin() + left);
    RC_ASSERT(limits.latest_start >= Begin() + left / 2 ||
              route.kind == request_kind::kStream);
    RC_ASSERT(limits.latest_on_time_start <= Begin() + route.objective);
  });
}

/** Property: what a stopping host begins either ends by its own deadline before
 * the exit, or has twice its typical time and a caller that could not know. */
auto StoppingHostBeginsWhatItCanEnd() -> bool {
  return rc::check("a stopping host begins only what it can end", [] {
    const drain_times drain{
        .learned = Begin() + milliseconds(*rc::gen::inRange(0, 4000)),
        .ends = Begin() + milliseconds(*rc::gen::inRange(1000, 9000))};
    const auto deadline = Begin() + milliseconds(*rc::gen::inRange(0, 20000));
    const duration typical = milliseconds(*rc::gen::inRange(0, 5000));
    const auto latest = LatestDrainStart(drain, deadline, typical);
    if (deadline <= drain.ends) {
      RC_ASSERT(latest >= deadline);
    } else if (typical == duration()) {
      RC_ASSERT(latest < Begin());
    } else {
      RC_ASSERT(latest <= drain.learned);
      RC_ASSERT(latest + 2 * typical <= drain.ends);
    }
    const drain_times no_stop;
    RC_ASSERT(LatestDrainStart(no_stop, deadline, typical) >= deadline);
  });
}

}  // namespace

// Guards against answers that are cut off when their host exits.
Test(dispatch_wait, stopping_host_begins_what_it_can_end) {
  cr_assert(StoppingHostBeginsWhatItCanEnd());
}

// Guards against queueing a request until its caller disconnects: on the users'
// sites callers abandon a stream without events after 3.2 s.
Test(dispatch_wait, queued_request_is_answered_before_its_caller_disconnects) {
  const auto limits =
      StartLimits(Stream(), Begin(), Begin() + seconds(5), kTypical);
  cr_assert_lt(limits.latest_start, Begin() + milliseconds(3200));
  cr_assert_gt(limits.latest_start, Begin() + milliseconds(2500));
}

// Guards against starting a run that the deadline interrupts: it uses a slot
// and gives its caller no answer.
Test(dispatch_wait, start_leaves_time_for_the_run) {
  const auto deadline = Begin() + milliseconds(3000);
  const auto limits = StartLimits(Stream(), Begin(), deadline, kTypical);
  cr_assert_leq(limits.latest_start + kTypical.complete, deadline);
  auto plain = Stream();
  plain.kind = request_kind::kIdempotent;
  const auto complete =
      StartLimits(plain, Begin(), Begin() + seconds(5), kTypical);
  cr_assert(complete.latest_start == Begin() + milliseconds(3900));
}

// Guards against a route that is never tried again after its runs were slow,
// so that its run times are not updated any more.
Test(dispatch_wait, slow_route_is_still_tried) {
  const run_times slow{milliseconds(500), seconds(30)};
  const auto limits =
      StartLimits(Stream(), Begin(), Begin() + seconds(5), slow);
  cr_assert_geq(limits.latest_start, Begin() + milliseconds(2500));
}

// Guards against cutting a stream that is older than the time that a caller
// waits for an event: no slot was worth waiting for any more.
Test(dispatch_wait, old_stream_waits_for_a_slot) {
  const auto deadline = Begin() + seconds(8);
  const auto last_event = Begin() + seconds(4);
  const auto limits =
      ContinuationLimits(Stream(), last_event, deadline, kTypical);
  cr_assert(limits.latest_on_time_start == last_event + milliseconds(350));
  cr_assert(limits.latest_start == last_event + milliseconds(3150));
  const auto late = ContinuationLimits(Stream(), deadline - milliseconds(500),
                                       deadline, kTypical);
  cr_assert(late.latest_start == deadline - kTypical.first_event);
}

Test(dispatch_wait, limits_are_in_order) {
  cr_assert(LimitsAreInOrder());
}

}  // namespace dogwood::testing
