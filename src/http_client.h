/** HTTP/1.1 client. */
#ifndef SRC_HTTP_CLIENT_H_
#define SRC_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "src/byte_budget.h"
#include "src/error_type.h"
#include "src/http_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** A connection to a server. It is bound to the strand of the coroutine that
 * created it and must be used by one coroutine at a time. Failures have ran=no
 * until the first byte of a request may have been sent, ran=maybe after that. A
 * connection must not be used again after a failure. */
class http_connection {
 public:
  /** Connects to `endpoint`. Fails with kDeadlineExceeded at `deadline`. */
  static auto Connect(boost::asio::ip::tcp::endpoint endpoint,
                      time_point deadline)
      -> boost::asio::awaitable<outcome<std::unique_ptr<http_connection>>>;
  ~http_connection();

  /** Sends a complete request. Sets Content-Length, and Host if absent. */
  auto Send(const http_request& request, time_point deadline)
      -> boost::asio::awaitable<outcome<void>>;
  /** Prepares to read another response without sending a request, after a
   * complete response that belonged to no request of this connection. */
  auto PrepareForResponse() -> void;
  /** Reads status and header fields of the final response; interim ones before
   * it are skipped, a few at most (RFC 9110, 15.2). Fails if they break the
   * protocol (RFC 9110 and 9112), or if the body is in a transfer coding other
   * than chunked. */
  auto ReadHead(time_point deadline)
      -> boost::asio::awaitable<outcome<http_head>>;
  /** Reads the next part of the body; returns an empty string once the body is
   * complete by its framing. If the connection ends before that, the read
   * fails. A body without length or chunks is complete at the end of the
   * connection, once the server has received the whole request. */
  auto ReadSome(time_point deadline)
      -> boost::asio::awaitable<outcome<std::string>>;
  /** Whether another request may be sent: the response was read completely, the
   * server keeps the connection open, and no unexpected bytes were received. */
  auto CanBeReused() const -> bool;
  /** Returns the address of the server, "ip:port". */
  auto Peer() const -> const std::string&;
  /** Closes the connection; pending operations fail. Thread-safe. */
  auto Abort() -> void;

 private:
  struct state;
  explicit http_connection(std::shared_ptr<state> s);
  /** As ReadHead(), but the response may be an interim one. */
  auto ReadAnyHead(time_point deadline)
      -> boost::asio::awaitable<outcome<http_head>>;
  std::shared_ptr<state> state_;
};

/** Limits on the time that a response may take. */
struct response_limits {
  time_point head_deadline;  ///< Until the head has arrived.
  time_point deadline;       ///< Until the whole body has arrived.
  duration max_pause;        ///< Between two parts of the body.
  /** If not null, set to the arrival of each part of the body. */
  time_point* progress = nullptr;
  /** If not null, a response that exceeds it while it is read fails. */
  byte_budget* budget = nullptr;
};

/** Sends one request and reads the complete response. Fails with kTooLarge if
 * its body is longer than `max_body` bytes or exceeds the budget, and with
 * kDeadlineExceeded if the body makes no progress or takes too long. */
auto Exchange(http_connection& connection,
              const http_request& request,
              const response_limits& limits,
              std::size_t max_body = 64UL << 20)
    -> boost::asio::awaitable<outcome<http_response>>;

/** As above, with one deadline for the whole response. */
auto Exchange(http_connection& connection,
              const http_request& request,
              time_point deadline,
              std::size_t max_body = 64UL << 20)
    -> boost::asio::awaitable<outcome<http_response>>;

/** Sends one request over a new connection and reads the complete response.
 * Fails with kTooLarge if its body is longer than `max_body` bytes. */
auto Fetch(boost::asio::ip::tcp::endpoint endpoint,
           http_request request,
           time_point deadline,
           std::size_t max_body = 64UL << 20)
    -> boost::asio::awaitable<outcome<http_response>>;

}  // namespace dogwood

#endif  // SRC_HTTP_CLIENT_H_
