/** Connections to backend servers and the pool of idle ones. */
#ifndef SRC_ENTRYD_BACKEND_H_
#define SRC_ENTRYD_BACKEND_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "src/core.h"
#include "src/http.h"

namespace dogwood {

/** An http_connection that runs on its own strand, so that successive requests
 * of different callers can use it. */
class backend_connection {
 public:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  /** Connects to "ip:port". Fails if that takes until `deadline`. */
  static auto Connect(boost::asio::io_context& io,
                      std::string address,
                      time_point deadline)
      -> boost::asio::awaitable<outcome<std::shared_ptr<backend_connection>>>;
  backend_connection(strand_type strand,
                     std::string address,
                     std::unique_ptr<http_connection> connection);

  /** Sends a complete request; `request` must outlive the call. */
  auto Send(const http_request& request, time_point deadline)
      -> boost::asio::awaitable<outcome<void>>;
  /** Prepares to read another response, see http_connection. */
  auto PrepareForResponse() -> void { connection_->PrepareForResponse(); }
  /** Reads status and header fields of the response. */
  auto ReadHead(time_point deadline)
      -> boost::asio::awaitable<outcome<http_head>>;
  /** Reads the next part of the body, see http_connection. */
  auto ReadSome(time_point deadline)
      -> boost::asio::awaitable<outcome<std::string>>;
  /** Whether another request may use the connection. Must not be called while
   * an operation is pending. */
  auto CanBeReused() const -> bool { return connection_->CanBeReused(); }
  /** Closes the connection; pending operations fail. Thread-safe. */
  auto Abort() -> void { connection_->Abort(); }
  auto address() const -> const std::string& { return address_; }

 private:
  strand_type strand_;
  std::string address_;
  std::unique_ptr<http_connection> connection_;
};

/** Pool of idle connections, by server address. Thread-safe. */
class backend_pool {
 public:
  backend_pool(std::size_t per_server, duration idle_ttl);

  /** Removes and returns the most recently used idle connection that can still
   * be reused and has been idle for at most `max_idle`; nullptr if there is
   * none. */
  auto Acquire(const std::string& address,
               time_point now,
               duration max_idle = duration::max())
      -> std::shared_ptr<backend_connection>;
  /** Returns a connection whose response was read completely. It is closed if
   * the server's limit of idle connections is reached; otherwise it stays
   * usable for `ttl` or the pool's idle TTL, whichever is shorter. */
  auto Release(std::shared_ptr<backend_connection> connection,
               time_point now,
               duration ttl = duration::max()) -> void;
  /** Returns the servers to which Acquire() would find a connection now, apart
   * from connections that their servers have closed. */
  auto IdleAddresses(time_point now, duration max_idle = duration::max())
      -> std::set<std::string>;
  /** Closes connections whose TTL has passed. */
  auto Expire(time_point now) -> void;

 private:
  struct idle {
    std::shared_ptr<backend_connection> connection;
    time_point since;         ///< When it became idle.
    time_point usable_until;  ///< From then on not reused; Expire() closes it.
  };

  std::mutex mutex_;
  std::size_t per_server_;
  duration idle_ttl_;
  std::map<std::string, std::vector<idle>> idle_;  // Oldest first.
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_BACKEND_H_
