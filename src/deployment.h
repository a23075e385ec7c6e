/** Public header of library deployment: declared state and lookups. */
#ifndef SRC_DEPLOYMENT_H_
#define SRC_DEPLOYMENT_H_

#include "src/deployment_evacuation.h"
#include "src/deployment_journal.h"
#include "src/deployment_query.h"
#include "src/deployment_region.h"
#include "src/deployment_type.h"

#endif  // SRC_DEPLOYMENT_H_
