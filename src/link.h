/** Public header of library wire: authenticated calls in frames between the
 * processes of one deployment. */
#ifndef SRC_LINK_H_
#define SRC_LINK_H_

#include "generated/wire_generated.h"
#include "src/link_client.h"
#include "src/link_server.h"
#include "src/link_table.h"
#include "src/link_type.h"

#endif  // SRC_LINK_H_
