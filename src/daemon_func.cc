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
constexpr auto kStopSignals = {SIGTERM, SIGINT};

/** Applies `how`, such as SIG_BLOCK, to `signals` in this thread. */
auto ChangeSignalMask(int how, std::initializer_list<int> signals) -> void {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : signals) {
    sigaddset(&mask, number);
  }
  pthread_sigmask(how, &mask, nullptr);
}

/** Handles all signals after the first; never returns unless `signals` is
 * cancelled. */
auto HandleFurtherSignals(asio::io_context& io,
                          std::shared_ptr<asio::signal_set> signals,
                          second_signal second) -> asio::awaitable<void> {
  while (true) {
    const auto [error, number] = co_await signals->async_wait(kAwait);
    if (error) {
      co_return;
    }
    Log(log_level::kInfo, log_category::kCore,
        {"received signal " + std::to_string(number) + " while stopping",
         "stop", ""});
    if (second == second_signal::kExitsProcess) {
      io.stop();
    }
  }
}

}  // namespace

auto HoldSignals(std::initializer_list<int> signals) -> void {
  ChangeSignalMask(SIG_BLOCK, signals);
}

auto HandleSignals(asio::io_context& io, std::initializer_list<int> signals)
    -> std::shared_ptr<asio::signal_set> {
  auto handled = std::make_shared<asio::signal_set>(io);
  for (const int number : signals) {
    handled->add(number);
  }
  ChangeSignalMask(SIG_UNBLOCK, signals);
  return handled;
}

auto PrepareForSignals() -> void {
  HoldSignals(kStopSignals);
  std::signal(SIGPIPE, SIG_IGN);
}

auto AwaitStopSignal(asio::io_context& io, second_signal second)
    -> asio::awaitable<void> {
  auto signals = HandleSignals(io, kStopSignals);
  co_await signals->async_wait(kAwait);
  Log(log_level::kInfo, log_category::kCore, {"stopping", "stop", ""});
  // Without a pending wait the next signal would terminate the process.
  asio::co_spawn(io, HandleFurtherSignals(io, std::move(signals), second),
                 AbortOnException);
}

}  // namespace dogwood
