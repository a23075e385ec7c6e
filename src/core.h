/** Public header of library core: ids, units, failures, logging and hashes. */
#ifndef SRC_CORE_H_
#define SRC_CORE_H_

#include "src/byte_budget.h"
#include "src/error_func.h"
#include "src/error_type.h"
#include "src/json_func.h"
#include "src/log_func.h"
#include "src/text_func.h"
#include "src/unit_type.h"

#endif  // SRC_CORE_H_
