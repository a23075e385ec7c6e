/** Callers' requests: routes, keys, limits, placement, retries. */
#ifndef SRC_HOSTD_FRONT_H_
#define SRC_HOSTD_FRONT_H_

#include <boost/asio/awaitable.hpp>

#include "src/http.h"

namespace dogwood {

struct host_state;

/** Answers a request at the callers' address. */
auto HandleCaller(host_state& host, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Answers the platform's question whether this host is ready. */
auto HandleReady(host_state& host, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Answers callers' questions for addresses. */
auto HandleDirectory(host_state& host, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Sends a refusal or failure; with `retry_after` > 0 the caller is told when
 * to return. */
auto RespondRefusal(http_exchange& exchange,
                    const failure& error,
                    std::chrono::milliseconds retry_after)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_HOSTD_FRONT_H_
