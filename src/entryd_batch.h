/** Forwarding of batch requests to batch daemons. */
#ifndef SRC_ENTRYD_BATCH_H_
#define SRC_ENTRYD_BATCH_H_

#include <boost/asio/awaitable.hpp>

#include "src/entryd_identity.h"
#include "src/http.h"

namespace dogwood {

struct entry_state;

/** Forwards a request below /v1/batches to this host's batch daemon or, if
 * that does not answer, to another member's, and sends the response. */
auto ForwardBatch(entry_state& state, http_exchange& exchange, caller who)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_BATCH_H_
