/** Tail requests of local daemons and other hosts, answered by controld. */
#ifndef SRC_CONTROLD_SERVE_H_
#define SRC_CONTROLD_SERVE_H_

#include <boost/asio/awaitable.hpp>

#include "src/controld_base.h"

namespace dogwood {

/** Handles one call on a link; only tail requests are supported. */
auto ServeLink(controld& c, link_peer peer, wire_message message)
    -> boost::asio::awaitable<outcome<wire_message>>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_SERVE_H_
