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

/** One request and the means to answer it, once. If the handler returns
 * without a whole answer the connection is closed, so that the caller cannot
 * take what it has for a whole answer. */
class http_exchange {
 public:
  virtual ~http_exchange() = default;
  virtual auto Request() const -> const http_request& = 0;
  /** Sends a whole answer. */
  virtual auto Respond(http_response response)
      -> boost::asio::awaitable<outcome<void>> = 0;
  /** Sends status and fields of a chunked answer. */
  virtual auto BeginStream(http_head head)
      -> boost::asio::awaitable<outcome<void>> = 0;
  /** Sends one chunk; `data` must not be empty. */
  virtual auto WriteChunk(std::string_view data)
      -> boost::asio::awaitable<outcome<void>> = 0;
  /** Ends a chunked answer. */
  virtual auto EndStream() -> boost::asio::awaitable<outcome<void>> = 0;
  /** Whether any byte of an answer has been sent. */
  virtual auto HasStartedResponse() const -> bool = 0;
  /** Whether the caller is seen to have closed its connection, so that work
   * for it can be given up. A caller that only shuts down its sending side
   * counts as gone. */
  virtual auto IsCallerDisconnected() -> bool { return false; }
  /** Sends `error` as JSON with its status and Dogwood-Ran; with
   * `retry_after_s` > 0 also Retry-After. */
  auto RespondFailure(failure error, unsigned retry_after_s = 0)
      -> boost::asio::awaitable<outcome<void>>;
};

/** Answers requests; runs on the connection's strand. */
using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/** Serves one address. Must outlive the io_context's run. */
class http_server {
 public:
  http_server(boost::asio::io_context& io,
              http_limits limits,
              http_handler handler);
  ~http_server();

  /** Binds and starts to accept. */
  auto Listen(const boost::asio::ip::tcp::endpoint& endpoint) -> outcome<void>;
  /** Replaces the limits; they hold from the next request of each connection.
   * Must be called where the io_context runs, on one thread. */
  auto SetLimits(const http_limits& limits) -> void;
  /** Answers from now on close their connections; idle ones close after
   * their next answer or when idle_ms passes. */
  auto BeginDrain() -> void;
  /** Stops accepting. */
  auto StopListening() -> void;
  /** Waits until no request is being answered, at most until `deadline`. */
  auto Finish(time_point deadline) const -> boost::asio::awaitable<void>;
  /** Number of requests being answered. */
  auto ActiveRequests() const -> std::size_t;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace dogwood

#endif  // SRC_HTTP_SERVER_H_
