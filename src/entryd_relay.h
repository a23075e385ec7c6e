/** Relaying of a backend server's response to the caller. */
#ifndef SRC_ENTRYD_RELAY_H_
#define SRC_ENTRYD_RELAY_H_

#include <boost/asio/awaitable.hpp>

#include "src/entryd_backend.h"
#include "src/entryd_proxy.h"
#include "src/http.h"

namespace dogwood {

struct entry_state;

/** How far the relay of a response has got. */
struct relay_progress {
  bool events_begun = false;  ///< An event stream to the caller has started.
  time_point first_part_deadline;  ///< For the first part of the body.
};

/** Relays a response whose head has been read. Events are sent as they are
 * completed; other responses are sent once they are complete, or in parts if
 * they are longer than answer_buffer_bytes. An incomplete response is a failure
 * with ran=maybe. */
auto Relay(entry_state& state,
           http_exchange& exchange,
           const proxy_plan& plan,
           backend_connection& connection,
           http_head head,
           relay_progress& progress) -> boost::asio::awaitable<outcome<void>>;

/** Sends a failure as an event within a started event stream and leaves the
 * stream without a clean end. Does nothing if no event stream has started. */
auto EndBrokenStream(http_exchange& exchange,
                     const relay_progress& progress,
                     const failure& error) -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_RELAY_H_
