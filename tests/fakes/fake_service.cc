/** Stand-in for a plain HTTP service: responds on any path and counts calls. */
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <map>

#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Faults and call counts of the stand-in. */
struct service_state {
  fault_state faults;
  std::uint64_t calls = 0;                       ///< Calls that took effect.
  std::map<std::string, std::uint64_t> by_path;  ///< Calls by path.
  std::map<std::string, std::uint64_t> by_id;    ///< Calls by X-Request-Id.
  json::array seen;  ///< First kMaxLoggedCalls calls.
};

/** Maximum number of calls that GET /calls lists with their headers. */
constexpr std::size_t kMaxLoggedCalls = 20000;

/** Returns the header fields of a request as {"name":"value"}. */
auto HeadersOf(const http_request& request) -> json::object {
  json::object headers;
  for (const auto& field : request.headers.fields) {
    headers[field.name] = field.value;
  }
  return headers;
}

/** Converts counts by name to JSON. */
auto CountsOf(const std::map<std::string, std::uint64_t>& counts)
    -> json::object {
  json::object object;
  for (const auto& [name, count] : counts) {
    object[name] = count;
  }
  return object;
}

/** Counts one call and returns the response, which identifies the call. */
auto RecordCall(service_state& s, const http_request& request) -> json::object {
  const std::string path(request.Path());
  const std::string id(request.headers.Get("X-Request-Id"));
  ++s.calls;
  const auto count = ++s.by_path[path];
  if (!id.empty()) {
    ++s.by_id[id];
  }
  if (s.seen.size() < kMaxLoggedCalls) {
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

/** Handles a call of the service itself, with the injected faults. */
auto HandleServiceCall(service_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto executor = co_await asio::this_coro::executor;
  if (ShouldStaySilent(s.faults, exchange.Request(), executor)) {
    co_await WaitUntilDisconnected(exchange);
    co_return;
  }
  if (s.faults.outage || ShouldRefuse(s.faults)) {
    co_await RespondError(exchange, error_code::kUnavailable, "fault: refuse");
    co_return;
  }
  if (s.faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(s.faults.delay_ms));
  }
  auto answer = RecordCall(s, exchange.Request());
  if (ShouldDropResponse(s.faults)) {
    co_return;
  }
  co_await RespondJson(exchange, 200, answer);
}

/** Handles one request. */
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
    co_await HandleServiceCall(s, exchange);
  }
}

/** Parses the command line and runs the server. Returns the exit code. */
auto Run(int argc, char** argv) -> int {
  cxxopts::Options options("fake_service", "Stand-in for a plain service.");
  options.add_options()("port", "port on 127.0.0.1",
                        cxxopts::value<std::uint16_t>())(
      "delay-ms", "duration of a call",
      cxxopts::value<std::uint64_t>()->default_value("0"))("help", "this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0 || arguments.count("port") == 0) {
    std::cout << options.help();
    return arguments.count("help") != 0 ? 0 : 2;
  }
  service_state s;
  s.faults.delay_ms = arguments["delay-ms"].as<std::uint64_t>();
  asio::io_context io(1);
  return RunServer(
      io, "fake_service", arguments["port"].as<std::uint16_t>(),
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
