/** Public header of library replica: a daemon's copy of the configuration. */
#ifndef SRC_REPLICA_H_
#define SRC_REPLICA_H_

#include "src/replica_base.h"

#endif  // SRC_REPLICA_H_
