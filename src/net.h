/** Public header of library net: what the daemons share of Boost.Asio. */
#ifndef SRC_NET_H_
#define SRC_NET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <exception>
#include <string>
#include <string_view>

#include "src/error_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Completion handler of a coroutine that runs for ever: if an exception leaves
 * it, logs that and ends the process, which would go on with part of its work
 * undone. */
auto AbortOnException(std::exception_ptr error) -> void;

/** Completion handler of a coroutine that nobody waits for: logs an exception
 * that leaves it. */
auto LogException(std::exception_ptr error) -> void;

/** Waits on the coroutine's executor. */
auto Sleep(duration length) -> boost::asio::awaitable<void>;

/** Opens, binds and listens. A failure carries `step`. */
auto OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                  const boost::asio::ip::tcp::endpoint& endpoint,
                  std::string step) -> outcome<void>;

/** Whether a server listens; logs the failure if not. */
auto IsListening(const outcome<void>& listening) -> bool;

/** Runs `io` on `threads` threads, this one included, until it stops. */
auto RunWorkers(boost::asio::io_context& io, unsigned threads) -> void;

/** Endpoint of "ip:port". Fails with kBadRequest. */
auto ParseEndpoint(std::string_view text)
    -> outcome<boost::asio::ip::tcp::endpoint>;

/** "ip:port" of an endpoint. */
auto FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint)
    -> std::string;

}  // namespace dogwood

#endif  // SRC_NET_H_
