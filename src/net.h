/** Public header of library net: helpers for Boost.Asio that all daemons use.
 */
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

/** Completion handler of a coroutine that never returns. Logs an exception that
 * leaves it and aborts the process, which could otherwise only do part of its
 * work. */
auto AbortOnException(std::exception_ptr error) -> void;

/** Completion handler of a detached coroutine. Logs an exception that leaves
 * it. */
auto LogException(std::exception_ptr error) -> void;

/** Suspends the coroutine for `length`. */
auto Sleep(duration length) -> boost::asio::awaitable<void>;

/** Opens `acceptor`, binds it and listens. Failures have code kUnavailable and
 * the given `step`. */
auto OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                  const boost::asio::ip::tcp::endpoint& endpoint,
                  std::string step) -> outcome<void>;

/** Returns whether listening succeeded; logs the failure if not. */
auto IsListening(const outcome<void>& listening) -> bool;

/** Runs `io` on `threads` threads, including the calling one, until it stops.
 */
auto RunWorkers(boost::asio::io_context& io, unsigned threads) -> void;

/** Parses "ip:port". Fails with kBadRequest. */
auto ParseEndpoint(std::string_view text)
    -> outcome<boost::asio::ip::tcp::endpoint>;

/** Formats an endpoint as "ip:port". */
auto FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint)
    -> std::string;

}  // namespace dogwood

#endif  // SRC_NET_H_
