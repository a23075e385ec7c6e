/** Server end of links. */
#ifndef SRC_LINK_SERVER_H_
#define SRC_LINK_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "src/error_type.h"
#include "src/link_type.h"

namespace dogwood {

/** Handles one call and returns its answer; a failure is sent to the peer as
 * wire::error. Calls of one connection run concurrently. */
using link_handler =
    std::function<boost::asio::awaitable<outcome<wire_message>>(link_peer,
                                                                wire_message)>;

/** Called when an authenticated connection has ended. */
using link_closed_handler = std::function<void(const link_peer&)>;

/** Server that accepts links on one address. Must outlive the run of its
 * io_context. */
class link_server {
 public:
  link_server(boost::asio::io_context& io,
              link_identity self,
              link_handler handler,
              link_closed_handler on_closed = {});
  ~link_server();

  /** Binds to `endpoint` and starts accepting connections. */
  auto Listen(const boost::asio::ip::tcp::endpoint& endpoint) -> outcome<void>;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace dogwood

#endif  // SRC_LINK_SERVER_H_
