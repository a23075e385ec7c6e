/** dogwood_batchd: owns partitions of the batch jobs, dispatches their items to
 * backend servers, and admits batch work on some of these servers. */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <memory>

#include "src/batchd_base.h"
#include "src/batchd_dispatch.h"
#include "src/batchd_http.h"
#include "src/batchd_partition.h"
#include "src/batchd_serve.h"
#include "src/batchd_watch.h"
#include "src/core.h"
#include "src/daemon.h"

namespace dogwood {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kDrainPollInterval{50};

/** Starts a coroutine on its own strand. An exception ends the process. */
auto Start(batchd& d, asio::awaitable<void> work) -> void {
  asio::co_spawn(asio::make_strand(d.io), std::move(work), AbortOnException);
}

/** Starts the background coroutines, which never return. */
auto StartAll(batchd& d) -> void {
  Start(d, RunReplica(d.replica, d.controld, d.peers, "batchd",
                      d.settings.pull_interval, [&d] { d.RefreshRules(); }));
  Start(d, PollHosts(d));
  Start(d, PollLoads(d));
  Start(d, SweepRuns(d));
  Start(d, DispatchItems(d));
  for (const auto& slot : d.partitions) {
    Start(d, MaintainOwnership(d, *slot));
    Start(d, FollowStream(d, *slot));
    Start(d, AppendRecords(d, *slot));
  }
}

/** Drains the daemon: waits for half of the drain timeout for running items,
 * aborts the remaining repeatable ones, and appends the queued records. */
auto Drain(batchd& d) -> asio::awaitable<void> {
  const auto begin = clock::now();
  const auto half = begin + d.settings.drain_timeout / 2;
  const auto end = begin + d.settings.drain_timeout;
  while (clock::now() < half &&
         (d.runs.Running() > 0 || ItemsInFlight(d) > 0)) {
    co_await Sleep(kDrainPollInterval);
  }
  d.runs.AbortAll();
  while (clock::now() < end && (d.runs.Running() > 0 || !IsFlushed(d))) {
    co_await Sleep(kDrainPollInterval);
  }
  Log(log_level::kInfo, log_category::kCore,
      {IsFlushed(d) ? "all records are appended"
                    : "drain timeout: some records were not appended; the next "
                      "owner runs their items again",
       "stop", ""});
}

/** Drains and stops on the first signal; a second signal stops at once. */
auto WaitForStop(batchd& d) -> asio::awaitable<void> {
  co_await AwaitStopSignal(d.io, second_signal::kExitsProcess);
  d.stopping = true;
  co_await Drain(d);
  d.io.stop();
}

/** Runs the daemon until it is stopped. Returns the exit status. */
auto Serve(const batchd_settings& settings) -> int {
  asio::io_context io(static_cast<int>(settings.worker_threads));
  batchd d(io, settings);
  link_server links(
      io, d.self,
      [&d](link_peer peer, wire_message message) {
        return ServeLink(d, std::move(peer), std::move(message));
      },
      [&d](const link_peer& peer) {
        if (peer.daemon == "entryd") {
          RemoveOnlineLoad(d, peer.host);
        }
      });
  std::unique_ptr<http_server> health;
  if (settings.http) {
    health = std::make_unique<http_server>(
        io, http_limits{},
        [&d](http_exchange& exchange) { return ServeHealth(d, exchange); });
  }
  if (!IsListening(links.Listen(settings.batch_link)) ||
      (health && !IsListening(health->Listen(*settings.http)))) {
    return 1;
  }
  StartAll(d);
  Start(d, WaitForStop(d));
  RunWorkers(io, settings.worker_threads);
  return 0;
}

}  // namespace
}  // namespace dogwood

auto main(int argc, char** argv) -> int {
  return dogwood::RunDaemon(
      {dogwood::BatchdSettingTable(), "dogwood_batchd", "batchd"}, argc, argv,
      dogwood::ToBatchdSettings, dogwood::Serve);
}
