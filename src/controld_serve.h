/** How controld answers tail requests of local daemons and other hosts. */
#ifndef SRC_CONTROLD_SERVE_H_
#define SRC_CONTROLD_SERVE_H_

#include <boost/asio/awaitable.hpp>

#include "src/controld_base.h"

namespace dogwood {

/** Answers one call on a link. */
auto ServeLink(controld& c, link_peer peer, wire_message message)
    -> boost::asio::awaitable<outcome<wire_message>>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_SERVE_H_
