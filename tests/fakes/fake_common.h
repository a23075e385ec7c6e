/** Helpers shared by the stand-ins: fault injection, JSON requests and
 * responses, timers and the HTTP server. Each stand-in runs on one thread, so
 * its state needs no locks. */
#ifndef TESTS_FAKES_FAKE_COMMON_H_
#define TESTS_FAKES_FAKE_COMMON_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "src/core.h"
#include "src/http.h"

namespace dogwood::fakes {

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
  /** Peers whose connections get no more data; see "silent_open". */
  std::set<std::string, std::less<>> silent_peers;
  /** Peers that have sent a request so far. */
  std::set<std::string, std::less<>> seen_peers;
};

/** Sets the faults in `fields`; {"clear":true} resets all of them first, and
 * {"silent_open":true} silences every connection seen so far until it is
 * cleared. Fails with kBadRequest for an unknown field. */
auto ApplyFault(fault_state& faults, const boost::json::object& fields)
    -> outcome<void>;

/** Decrements `counter` if it is positive; returns whether it was. */
auto ConsumeOne(std::uint64_t& counter) -> bool;

/** Returns whether this request must not be answered. Records its peer and
 * uses up one of `silent_next`. */
auto ShouldStaySilent(fault_state& faults, const http_request& request) -> bool;

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
