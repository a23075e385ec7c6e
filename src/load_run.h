/** Sends the load of a plan. */
#ifndef SRC_LOAD_RUN_H_
#define SRC_LOAD_RUN_H_

#include "src/load_report.h"
#include "src/load_type.h"

namespace dogwood {

/** Sends everything and waits for the answers, at most `settle` past the
 * window of arrivals. The load is open-loop: requests are sent at their
 * arrival times, whether or not earlier ones were answered. Fails if no
 * address can be asked for the addresses of entry hosts. */
auto RunLoad(const load_plan& plan) -> outcome<load_figures>;

}  // namespace dogwood

#endif  // SRC_LOAD_RUN_H_
