/** What the stand-ins share: command line, faults, JSON and waiting. Each
 * stand-in runs on one thread, so that its tables need no locks. */
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

/** Faults that POST /fault sets; a field that is left out keeps its value. */
struct fault_state {
  bool outage = false;              ///< Answer 503 to everything.
  bool lose_answers = false;        ///< Close without answer after the effect.
  bool silent = false;              ///< Read and never answer.
  bool refuse = false;              ///< Answer 503 before any effect.
  std::uint64_t delay_ms = 0;       ///< Wait before each effect.
  std::uint64_t lose_next = 0;      ///< As lose_answers, for the next calls.
  std::uint64_t silent_next = 0;    ///< As silent, for the next calls.
  std::uint64_t refuse_next = 0;    ///< As refuse, for the next calls.
  std::uint64_t cross_answers = 0;  ///< Answers still to be sent crossed.
  /** Streams break after this many tokens; 0 is off. */
  std::uint64_t close_after_tokens = 0;
  /** Streams go silent after this many tokens; 0 is off. */
  std::uint64_t silent_after_tokens = 0;
  /** Peers whose connections have gone silent; see "silent_open". */
  std::set<std::string, std::less<>> silent_peers;
  /** Peers that have sent a request. */
  std::set<std::string, std::less<>> seen_peers;
};

/** Takes the fields of `given`; {"clear":true} resets all first, and
 * {"silent_open":true} silences every connection seen so far for good. Fails
 * with kBadRequest for an unknown field. */
auto ApplyFault(fault_state& faults, const boost::json::object& given)
    -> outcome<void>;

/** Decrements `counter` if it is positive; returns whether it was. */
auto TakeOne(std::uint64_t& counter) -> bool;

/** Whether this request's connection must not be answered. Notes the peer. */
auto IsSilent(fault_state& faults, const http_request& request) -> bool;

/** Whether the answer to a call that took effect is to be lost. */
auto LosesAnswer(fault_state& faults) -> bool;

/** Whether a call is refused before it takes effect. */
auto Refuses(fault_state& faults) -> bool;

/** Waits for a time. */
auto Sleep(std::chrono::milliseconds time) -> boost::asio::awaitable<void>;

/** Waits until the caller has closed its connection. */
auto WaitUntilGone(http_exchange& exchange) -> boost::asio::awaitable<void>;

/** The body as a JSON object; empty body is {}. Fails with kBadRequest. */
auto ParseBody(const http_request& request) -> outcome<boost::json::object>;

/** Sends JSON. */
auto RespondJson(http_exchange& exchange,
                 unsigned status,
                 const boost::json::object& body)
    -> boost::asio::awaitable<void>;

/** Sends an error that names what was wrong. */
auto RespondError(http_exchange& exchange,
                  error_code code,
                  std::string message,
                  unsigned retry_after_s = 0) -> boost::asio::awaitable<void>;

/** Number in a query parameter, `fallback` if absent or no number. */
auto QueryNumber(const http_request& request,
                 std::string_view name,
                 std::uint64_t fallback) -> std::uint64_t;

/** Listens on 127.0.0.1:`port` and runs until SIGTERM or SIGINT. Returns the
 * exit code. */
auto RunServer(boost::asio::io_context& io,
               std::string_view name,
               std::uint16_t port,
               http_handler handler) -> int;

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_FAKE_COMMON_H_
