/** Public header of library config. */
#ifndef SRC_CONFIG_H_
#define SRC_CONFIG_H_

#include "src/config_base.h"
#include "src/config_type.h"
#include "src/ownership_func.h"

#endif  // SRC_CONFIG_H_
