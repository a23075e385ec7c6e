/** dogwoodctl: command-line client for operators. */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <thread>
#include <utility>

#include "src/ctl_run.h"
#include "src/http.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Delay before a change with an unknown outcome is retried. */
constexpr std::chrono::milliseconds kRetryDelay{500};

/** Sends a request and stores the response or failure in `response`. */
auto FetchInto(asio::ip::tcp::endpoint endpoint,
               http_request request,
               time_point deadline,
               std::optional<outcome<http_response>>& response)
    -> asio::awaitable<void> {
  response.emplace(co_await Fetch(endpoint, std::move(request), deadline));
}

/** Sends one request and waits for the response. A connection failure is
 * kUnavailable or kDeadlineExceeded. */
auto Send(const std::string& address,
          const http_request& request,
          std::chrono::seconds timeout) -> outcome<http_response> {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return UsageFailure("address \"" + address + "\" is not IP:PORT");
  }
  std::optional<outcome<http_response>> response;
  asio::io_context io;
  asio::co_spawn(
      asio::make_strand(io),
      FetchInto(endpoint.value(), request, clock::now() + timeout, response),
      LogException);
  io.run();
  if (!response) {
    return failure{.code = error_code::kInternal,
                   .message = "the request ended without a response",
                   .ran = ran_state::kMaybe,
                   .step = "send request",
                   .peer = address};
  }
  return std::move(*response);
}

/** Returns the value of an environment variable; empty if it is unset. */
auto Environment(const char* name) -> std::string {
  const auto* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace
}  // namespace dogwood

auto main(int argc, char** argv) -> int {
  std::chrono::seconds timeout{};
  dogwood::ctl_environment environment;
  environment.address = dogwood::Environment("DOGWOOD_ADDRESS");
  environment.token_file = dogwood::Environment("DOGWOOD_TOKEN_FILE");
  environment.out = &std::cout;
  environment.err = &std::cerr;
  environment.set_timeout = [&](std::chrono::seconds s) { timeout = s; };
  environment.transport = [&](const std::string& address,
                              const dogwood::http_request& request) {
    return dogwood::Send(address, request, timeout);
  };
  environment.pause = [] { std::this_thread::sleep_for(dogwood::kRetryDelay); };
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(dogwood::RunCtl(arguments, environment));
}
