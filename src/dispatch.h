/** Public header of library dispatch: placement of requests on backend servers.
 */
#ifndef SRC_DISPATCH_H_
#define SRC_DISPATCH_H_

#include "src/dispatch_base.h"
#include "src/dispatch_cold.h"
#include "src/dispatch_drain.h"
#include "src/dispatch_local.h"
#include "src/dispatch_quarantine.h"
#include "src/dispatch_return.h"
#include "src/dispatch_speed.h"
#include "src/dispatch_type.h"
#include "src/dispatch_usage.h"
#include "src/dispatch_wait.h"

#endif  // SRC_DISPATCH_H_
