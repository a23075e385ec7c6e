/** dogwood_entryd: callers' requests and their way to backend servers. */
#include <boost/asio/co_spawn.hpp>
#include <cstdlib>
#include <iostream>

#include "src/daemon.h"
#include "src/entryd_base.h"
#include "src/entryd_fleet.h"
#include "src/entryd_http.h"
#include "src/entryd_limit.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

/** Added to address_keep_ms for answers that are on their way. */
constexpr std::chrono::seconds kAddressMargin{1};
/** No request may have been active for this long at the end: a request that
 * is being read counts as active only once it is whole. */
constexpr std::chrono::milliseconds kQuietTime{200};

/** Answers a call over a link. */
auto HandleLink(entry_state& state, wire_message message)
    -> asio::awaitable<outcome<wire_message>> {
  const auto* request = message.Asgrant_request();
  if (request == nullptr) {
    co_return failure{.code = error_code::kBadRequest,
                      .message = "entryd answers grant requests only",
                      .ran = ran_state::kNo,
                      .step = "answer call",
                      .peer = state.options.host.value};
  }
  co_return MakeMessage(state.grants->Answer(*request));
}

/** Waits for a signal, then stops without cutting a request: callers keep
 * addresses for a while, so the daemon serves on until the last of its own
 * answers has expired. */
auto StopOnSignal(entry_state& state, http_server& server)
    -> asio::awaitable<void> {
  co_await AwaitStopSignal(state.io, second_signal::kIgnored);
  state.draining = true;
  server.BeginDrain();
  co_await Sleep(state.options.address_keep + kAddressMargin);
  server.StopListening();
  co_await server.Finish(clock::now() + state.options.drain_limit);
  Log(log_level::kInfo, log_category::kCore,
      {"stopped with " + std::to_string(server.ActiveRequests()) +
           " active requests",
       "stop", ""});
  state.io.stop();
}

/** Starts every loop. */
auto StartLoops(entry_state& state, link_client& controld) -> void {
  auto& io = state.io;
  auto on_change = [&state] { ApplyDraining(state); };
  asio::co_spawn(asio::make_strand(io),
                 RunReplica(state.replica, controld, state.links, "entryd",
                            state.options.pull_interval, on_change),
                 AbortOnException);
  asio::co_spawn(asio::make_strand(io), PollHosts(state), AbortOnException);
  asio::co_spawn(asio::make_strand(io), PollLoads(state), AbortOnException);
  state.grants->Start();
  state.reports->Start();
}

/** Serves until a signal; returns the exit code. */
auto Serve(entry_options options) -> int {
  asio::io_context io(static_cast<int>(options.worker_threads));
  const link_identity self{options.host.value, "entryd", options.secret};
  entry_state state(io, std::move(options));
  link_client controld(io, self, state.options.control_endpoint);
  link_server links(io, self, [&state](link_peer, wire_message message) {
    return HandleLink(state, std::move(message));
  });
  http_server server(io, state.options.limits, [&state](http_exchange& e) {
    return HandleCaller(state, e);
  });
  if (!IsListening(links.Listen(state.options.link_endpoint)) ||
      !IsListening(server.Listen(state.options.entry_endpoint))) {
    return 1;
  }
  StartLoops(state, controld);
  asio::co_spawn(asio::make_strand(io), StopOnSignal(state, server),
                 AbortOnException);
  Log(log_level::kInfo, log_category::kCore,
      {"serving callers", "start", state.options.entry_address});
  RunWorkers(io, static_cast<unsigned>(state.options.worker_threads));
  // Coroutines that still wait refer to `state`. Ending here spares them from
  // being destroyed after it.
  std::cout.flush();
  std::quick_exit(0);
}

}  // namespace
}  // namespace dogwood

auto main(int argc, char** argv) -> int {
  return dogwood::RunDaemon(
      {dogwood::EntrySettings(), "dogwood_entryd", "entryd"}, argc, argv,
      dogwood::ReadEntryOptions, dogwood::Serve);
}
