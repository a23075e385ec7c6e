/** Public header of library route: load balancing over backend servers, and
 * retries. Has no I/O and no clock. */
#ifndef SRC_ROUTE_H_
#define SRC_ROUTE_H_

#include "src/retry_base.h"
#include "src/route_base.h"
#include "src/route_type.h"

#endif  // SRC_ROUTE_H_
