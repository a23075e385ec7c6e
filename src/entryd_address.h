/** Addresses that callers should use. */
#ifndef SRC_ENTRYD_ADDRESS_H_
#define SRC_ENTRYD_ADDRESS_H_

#include <string>
#include <vector>

#include "src/core.h"

namespace dogwood {

struct entry_state;

/** Entry addresses of live members for a workspace: a rendezvous subset, those
 * of this region first. At least one is of another region if there is any and
 * more than one is asked for, so that callers can outlive the loss of this
 * region. */
auto EntryAddresses(const entry_state& state, const workspace_id& workspace)
    -> std::vector<std::string>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_ADDRESS_H_
