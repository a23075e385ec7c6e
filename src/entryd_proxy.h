/** Proxying of a caller's request to a backend server, with retries. */
#ifndef SRC_ENTRYD_PROXY_H_
#define SRC_ENTRYD_PROXY_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/entryd_identity.h"
#include "src/http.h"
#include "src/route.h"

namespace dogwood {

struct entry_state;

/** An admitted request and how it is to be sent. */
struct proxy_plan {
  caller who;
  http_request request;     ///< The request as the backend server gets it.
  std::string request_id;   ///< X-Request-Id of the next attempt.
  route_request route;      ///< Requirements for the choice of the server.
  std::string open_route;   ///< Open route that admits a caller without a key.
  bool idempotent = false;  ///< The request may run more than once.
  bool may_reuse = false;   ///< An idle connection may be used.
  duration first_byte_timeout{};  ///< Of each attempt.
  time_point begin;               ///< When the request was received.
  time_point deadline;            ///< Of the request with all its attempts.
};

/** Generates an X-Request-Id: this host's name and random hex digits. */
auto NewRequestId(const entry_state& state) -> std::string;

/** Sends the request, retries it where that is allowed, and relays the
 * response. A failure is reported to the caller. */
auto RunOnBackend(entry_state& state, http_exchange& exchange, proxy_plan plan)
    -> boost::asio::awaitable<void>;

/** Responds with a failure, and counts and logs it. If a response has already
 * been started, only counts and logs it. `retry_after_s` > 0 sets Retry-After.
 */
auto Refuse(entry_state& state,
            http_exchange& exchange,
            failure error,
            unsigned retry_after_s = 0) -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_PROXY_H_
