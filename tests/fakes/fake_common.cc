#include "tests/fakes/fake_common.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <iostream>
#include <utility>

namespace dogwood::fakes {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Interval at which a silenced connection is checked for disconnection. */
constexpr std::chrono::milliseconds kDisconnectPollInterval{50};

/** Sets the boolean fault `key`; returns false if there is no such fault. */
auto SetFlag(fault_state& faults, std::string_view key, bool value) -> bool {
  if (key == "outage") {
    faults.outage = value;
  } else if (key == "lose_answers") {
    faults.lose_answers = value;
  } else if (key == "silent") {
    faults.silent = value;
  } else if (key == "refuse") {
    faults.refuse = value;
  } else if (key == "silent_open") {
    if (value) {
      faults.silent_connections = faults.seen_connections;
    } else {
      faults.silent_connections = {};
    }
  } else {
    return key == "clear";
  }
  return true;
}

/** Sets the numeric fault `key`; returns false if there is no such fault. */
auto SetNumber(fault_state& faults, std::string_view key, std::uint64_t value)
    -> bool {
  if (key == "delay_ms") {
    faults.delay_ms = value;
  } else if (key == "lose_next") {
    faults.lose_next = value;
  } else if (key == "silent_next") {
    faults.silent_next = value;
  } else if (key == "refuse_next") {
    faults.refuse_next = value;
  } else if (key == "cross_answers") {
    faults.cross_answers = value;
  } else if (key == "close_after_tokens") {
    faults.close_after_tokens = value;
  } else if (key == "silent_after_tokens") {
    faults.silent_after_tokens = value;
  } else {
    return false;
  }
  return true;
}

/** Sets one fault of any type; returns false if it is unknown. */
auto SetField(fault_state& faults,
              std::string_view key,
              const json::value& value) -> bool {
  if (value.is_bool()) {
    return SetFlag(faults, key, value.get_bool());
  }
  json::error_code ec;
  const auto number = value.to_number<std::uint64_t>(ec);
  return !ec && SetNumber(faults, key, number);
}

}  // namespace

auto ApplyFault(fault_state& faults, const json::object& fields)
    -> outcome<void> {
  auto next = faults;
  if (const auto* clear = fields.if_contains("clear");
      clear != nullptr && clear->is_bool() && clear->get_bool()) {
    next = fault_state{};
    next.seen_connections = faults.seen_connections;
  }
  for (const auto& item : fields) {
    if (!SetField(next, item.key(), item.value())) {
      return failure{
          .code = error_code::kBadRequest,
          .message = "unknown fault \"" + std::string(item.key()) + "\"",
          .step = "set faults",
          .peer = ""};
    }
  }
  faults = std::move(next);
  return {};
}

auto ConsumeOne(std::uint64_t& counter) -> bool {
  if (counter == 0) {
    return false;
  }
  --counter;
  return true;
}

auto ShouldStaySilent(fault_state& faults,
                      const http_request& request,
                      const connection_set::executor_type& executor) -> bool {
  faults.seen_connections.Insert(request.peer, executor);
  return faults.silent_connections.Contains(request.peer, executor) ||
         faults.silent || ConsumeOne(faults.silent_next);
}

auto ShouldDropResponse(fault_state& faults) -> bool {
  return faults.lose_answers || ConsumeOne(faults.lose_next);
}

auto ShouldRefuse(fault_state& faults) -> bool {
  return faults.refuse || ConsumeOne(faults.refuse_next);
}

auto Sleep(std::chrono::milliseconds time) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(kAwait);
}

auto WaitUntilDisconnected(http_exchange& exchange) -> asio::awaitable<void> {
  while (!exchange.IsCallerDisconnected()) {
    co_await Sleep(kDisconnectPollInterval);
  }
}

auto ParseBody(const http_request& request) -> outcome<json::object> {
  if (request.body.empty()) {
    return json::object();
  }
  json::error_code ec;
  auto value = json::parse(request.body, ec);
  if (ec || !value.is_object()) {
    return failure{.code = error_code::kBadRequest,
                   .message = "the body must be one JSON object",
                   .step = "read request",
                   .peer = request.peer};
  }
  return std::move(value.get_object());
}

auto RespondJson(http_exchange& exchange,
                 unsigned status,
                 const json::object& body) -> asio::awaitable<void> {
  auto response = JsonResponse(status, json::serialize(body));
  co_await exchange.Respond(std::move(response));
}

auto RespondError(http_exchange& exchange,
                  error_code code,
                  std::string message,
                  unsigned retry_after_s) -> asio::awaitable<void> {
  const json::object body{
      {"error", {{"code", NameOf(code)}, {"message", message}}}};
  auto response = JsonResponse(HttpStatusOf(code), json::serialize(body));
  if (retry_after_s > 0) {
    response.headers.Set("Retry-After", std::to_string(retry_after_s));
  }
  co_await exchange.Respond(std::move(response));
}

auto QueryNumber(const http_request& request,
                 std::string_view name,
                 std::uint64_t fallback) -> std::uint64_t {
  const auto text = request.Query(name);
  if (!text) {
    return fallback;
  }
  std::uint64_t number = 0;
  const auto* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? number : fallback;
}

auto RunServer(asio::io_context& io,
               std::string_view name,
               std::uint16_t port,
               http_handler handler) -> int {
  StartLog("fake", name, "warning");
  const http_limits limits{.body_bytes = 16UL << 20, .idle_ms = 600000};
  http_server server(io, limits, std::move(handler));
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                         port);
  const auto listening = server.Listen(endpoint);
  if (!listening) {
    std::cerr << FormatEndpoint(endpoint) << ": " << listening.error().message
              << "\n";
    return 1;
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace dogwood::fakes
