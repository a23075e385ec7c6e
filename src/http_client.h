/** HTTP/1.1 client. */
#ifndef SRC_HTTP_CLIENT_H_
#define SRC_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "src/error_type.h"
#include "src/http_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** One connection to a server, used by one coroutine at a time and bound to
 * that coroutine's strand. Failures say ran=no until the first byte of a
 * request may have left, ran=maybe after that. A connection that failed is
 * not used again. */
class http_connection {
 public:
  /** Connects before `deadline`. */
  static auto Connect(boost::asio::ip::tcp::endpoint endpoint,
                      time_point deadline)
      -> boost::asio::awaitable<outcome<std::unique_ptr<http_connection>>>;
  ~http_connection();

  /** Sends a whole request. Sets Content-Length, and Host if absent. */
  auto Send(const http_request& request, time_point deadline)
      -> boost::asio::awaitable<outcome<void>>;
  /** Prepares to read one more answer after a whole one that belonged to no
   * request of this connection. */
  auto PrepareForResponse() -> void;
  /** Reads status and fields of the answer. */
  auto ReadHead(time_point deadline)
      -> boost::asio::awaitable<outcome<http_head>>;
  /** Reads some of the body; empty when the framing says that it is whole. An
   * end of the connection before that is a failure. */
  auto ReadSome(time_point deadline)
      -> boost::asio::awaitable<outcome<std::string>>;
  /** Whether the answer was whole, the server keeps the connection and no
   * further bytes have come. */
  auto CanBeReused() const -> bool;
  /** Address of the server, "ip:port". */
  auto Peer() const -> const std::string&;
  /** Closes from any thread; pending operations fail. */
  auto Abort() -> void;

 private:
  struct state;
  explicit http_connection(std::shared_ptr<state> s);
  std::shared_ptr<state> state_;
};

/** Sends one request and reads the whole answer, of at most `max_body` bytes.
 */
auto Exchange(http_connection& connection,
              const http_request& request,
              time_point deadline,
              std::size_t max_body = 64UL << 20)
    -> boost::asio::awaitable<outcome<http_response>>;

/** Sends one request over a new connection and reads the whole answer, of at
 * most `max_body` bytes. */
auto Fetch(boost::asio::ip::tcp::endpoint endpoint,
           http_request request,
           time_point deadline,
           std::size_t max_body = 64UL << 20)
    -> boost::asio::awaitable<outcome<http_response>>;

}  // namespace dogwood

#endif  // SRC_HTTP_CLIENT_H_
