/** Connections to backend servers. */
#ifndef SRC_ENTRYD_BACKEND_H_
#define SRC_ENTRYD_BACKEND_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/core.h"
#include "src/http.h"

namespace dogwood {

/** An http_connection on a strand of its own, so that requests of different
 * callers may use it one after the other. */
class backend_connection {
 public:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  /** Connects to "ip:port" before `deadline`. */
  static auto Connect(boost::asio::io_context& io,
                      std::string address,
                      time_point deadline)
      -> boost::asio::awaitable<outcome<std::shared_ptr<backend_connection>>>;
  backend_connection(strand_type strand,
                     std::string address,
                     std::unique_ptr<http_connection> connection);

  /** Sends a whole request; `request` must outlive the call. */
  auto Send(const http_request& request, time_point deadline)
      -> boost::asio::awaitable<outcome<void>>;
  /** See http_connection. */
  auto PrepareForResponse() -> void { connection_->PrepareForResponse(); }
  /** Reads status and fields of the answer. */
  auto ReadHead(time_point deadline)
      -> boost::asio::awaitable<outcome<http_head>>;
  /** Reads some of the body, see http_connection. */
  auto ReadSome(time_point deadline)
      -> boost::asio::awaitable<outcome<std::string>>;
  /** Whether another request may use it; no operation may be pending. */
  auto CanBeReused() const -> bool { return connection_->CanBeReused(); }
  /** Closes from any thread; pending operations fail. */
  auto Abort() -> void { connection_->Abort(); }
  auto address() const -> const std::string& { return address_; }

 private:
  strand_type strand_;
  std::string address_;
  std::unique_ptr<http_connection> connection_;
};

/** Idle connections by server. Thread-safe. */
class backend_pool {
 public:
  backend_pool(std::size_t per_server, duration idle_life);

  /** The youngest idle connection that can be used and has been idle for at
   * most `longest_idle`, nullptr if none. */
  auto Take(const std::string& address,
            time_point now,
            duration longest_idle = duration::max())
      -> std::shared_ptr<backend_connection>;
  /** Keeps a connection whose answer was whole, if there is room. It is used
   * for `life` at most, and for the pool's idle life if that is shorter. */
  auto Put(std::shared_ptr<backend_connection> connection,
           time_point now,
           duration life = duration::max()) -> void;
  /** Closes connections that are too old. */
  auto Expire(time_point now) -> void;

 private:
  struct idle {
    std::shared_ptr<backend_connection> connection;  ///< Connection.
    time_point since;                                ///< When it became idle.
    time_point usable_until;                         ///< Closed from then on.
  };

  std::mutex mutex_;
  std::size_t per_server_;
  duration idle_life_;
  std::map<std::string, std::vector<idle>> idle_;  // Oldest first.
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_BACKEND_H_
