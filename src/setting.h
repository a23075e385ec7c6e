/** Public header of library setting: settings files of the daemons. */
#ifndef SRC_SETTING_H_
#define SRC_SETTING_H_

#include "src/setting_func.h"
#include "src/setting_type.h"

#endif  // SRC_SETTING_H_
