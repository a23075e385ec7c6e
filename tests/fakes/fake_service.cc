/** Stand-in for a plain service: answers any path and counts its calls. */
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <map>

#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Calls seen so far. */
struct service_state {
  fault_state faults;                            ///< Injected faults.
  std::uint64_t calls = 0;                       ///< Calls that took effect.
  std::map<std::string, std::uint64_t> by_path;  ///< Count by path.
  std::map<std::string, std::uint64_t> by_id;    ///< Count by X-Request-Id.
  json::array seen;                              ///< First kKeptCalls calls.
};

/** Calls whose headers are kept for GET /calls. */
constexpr std::size_t kKeptCalls = 20000;

/** Header fields of a request as {"name":"value"}. */
auto HeadersOf(const http_request& request) -> json::object {
  json::object headers;
  for (const auto& field : request.headers.fields) {
    headers[field.name] = field.value;
  }
  return headers;
}

/** Counts by name as JSON. */
auto CountsOf(const std::map<std::string, std::uint64_t>& counts)
    -> json::object {
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

/** Counts one call; the answer tells which call it belongs to. */
auto NoteCall(service_state& s, const http_request& request) -> json::object {
  const std::string path(request.Path());
  const std::string id(request.headers.Get("X-Request-Id"));
  ++s.calls;
  const auto count = ++s.by_path[path];
  if (!id.empty()) {
    ++s.by_id[id];
  }
  if (s.seen.size() < kKeptCalls) {
    s.seen.push_back({{"id", id},
                      {"method", request.method},
                      {"target", request.target},
                      {"headers", HeadersOf(request)},
                      {"body", request.body}});
  }
  return {{"path", path},
          {"method", request.method},
          {"count", count},
          {"request_id", id},
          {"body_sha256", Sha256Hex(request.body)}};
}

/** Answers a call of the service itself. */
auto AnswerCall(service_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  if (IsSilent(s.faults, exchange.Request())) {
    co_await WaitUntilGone(exchange);
    co_return;
  }
  if (s.faults.outage || Refuses(s.faults)) {
    co_await RespondError(exchange, error_code::kUnavailable, "fault: refuse");
    co_return;
  }
  if (s.faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(s.faults.delay_ms));
  }
  auto answer = NoteCall(s, exchange.Request());
  if (LosesAnswer(s.faults)) {
    co_return;
  }
  co_await RespondJson(exchange, 200, answer);
}

/** Answers one request. */
auto Handle(service_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const auto path = request.Path();
  if (path == "/fault" && request.method == "POST") {
    const auto body = ParseBody(request);
    const auto set = body ? ApplyFault(s.faults, *body) : body.error();
    if (!set) {
      co_await RespondError(exchange, set.error().code, set.error().message);
      co_return;
    }
    const json::object answer{{"calls", s.calls}};
    co_await RespondJson(exchange, 200, answer);
  } else if (path == "/calls" && request.method == "GET") {
    json::object answer{{"calls", s.calls},
                        {"by_path", CountsOf(s.by_path)},
                        {"by_id", CountsOf(s.by_id)},
                        {"seen", s.seen}};
    co_await RespondJson(exchange, 200, answer);
  } else {
    co_await AnswerCall(s, exchange);
  }
}

/** Reads the command line and serves. */
auto Run(int argc, char** argv) -> int {
  cxxopts::Options options("fake_service", "Stand-in for a plain service.");
  options.add_options()("port", "port on 127.0.0.1",
                        cxxopts::value<std::uint16_t>())(
      "delay-ms", "time each call takes",
      cxxopts::value<std::uint64_t>()->default_value("0"))("help", "this text");
  const auto given = options.parse(argc, argv);
  if (given.count("help") != 0 || given.count("port") == 0) {
    std::cout << options.help();
    return given.count("help") != 0 ? 0 : 2;
  }
  service_state s;
  s.faults.delay_ms = given["delay-ms"].as<std::uint64_t>();
  asio::io_context io(1);
  return RunServer(
      io, "fake_service", given["port"].as<std::uint16_t>(),
      [&s](http_exchange& exchange) { return Handle(s, exchange); });
}

}  // namespace
}  // namespace dogwood::fakes

/** Entry point. */
auto main(int argc, char** argv) -> int {
  try {
    return dogwood::fakes::Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
}
