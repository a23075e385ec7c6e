/** Public header of library fleet: members of the fleet, and the assignments
 * that are derived from them. */
#ifndef SRC_FLEET_H_
#define SRC_FLEET_H_

#include "src/fleet_func.h"
#include "src/fleet_owner.h"
#include "src/fleet_region.h"
#include "src/fleet_type.h"

#endif  // SRC_FLEET_H_
