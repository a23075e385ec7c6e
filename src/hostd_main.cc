/** dogwood_hostd: the only process on a host of the users' platform. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <vector>

#include "src/daemon.h"
#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/hostd_caller.h"
#include "src/hostd_feed.h"
#include "src/hostd_front.h"
#include "src/hostd_placement.h"
#include "src/hostd_reload.h"
#include "src/hostd_state.h"
#include "src/hostd_watch.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Environment variable that names the settings file if the command line does
 * not. */
constexpr const char* kSettingsVariable = "DOGWOODPASS_SETTINGS";
/** Maximum rate of log lines per second. A host answers some tens of requests
 * per second. */
constexpr double kLogLinesPerSecond = 300;
/** Interval of the checks of the settings file, the limits and the idle
 * connections. */
constexpr milliseconds kHousekeepingInterval{500};
/** Interval at which links to removed hosts are closed. It is long, so that a
 * host that is only cut off for a while keeps its links. */
constexpr std::chrono::seconds kLinkPruneInterval{60};
/** After SIGTERM new connections are accepted for kAddressTtlFactor times the
 * announced lifetime of addresses plus kAddressTtlMargin, because callers keep
 * addresses for up to three times that lifetime. */
constexpr int kAddressTtlFactor = 2;
constexpr milliseconds kAddressTtlMargin{500};
/** The process exits this long before the platform kills it. */
constexpr milliseconds kKillMargin{700};
/** Requests are answered this long before the process exits at the latest. */
constexpr milliseconds kAnswerMargin{200};
/** Maximum time to record the progress of batch runs after SIGTERM. */
constexpr milliseconds kHandOverTimeout{600};
constexpr milliseconds kDrainPollInterval{20};
/** Maximum time to write the last lines before the exit. Nobody is served
 * meanwhile. */
constexpr milliseconds kLogTimeout{100};

/** The HTTP servers of the process. */
struct host_servers {
  host_servers(host_state& host)
      : front(host.io,
              http_limits(),
              [&host](http_exchange& e) { return HandleCaller(host, e); }),
        ready(host.io,
              http_limits(),
              [&host](http_exchange& e) { return HandleReady(host, e); }),
        directory(
            host.io,
            http_limits(),
            [&host](http_exchange& e) { return HandleDirectory(host, e); }),
        metrics(host.io, http_limits(), [&host](http_exchange& e) {
          return HandleMetrics(host, e);
        }) {}

  /** Responds with all metrics. */
  static auto HandleMetrics(host_state& host, http_exchange& exchange)
      -> asio::awaitable<void> {
    const auto count = [](std::size_t n) { return static_cast<double>(n); };
    const auto now = clock::now();
    const auto age = [now](const feed_position& position) {
      return std::chrono::duration<double>(now - position.confirmed).count();
    };
    const auto quarantine = host.placement->Quarantine();
    http_response response;
    response.headers.Set("Content-Type", "text/plain; version=0.0.4");
    response.body = host.metrics.Print(
        {{"dogwood_requests_open", count(host.callers->Count())},
         {"dogwood_slots_held", count(host.placement->HeldCount())},
         {"dogwood_asks_waiting_online",
          count(host.placement->WaitingCount(work_class::kOnline))},
         {"dogwood_asks_waiting_batch",
          count(host.placement->WaitingCount(work_class::kBatch))},
         {"dogwood_slots_of_others", count(host.placement->ExternalCount())},
         {"dogwood_batch_items_open", count(host.batch->ItemCount())},
         {"dogwood_batch_items_asking", count(host.batch->AwaitingSlotCount())},
         {"dogwood_batch_items_running", count(host.batch->RunningCount())},
         {"dogwood_partitions_owned", count(host.owned.size())},
         {"dogwood_members", count(host.view.members.size())},
         {"dogwood_servers", count(host.servers.size())},
         {"dogwood_data_centres_evacuated", count(EvacuatedCount(host))},
         {"dogwood_state_version",
          host.deployment == nullptr
              ? 0
              : count(host.deployment->state().version.value)},
         {"dogwood_store_lost", host.store.is_lost ? 1 : 0},
         {"dogwood_has_dispatcher", host.placement->HasDispatcher() ? 1 : 0},
         {"dogwood_reads_store", ReadsStore(host, now) ? 1 : 0},
         {"dogwood_state_age_seconds", age(host.state_feed)},
         {"dogwood_servers_age_seconds", age(host.server_feed)},
         {"dogwood_feed_answers_skipped", count(host.feed.skipped_answers)},
         {"dogwood_feed_positions_lost", count(host.feed.lost_positions)},
         {"dogwood_removals_deferred", count(host.feed.deferred_removals)},
         {"dogwood_removals_restored", count(host.feed.restored_removals)},
         {"dogwood_removals_expired", count(host.feed.expired_removals)},
         {"dogwood_servers_announced_leaving",
          count(host.feed.announced_leaving)},
         {"dogwood_entries_rejected", count(host.feed.rejected_entries)},
         {"dogwood_prompts_quarantined", count(quarantine.parts.size())},
         {"dogwood_requests_quarantined", count(quarantine.requests.size())},
         {"dogwood_servers_cold", count(host.placement->ColdCount())},
         {"dogwood_cold_starts_deferred_total",
          count(host.placement->DeferredColdStarts())},
         {"dogwood_servers_slow", count(host.placement->SlowServers())},
         {"dogwood_servers_fast", count(host.placement->FastServers())},
         {"dogwood_server_speed_samples_total",
          count(host.placement->SpeedSamples())},
         {"dogwood_load_figures_rejected_total",
          count(host.placement->RejectedFigures())},
         {"dogwood_loop_delay_seconds",
          std::chrono::duration<double>(host.delay.Largest()).count()},
         {"dogwood_draining", host.draining ? 1 : 0}});
    response.body += PrintLinkTotals();
    co_await exchange.Respond(std::move(response));
  }

  http_server front;      ///< Serves callers' requests.
  http_server ready;      ///< Serves the platform's readiness checks.
  http_server directory;  ///< Serves requests for host addresses.
  http_server metrics;    ///< Serves metrics.
};

/** Handles a call of another host. */
auto HandleLink(host_state& host, wire_message message)
    -> asio::awaitable<outcome<wire_message>> {
  if (const auto* place = message.Asplace_request()) {
    co_return co_await host.placement->HandlePlace(*place);
  }
  if (const auto* ends = message.Asends_request()) {
    host.placement->HandleEnds(*ends);
    co_return MakeMessage(wire::doneT());
  }
  if (const auto* held = message.Asheld_request()) {
    co_return MakeMessage(host.placement->HandleHeld(*held));
  }
  if (const auto* preempt = message.Aspreempt_request()) {
    host.placement->HandlePreempt(*preempt);
    co_return MakeMessage(wire::doneT());
  }
  if (const auto* quota = message.Asquota_request()) {
    co_return MakeMessage(host.placement->HandleQuota(*quota));
  }
  if (const auto* view = message.Asview_request()) {
    auto answer = co_await AnswerView(host, *view);
    co_return MakeMessage(std::move(answer));
  }
  if (const auto* call = message.Asbatch_call()) {
    auto response = co_await host.batch->Answer(*call);
    wire::http_replyT reply;
    reply.status = response.status;
    reply.content_type = std::string(response.headers.Get("Content-Type"));
    reply.body = std::move(response.body);
    co_return MakeMessage(std::move(reply));
  }
  co_return failure{.code = error_code::kBadRequest,
                    .message = "hostd does not answer such calls",
                    .ran = ran_state::kNo,
                    .step = "answer call",
                    .peer = host.self.name};
}

/** Refuses waiting requests as soon as they can no longer be finished, and
 * answers those that servers still run when the process is about to exit. */
auto RunDrainChecks(host_state& host) -> asio::awaitable<void> {
  while (true) {
    host.callers->DrainCheck();
    const auto due = clock::now() + kDrainPollInterval;
    co_await Sleep(kDrainPollInterval);
    host.delay.Record(due, clock::now());
  }
}

/** Logs the end of a stop, and each request that it cuts. */
auto LogStop(const host_state& host, std::size_t active_requests) -> void {
  const auto millis = [](duration d) {
    return std::chrono::duration_cast<milliseconds>(d).count();
  };
  host.callers->Exit();
  LogEvent(log_level::kInfo, log_category::kCore, "stopped",
           {{"active_requests", active_requests},
            {"ms", millis(clock::now() - host.drain.begun)},
            {"loop_delay_ms", millis(host.delay.Largest())}});
}

/** Waits for SIGTERM, then drains: lets active requests finish before the
 * process stops. */
auto StopOnSignal(host_state& host, host_servers& servers)
    -> asio::awaitable<void> {
  co_await AwaitStopSignal(host.io, second_signal::kIgnored);
  const auto begun = clock::now();
  const auto end = begun + host.options.drain_limit - kKillMargin;
  const auto listen_until =
      begun + kAddressTtlFactor * host.options.address_keep + kAddressTtlMargin;
  host.draining = true;
  host.drain = {.begun = begun,
                .learned = begun + host.options.address_keep,
                .ends = end - kAnswerMargin};
  servers.front.BeginDrain();
  asio::co_spawn(host.io, RunDrainChecks(host), AbortOnException);
  co_await host.batch->HandOver(clock::now() + kHandOverTimeout);
  co_await LeaveFleet(host);
  asio::co_spawn(host.io, FollowMembersAfterLeaving(host), AbortOnException);
  while (clock::now() < std::min(listen_until, end)) {
    co_await Sleep(kDrainPollInterval);
  }
  servers.front.StopListening();
  co_await servers.front.Finish(end);
  LogStop(host, servers.front.ActiveRequests());
  FlushLog(clock::now() + kLogTimeout);
  host.io.stop();
}

/** Reloads the settings on SIGHUP. */
auto ReloadOnSignal(host_state& host, settings_file& settings)
    -> asio::awaitable<void> {
  const auto signals = HandleSignals(host.io, {SIGHUP});
  while (true) {
    co_await signals->async_wait(kAwait);
    settings.Reload(host);
  }
}

/** Periodically applies the declared limits, reloads settings that changed
 * without a signal, and closes idle connections and links to removed hosts. */
auto RunHousekeeping(host_state& host,
                     host_servers& servers,
                     settings_file& settings) -> asio::awaitable<void> {
  auto links_due = clock::now() + kLinkPruneInterval;
  while (true) {
    if (host.deployment != nullptr) {
      const auto& limits = host.deployment->state().limits;
      servers.front.SetLimits(
          {.header_bytes = limits.header_bytes,
           .body_bytes = limits.body_bytes,
           .idle_ms = static_cast<unsigned>(limits.idle_timeout.count()),
           .header_ms = static_cast<unsigned>(limits.header_timeout.count())});
    }
    settings.ReloadIfChanged(host);
    const auto now = clock::now();
    host.pool.Expire(now);
    host.registrations->Expire(now);
    if (host.servers_known) {
      host.registrations->Publish();
    }
    if (now >= links_due) {
      links_due = now + kLinkPruneInterval;
      PruneLinks(host);
    }
    co_await Sleep(kHousekeepingInterval);
  }
}

/** Runs the process until SIGTERM. Returns an exit code only if it cannot
 * start. */
auto Serve(hostd_options options, settings_file& settings) -> int {
  // One thread: a host has half a core, and nothing here blocks.
  asio::io_context io(1);
  host_state host(io, std::move(options));
  FrameBudget().SetLimit(kMaxLinkBufferBytes);
  link_server links(io, host.LinkIdentity(),
                    [&host](link_peer, wire_message message) {
                      return HandleLink(host, std::move(message));
                    });
  host_servers servers(host);
  if (!IsListening(links.Listen(host.options.link)) ||
      !IsListening(servers.front.Listen(host.options.front)) ||
      !IsListening(servers.ready.Listen(host.options.ready)) ||
      !IsListening(servers.directory.Listen(host.options.directory))) {
    return 1;
  }
  // A failure to listen for metrics is logged, but the host still serves
  // callers.
  static_cast<void>(IsListening(servers.metrics.Listen(host.options.metrics)));
  StartWatching(host);
  host.placement->Start();
  host.batch->Start();
  host.callers->Start();
  asio::co_spawn(io, StopOnSignal(host, servers), AbortOnException);
  asio::co_spawn(io, ReloadOnSignal(host, settings), AbortOnException);
  asio::co_spawn(io, RunHousekeeping(host, servers, settings),
                 AbortOnException);
  Log(log_level::kInfo, log_category::kCore,
      {"serving callers", "start", FormatEndpoint(host.options.front)});
  io.run();
  // Suspended coroutines refer to `host`. Exiting here avoids destroying them
  // after it. Standard output is not flushed: its reader may be slow, and the
  // writer of the log flushes each line.
  std::quick_exit(0);
}

}  // namespace
}  // namespace dogwood

auto main(int argc, char** argv) -> int {
  dogwood::PrepareForSignals();  // RunDaemon() does so too late.
  dogwood::HoldSignals({SIGHUP});
  std::vector<const char*> arguments(argv, argv + argc);
  const char* path = std::getenv(dogwood::kSettingsVariable);
  if (argc == 1 && path != nullptr) {
    arguments.insert(arguments.end(), {"--settings", path});
  }
  std::string settings_path;
  for (std::size_t i = 0; i + 1 < arguments.size(); ++i) {
    if (std::string_view(arguments[i]) == "--settings") {
      settings_path = arguments[i + 1];
    }
  }
  // Read before the options are, so that a change in between is noticed.
  dogwood::settings_file settings(settings_path);
  return dogwood::RunDaemon(
      {dogwood::HostdSettings(), "dogwood_hostd", "hostd"},
      static_cast<int>(arguments.size()), arguments.data(),
      dogwood::ReadHostdOptions, [&](dogwood::hostd_options options) {
        dogwood::StartLogWriter(dogwood::kLogLinesPerSecond);
        return dogwood::Serve(std::move(options), settings);
      });
}
