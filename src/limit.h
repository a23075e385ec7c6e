/** Public header of library limit: fleet-wide request limits. */
#ifndef SRC_LIMIT_H_
#define SRC_LIMIT_H_

#include "src/limit_base.h"
#include "src/limit_type.h"

#endif  // SRC_LIMIT_H_
