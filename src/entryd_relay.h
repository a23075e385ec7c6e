/** Passing on of a backend server's answer. */
#ifndef SRC_ENTRYD_RELAY_H_
#define SRC_ENTRYD_RELAY_H_

#include <boost/asio/awaitable.hpp>

#include "src/entryd_backend.h"
#include "src/entryd_proxy.h"
#include "src/http.h"

namespace dogwood {

struct entry_state;

/** What the caller has of an answer. */
struct relay_progress {
  bool events_begun = false;       ///< A stream of events has begun.
  time_point first_part_deadline;  ///< Of the first bytes of the body.
};

/** Passes an answer on whose head has been read. Events go out one by one;
 * other answers are passed on once whole, or in parts if they are long. An
 * answer that does not come whole is a failure with ran=maybe. */
auto Relay(entry_state& state,
           http_exchange& exchange,
           const proxy_plan& plan,
           backend_connection& connection,
           http_head head,
           relay_progress& progress) -> boost::asio::awaitable<outcome<void>>;

/** Tells the caller of a failure within a stream of events, without a clean
 * end. Does nothing if no such stream has begun. */
auto EndBrokenStream(http_exchange& exchange,
                     const relay_progress& progress,
                     const failure& error) -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_RELAY_H_
