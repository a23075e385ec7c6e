/** Public header of library proxy: the changes that an entry host makes to the
 * requests and responses that it proxies. Does no I/O and reads no clock. */
#ifndef SRC_PROXY_H_
#define SRC_PROXY_H_

#include "src/proxy_func.h"
#include "src/sse_base.h"
#include "src/sse_func.h"

#endif  // SRC_PROXY_H_
