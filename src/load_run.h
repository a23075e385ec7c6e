/** Runs a load plan. */
#ifndef SRC_LOAD_RUN_H_
#define SRC_LOAD_RUN_H_

#include "src/load_report.h"
#include "src/load_type.h"

namespace dogwood {

/** Sends the load of a plan and waits for the responses, for at most `settle`
 * after the last arrivals. The load is open-loop: requests are sent at their
 * arrival times, whether or not earlier ones have completed. Fails with
 * kUnavailable if no address of the plan returns the entry addresses. */
auto RunLoad(const load_plan& plan) -> outcome<load_stats>;

}  // namespace dogwood

#endif  // SRC_LOAD_RUN_H_
