/** Runs one caller's request on a backend server. */
#ifndef SRC_ENTRYD_PROXY_H_
#define SRC_ENTRYD_PROXY_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/entryd_identity.h"
#include "src/http.h"
#include "src/route.h"

namespace dogwood {

struct entry_state;

/** A request that may be sent. */
struct proxy_plan {
  caller who;               ///< Whose request it is.
  http_request request;     ///< As the backend server gets it.
  std::string request_id;   ///< Its X-Request-Id.
  route_request route;      ///< What it needs.
  std::string open_route;   ///< Route that is open to the caller, if any.
  bool idempotent = false;  ///< May run more than once.
  bool may_reuse = false;   ///< May use a connection that was idle.
  duration first_byte{};    ///< Longest wait for the first byte.
  time_point begin;         ///< When the request came.
  time_point deadline;      ///< Of the whole request.
};

/** A new X-Request-Id. */
auto NewRequestId(const entry_state& state) -> std::string;

/** Sends the request, again where that is allowed, and passes the answer on.
 * Any failure is told to the caller. */
auto RunOnBackend(entry_state& state, http_exchange& exchange, proxy_plan plan)
    -> boost::asio::awaitable<void>;

/** Tells the caller of a failure, counts and logs it. */
auto Refuse(entry_state& state,
            http_exchange& exchange,
            failure error,
            unsigned retry_after_s = 0) -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_PROXY_H_
