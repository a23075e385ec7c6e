/** HTTP/1.1 server. */
#ifndef SRC_HTTP_SERVER_H_
#define SRC_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "src/error_type.h"
#include "src/http_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** One request, and the operations to send its response once. If the handler
 * returns before the response is complete, the connection is closed, so that
 * the caller does not take the part it has for a complete response. */
class http_exchange {
 public:
  virtual ~http_exchange() = default;
  virtual auto Request() const -> const http_request& = 0;
  /** Sends a complete response. */
  virtual auto Respond(http_response response)
      -> boost::asio::awaitable<outcome<void>> = 0;
  /** Sends status and header fields of a chunked response. */
  virtual auto BeginStream(http_head head)
      -> boost::asio::awaitable<outcome<void>> = 0;
  /** Sends one chunk; `data` must not be empty. */
  virtual auto WriteChunk(std::string_view data)
      -> boost::asio::awaitable<outcome<void>> = 0;
  /** Ends a chunked response. */
  virtual auto EndStream() -> boost::asio::awaitable<outcome<void>> = 0;
  /** Whether any byte of a response may have been sent. */
  virtual auto HasStartedResponse() const -> bool = 0;
  /** Whether the caller has closed its connection, so that its request can be
   * cancelled. A caller that only shuts down its sending side counts as
   * disconnected. */
  virtual auto IsCallerDisconnected() -> bool { return false; }
  /** Sends `error` as JSON with its HTTP status and Dogwood-Ran, and with
   * Retry-After if `retry_after_s` > 0. */
  auto RespondFailure(failure error, unsigned retry_after_s = 0)
      -> boost::asio::awaitable<outcome<void>>;
};

/** Handles one request; runs on the connection's strand. */
using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/** Server on one address. Must outlive the run of its io_context. */
class http_server {
 public:
  http_server(boost::asio::io_context& io,
              http_limits limits,
              http_handler handler);
  ~http_server();

  /** Binds to `endpoint` and starts accepting connections. */
  auto Listen(const boost::asio::ip::tcp::endpoint& endpoint) -> outcome<void>;
  /** Replaces the limits; they apply from the next request of each connection.
   * Not thread-safe: must be called on the only thread that runs the
   * io_context. */
  auto SetLimits(const http_limits& limits) -> void;
  /** Makes each connection close after its next response; idle connections
   * also close when idle_ms passes. */
  auto BeginDrain() -> void;
  /** Stops accepting connections. */
  auto StopListening() -> void;
  /** Waits until no request is being handled, at most until `deadline`. If the
   * event loop is late then, it gets one more turn, to read what has come. */
  auto Finish(time_point deadline) const -> boost::asio::awaitable<void>;
  /** Returns the number of requests being handled. */
  auto ActiveRequests() const -> std::size_t;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace dogwood

#endif  // SRC_HTTP_SERVER_H_
