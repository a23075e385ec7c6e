/** HTTP interface for callers. */
#ifndef SRC_ENTRYD_HTTP_H_
#define SRC_ENTRYD_HTTP_H_

#include <boost/asio/awaitable.hpp>

#include "src/http.h"

namespace dogwood {

struct entry_state;

/** Handles one request of a caller and sends the response. */
auto HandleCaller(entry_state& state, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_HTTP_H_
