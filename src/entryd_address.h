/** Selection of the entry addresses that callers should use. */
#ifndef SRC_ENTRYD_ADDRESS_H_
#define SRC_ENTRYD_ADDRESS_H_

#include <string>
#include <vector>

#include "src/core.h"

namespace dogwood {

struct entry_state;

/** Returns the entry addresses of live members for a workspace, chosen by
 * rendezvous hashing, those of this region first. If more than one address is
 * configured and another region has live members, at least one address is of
 * another region, so that callers survive the loss of this region. */
auto EntryAddresses(const entry_state& state, const workspace_id& workspace)
    -> std::vector<std::string>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_ADDRESS_H_
