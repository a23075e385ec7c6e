/** Public header of library setting. */
#ifndef SRC_SETTING_H_
#define SRC_SETTING_H_

#include "src/setting_func.h"
#include "src/setting_type.h"

#endif  // SRC_SETTING_H_
