/** Public header of library route: choice of backend servers and retries. No
 * I/O and no clock. */
#ifndef SRC_ROUTE_H_
#define SRC_ROUTE_H_

#include "src/retry_base.h"
#include "src/route_base.h"
#include "src/route_type.h"

#endif  // SRC_ROUTE_H_
