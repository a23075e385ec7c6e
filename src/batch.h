/** Public header of library batch: batch jobs with results by position. */
#ifndef SRC_BATCH_H_
#define SRC_BATCH_H_

#include "src/batch_projection.h"
#include "src/batch_queue.h"
#include "src/batch_quota.h"
#include "src/batch_record.h"
#include "src/batch_type.h"

#endif  // SRC_BATCH_H_
