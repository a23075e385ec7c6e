/** Public header of library job. */
#ifndef SRC_JOB_H_
#define SRC_JOB_H_

#include "src/job_append.h"
#include "src/job_base.h"
#include "src/job_owner.h"
#include "src/job_record.h"
#include "src/job_type.h"

#endif  // SRC_JOB_H_
