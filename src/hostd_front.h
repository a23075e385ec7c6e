/** Serving of callers' requests: routing, key checks, rate limits, placement
 * and retries. */
#ifndef SRC_HOSTD_FRONT_H_
#define SRC_HOSTD_FRONT_H_

#include <boost/asio/awaitable.hpp>

#include "src/http.h"

namespace dogwood {

struct host_state;

/** Handles a request that arrived at the callers' address. */
auto HandleCaller(host_state& host, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Handles the platform's readiness check. */
auto HandleReady(host_state& host, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Handles callers' requests for host addresses. */
auto HandleDirectory(host_state& host, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Responds with a refusal or failure. If `retry_after` > 0, the answer has a
 * Retry-After header. */
auto RespondRefusal(http_exchange& exchange,
                    const failure& error,
                    std::chrono::milliseconds retry_after)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_HOSTD_FRONT_H_
