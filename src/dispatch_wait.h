/** How long a request may wait for a slot. */
#ifndef SRC_DISPATCH_WAIT_H_
#define SRC_DISPATCH_WAIT_H_

#include "src/deployment_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Typical run times of a route's requests at a server. */
struct run_times {
  duration first_event{};  ///< From the start to the first event.
  duration complete{};     ///< From the start to the end of the answer.
};

/** Bounds on the start of a request at a server. */
struct start_limits {
  time_point latest_on_time_start;  ///< Later starts miss the objective.
  time_point latest_start;  ///< Later starts give no complete answer in time.
};

/** Returns the bounds for a request that arrived at `arrived` and must end by
 * `deadline`. They matter when an overload lasts longer than callers wait: a
 * request that can no longer end in time would take a slot from one that can,
 * and its caller should learn that it was not run while there is time to retry.
 */
auto StartLimits(const route_rule& route,
                 time_point arrived,
                 time_point deadline,
                 const run_times& typical) -> start_limits;

/** Returns the bounds for a stream that another server is to continue after its
 * latest event, which the caller got at `last_event`. Callers wait for each
 * event anew, and the stream cannot be refused any more. */
auto ContinuationLimits(const route_rule& route,
                        time_point last_event,
                        time_point deadline,
                        const run_times& typical) -> start_limits;

}  // namespace dogwood

#endif  // SRC_DISPATCH_WAIT_H_
