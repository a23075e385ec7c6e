#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdlib>
#include <thread>
#include <utility>
#include <vector>

#include "src/core.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Time to write the last lines of a process that aborts. */
constexpr std::chrono::milliseconds kLogTimeout{300};

}  // namespace

auto LogException(std::exception_ptr error) -> void {
  if (!error) {
    return;
  }
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& e) {
    Log(log_level::kError, log_category::kCore,
        {std::string("an exception ended a coroutine: ") + e.what(), "run",
         ""});
  } catch (...) {
    Log(log_level::kError, log_category::kCore,
        {"an exception of unknown type ended a coroutine", "run", ""});
  }
}

auto AbortOnException(std::exception_ptr error) -> void {
  if (!error) {
    return;
  }
  LogException(std::move(error));
  FlushLog(clock::now() + kLogTimeout);
  std::abort();
}

auto Sleep(duration length) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor, length);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto OpenAcceptor(tcp::acceptor& acceptor,
                  const tcp::endpoint& endpoint,
                  std::string step) -> outcome<void> {
  boost::system::error_code ec;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return failure{.code = error_code::kUnavailable,
                   .message = ec.message(),
                   .ran = ran_state::kNo,
                   .step = std::move(step),
                   .peer = FormatEndpoint(endpoint)};
  }
  return {};
}

auto IsListening(const outcome<void>& listening) -> bool {
  if (!listening) {
    const auto& error = listening.error();
    Log(log_level::kError, log_category::kCore,
        {error.message, error.step, error.peer});
  }
  return listening.has_value();
}

auto RunWorkers(asio::io_context& io, unsigned threads) -> void {
  std::vector<std::jthread> workers;
  for (unsigned i = 1; i < threads; ++i) {
    workers.emplace_back([&io] { io.run(); });
  }
  io.run();
}

auto ParseEndpoint(std::string_view text) -> outcome<tcp::endpoint> {
  const failure invalid{.code = error_code::kBadRequest,
                        .message = "\"" + std::string(text) +
                                   "\" is not an address of the form ip:port",
                        .step = "parse address",
                        .peer = ""};
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return invalid;
  }
  boost::system::error_code ec;
  const auto address =
      asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    return invalid;
  }
  return tcp::endpoint(address, port);
}

auto FormatEndpoint(const tcp::endpoint& endpoint) -> std::string {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace dogwood
