/** Public header of library admission: batch items on backend servers. */
#ifndef SRC_ADMISSION_H_
#define SRC_ADMISSION_H_

#include "src/admission_base.h"
#include "src/admission_type.h"

#endif  // SRC_ADMISSION_H_
