/** dogwood_controld: joins the fleet, follows the configuration, serves it to
 * local daemons and other hosts, and takes operators' changes. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "src/controld_base.h"
#include "src/controld_http.h"
#include "src/controld_member.h"
#include "src/controld_pull.h"
#include "src/controld_serve.h"
#include "src/controld_setting.h"
#include "src/core.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

/** Ends the process if a coroutine that runs for ever fails: a daemon without
 * one of them would go on with part of its work undone. */
auto EndOnFailure(std::exception_ptr error) -> void {
  if (error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& e) {
      Log(log_level::kError, log_category::kCore, {e.what(), "run", ""});
    }
    std::abort();
  }
}

/** Starts a coroutine on a strand of its own. */
auto Start(controld& c, asio::awaitable<void> work) -> void {
  asio::co_spawn(asio::make_strand(c.io), std::move(work), EndOnFailure);
}

/** Loads the configuration, then starts everything that follows it. */
auto Run(controld& c) -> asio::awaitable<void> {
  co_await LoadConfig(c);
  Log(log_level::kInfo, log_category::kConfig,
      {"loaded the configuration up to offset " +
           std::to_string(NextOffset(c).value),
       "start", ""});
  Start(c, FollowConfig(c));
  Start(c, KeepJoined(c));
  Start(c, WatchMembers(c));
  Start(c, KeepSnapshots(c));
  Start(c, DrainWithoutDaemons(c));
}

/** On the first signal leaves the fleet and ends; a second one ends at once. */
auto WaitForStop(controld& c) -> asio::awaitable<void> {
  auto executor = co_await asio::this_coro::executor;
  asio::signal_set signals(executor, SIGTERM, SIGINT);
  co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
  Log(log_level::kInfo, log_category::kCore, {"stopping", "stop", ""});
  signals.async_wait([&c](const boost::system::error_code& e, int) {
    if (!e) {
      c.io.stop();
    }
  });
  co_await LeaveFleet(c);
  c.io.stop();
}

/** Runs the daemon until it is stopped. */
auto RunDaemon(const controld_settings& settings) -> int {
  asio::io_context io(static_cast<int>(settings.worker_threads));
  controld c(io, settings);
  link_identity self;
  self.host = settings.self.host.value;
  self.daemon = "controld";
  self.secret = settings.secret;
  link_server links(io, self, [&c](link_peer peer, wire_message message) {
    return ServeLink(c, std::move(peer), std::move(message));
  });
  http_server operators(io, http_limits{}, [&c](http_exchange& exchange) {
    return ServeOperator(c, exchange);
  });
  if (!IsListening(links.Listen(settings.control_link)) ||
      !IsListening(operators.Listen(settings.operators))) {
    return 1;
  }
  Start(c, Run(c));
  Start(c, WaitForStop(c));
  RunWorkers(io, settings.worker_threads);
  return 0;
}

/** The process. */
auto Main(int argc, const char* const* argv) -> int {
  int exit_code = 0;
  const auto* values = SettingsFromCommandLine(
      ControldSettingTable(), "dogwood_controld", argc, argv, exit_code);
  if (values == nullptr) {
    return exit_code;
  }
  auto settings = ToControldSettings(*values);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return 2;
  }
  if (!StartLog(settings->self.host.value, "controld", settings->log_levels)) {
    std::cerr << "log_levels: \"" << settings->log_levels
              << "\" is not a list of levels\n";
    return 2;
  }
  return RunDaemon(settings.value());
}

}  // namespace
}  // namespace dogwood

auto main(int argc, char** argv) -> int {
  return dogwood::Main(argc, argv);
}
