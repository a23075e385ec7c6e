/** The callers' interface. */
#ifndef SRC_ENTRYD_HTTP_H_
#define SRC_ENTRYD_HTTP_H_

#include <boost/asio/awaitable.hpp>

#include "src/http.h"

namespace dogwood {

struct entry_state;

/** Answers one request of a caller. */
auto HandleCaller(entry_state& state, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_HTTP_H_
