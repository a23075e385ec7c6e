/** Server side of links: batch requests, online load reports and run requests
 * of other hosts. */
#ifndef SRC_BATCHD_SERVE_H_
#define SRC_BATCHD_SERVE_H_

#include <boost/asio/awaitable.hpp>

#include "src/batchd_base.h"
#include "src/link.h"

namespace dogwood {

/** Handles one call of a link. */
auto ServeLink(batchd& d, link_peer peer, wire_message message)
    -> boost::asio::awaitable<outcome<wire_message>>;

}  // namespace dogwood

#endif  // SRC_BATCHD_SERVE_H_
