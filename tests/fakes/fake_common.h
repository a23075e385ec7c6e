/** Helpers shared by the stand-ins: fault injection, JSON requests and
 * responses, timers and the HTTP server. Each stand-in runs on one thread, so
 * its state needs no locks. */
#ifndef TESTS_FAKES_FAKE_COMMON_H_
#define TESTS_FAKES_FAKE_COMMON_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "src/core.h"
#include "src/http.h"

namespace dogwood::fakes {

/** Set of connections. A closed connection's address may be used again, so each
 * is told by its executor too, which is not while a copy of it exists. */
class connection_set {
 public:
  using executor_type = boost::asio::any_io_executor;

  auto Insert(std::string peer, executor_type executor) -> void {
    connections_.insert_or_assign(std::move(peer), std::move(executor));
  }
  auto Contains(const std::string& peer, const executor_type& executor) const
      -> bool {
    const auto found = connections_.find(peer);
    return found != connections_.end() && found->second == executor;
  }

 private:
  std::map<std::string, executor_type> connections_;  ///< By peer address.
};

/** Faults that POST /fault sets; an omitted field keeps its value. */
struct fault_state {
  bool outage = false;              ///< Respond to every call with 503.
  bool lose_answers = false;        ///< Apply the call, then close unanswered.
  bool silent = false;              ///< Read requests and never respond.
  bool refuse = false;              ///< Respond with 503 before any effect.
  std::uint64_t delay_ms = 0;       ///< Delay before each call or response.
  std::uint64_t lose_next = 0;      ///< lose_answers for the next n calls.
  std::uint64_t silent_next = 0;    ///< silent for the next n calls.
  std::uint64_t refuse_next = 0;    ///< refuse for the next n calls.
  std::uint64_t cross_answers = 0;  ///< Next n responses to be crossed.
  /** Close streams after this many tokens; 0: off. */
  std::uint64_t close_after_tokens = 0;
  /** Stop sending on streams after this many tokens; 0: off. */
  std::uint64_t silent_after_tokens = 0;
  connection_set silent_connections;  ///< Get no more data, "silent_open".
  connection_set seen_connections;    ///< Have sent a request so far.
};

/** Sets the faults in `fields`; {"clear":true} resets all of them first, and
 * {"silent_open":true} silences every connection seen so far until it is
 * cleared. Fails with kBadRequest for an unknown field. */
auto ApplyFault(fault_state& faults, const boost::json::object& fields)
    -> outcome<void>;

/** Decrements `counter` if it is positive; returns whether it was. */
auto ConsumeOne(std::uint64_t& counter) -> bool;

/** Returns whether a request must not be answered; `executor` is that of its
 * connection. Records the connection and uses up one of `silent_next`. */
auto ShouldStaySilent(fault_state& faults,
                      const http_request& request,
                      const connection_set::executor_type& executor) -> bool;

/** Returns whether to drop the response to a call that took effect. Uses up one
 * of `lose_next`. */
auto ShouldDropResponse(fault_state& faults) -> bool;

/** Returns whether to refuse a call before it takes effect. Uses up one of
 * `refuse_next`. */
auto ShouldRefuse(fault_state& faults) -> bool;

auto Sleep(std::chrono::milliseconds time) -> boost::asio::awaitable<void>;

/** Waits until the caller has closed its connection. */
auto WaitUntilDisconnected(http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Parses the body as a JSON object; an empty body gives {}. Fails with
 * kBadRequest. */
auto ParseBody(const http_request& request) -> outcome<boost::json::object>;

auto RespondJson(http_exchange& exchange,
                 unsigned status,
                 const boost::json::object& body)
    -> boost::asio::awaitable<void>;

/** Responds with a JSON error with the HTTP status of `code`. Sets Retry-After
 * unless `retry_after_s` is 0. */
auto RespondError(http_exchange& exchange,
                  error_code code,
                  std::string message,
                  unsigned retry_after_s = 0) -> boost::asio::awaitable<void>;

/** Returns the number in a query parameter, or `fallback` if it is absent or
 * not a number. */
auto QueryNumber(const http_request& request,
                 std::string_view name,
                 std::uint64_t fallback) -> std::uint64_t;

/** Serves on 127.0.0.1:`port` until SIGTERM or SIGINT. Returns the exit code.
 */
auto RunServer(boost::asio::io_context& io,
               std::string_view name,
               std::uint16_t port,
               http_handler handler) -> int;

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_FAKE_COMMON_H_
