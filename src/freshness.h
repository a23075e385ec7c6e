/** Public header of library freshness: proofs, attestations, tree of hosts. */
#ifndef SRC_FRESHNESS_H_
#define SRC_FRESHNESS_H_

#include "src/freshness_base.h"
#include "src/freshness_type.h"

#endif  // SRC_FRESHNESS_H_
