/** Client end of links. */
#ifndef SRC_LINK_CLIENT_H_
#define SRC_LINK_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "src/error_type.h"
#include "src/link_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Client that calls one peer over one connection. It connects on the first
 * call and reconnects after a failure. Thread-safe. */
class link_client {
 public:
  link_client(boost::asio::io_context& io,
              link_identity self,
              const boost::asio::ip::tcp::endpoint& endpoint);
  ~link_client();

  /** Sends a call and waits for its answer until `deadline`. A call that times
   * out closes the connection, because it may be dead without notice. Fails
   * with the peer's failure, with kUnavailable if the link fails, or with
   * kDeadlineExceeded. */
  auto Call(wire_message message, time_point deadline)
      -> boost::asio::awaitable<outcome<wire_message>>;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace dogwood

#endif  // SRC_LINK_CLIENT_H_
