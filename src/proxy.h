/** Public header of library proxy: what an entry host changes in requests and
 * answers that it passes on. No I/O and no clock. */
#ifndef SRC_PROXY_H_
#define SRC_PROXY_H_

#include "src/proxy_func.h"
#include "src/sse_base.h"
#include "src/sse_func.h"

#endif  // SRC_PROXY_H_
