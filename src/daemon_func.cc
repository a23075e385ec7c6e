#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <utility>

#include "src/daemon.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/** Handles all further signals. */
auto TakeSignals(asio::io_context& io,
                 std::shared_ptr<asio::signal_set> signals,
                 second_signal second) -> asio::awaitable<void> {
  while (true) {
    const auto [error, number] = co_await signals->async_wait(kAwait);
    if (error) {
      co_return;
    }
    Log(log_level::kInfo, log_category::kCore,
        {"signal " + std::to_string(number) + " while stopping", "stop", ""});
    if (second == second_signal::kExitsProcess) {
      io.stop();
    }
  }
}

}  // namespace

auto AwaitStopSignal(asio::io_context& io, second_signal second)
    -> asio::awaitable<void> {
  auto signals = std::make_shared<asio::signal_set>(io, SIGTERM, SIGINT);
  co_await signals->async_wait(kAwait);
  Log(log_level::kInfo, log_category::kCore, {"stopping", "stop", ""});
  // Without a set that waits, the next signal would end the process.
  asio::co_spawn(io, TakeSignals(io, std::move(signals), second),
                 AbortOnException);
}

}  // namespace dogwood
