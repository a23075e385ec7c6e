/** dogwood_controld: joins the fleet, follows the configuration, serves it to
 * local daemons and other hosts, and takes operators' changes. */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "src/controld_base.h"
#include "src/controld_http.h"
#include "src/controld_member.h"
#include "src/controld_pull.h"
#include "src/controld_serve.h"
#include "src/controld_setting.h"
#include "src/core.h"
#include "src/daemon.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

/** Starts a coroutine on a strand of its own. */
auto Start(controld& c, asio::awaitable<void> work) -> void {
  asio::co_spawn(asio::make_strand(c.io), std::move(work), AbortOnException);
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
  co_await AwaitStopSignal(c.io, second_signal::kExitsProcess);
  co_await LeaveFleet(c);
  c.io.stop();
}

/** Runs the daemon until it is stopped. */
auto Serve(const controld_settings& settings) -> int {
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

}  // namespace
}  // namespace dogwood

auto main(int argc, char** argv) -> int {
  return dogwood::RunDaemon(
      {dogwood::ControldSettingTable(), "dogwood_controld", "controld"}, argc,
      argv, dogwood::ToControldSettings, dogwood::Serve);
}
