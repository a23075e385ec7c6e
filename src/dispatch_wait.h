/** How long a request may wait for a slot. */
#ifndef SRC_DISPATCH_WAIT_H_
#define SRC_DISPATCH_WAIT_H_

#include "src/deployment_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Usual times of a route's requests at a server. */
struct run_times {
  duration first_event{};  ///< From the start to the first event.
  duration whole{};        ///< From the start to the end of the answer.
};

/** Bounds on the start of a request at a server. */
struct start_limits {
  time_point latest_on_time_start;  ///< Later starts miss the objective.
  time_point latest_start;  ///< Later starts bring no whole answer in time.
};

/** Bounds for a request that arrived at `arrived` and must end by `deadline`.
 * Load pattern answered: overload that lasts longer than callers wait. A
 * request that can no longer end in time would take a slot from one that can,
 * and its caller should hear that it was not run while there is time to
 * return. */
auto StartLimits(const route_rule& route,
                 time_point arrived,
                 time_point deadline,
                 const run_times& usual) -> start_limits;

}  // namespace dogwood

#endif  // SRC_DISPATCH_WAIT_H_
