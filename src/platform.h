/** Public header of library platform. */
#ifndef SRC_PLATFORM_H_
#define SRC_PLATFORM_H_

#include "src/platform_client.h"

#endif  // SRC_PLATFORM_H_
