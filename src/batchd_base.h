/** State of dogwood_batchd that its coroutines share. */
#ifndef SRC_BATCHD_BASE_H_
#define SRC_BATCHD_BASE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/batchd_run.h"
#include "src/batchd_setting.h"
#include "src/batchd_table.h"
#include "src/link.h"
#include "src/net.h"
#include "src/platform.h"
#include "src/replica_base.h"
#include "src/wall_clock.h"

namespace dogwood {

/** What the configuration says about dispatch; read once per change so that
 * the partitions' locks are not held over the configuration's. */
struct dispatch_rules {
  /** A route to a plain service. */
  struct route {
    std::string service;             ///< Service that serves it.
    std::optional<bool> idempotent;  ///< Nothing: by method.
  };
  std::map<std::string, double, std::less<>> weights;  ///< By workspace.
  std::map<std::string, route, std::less<>> routes;    ///< By name.
  std::map<std::string, bool, std::less<>> models;     ///< Configured ones.

  /** Weight of a workspace. */
  auto WeightOf(const workspace_id& workspace) const -> double;
  /** Whether an item may be sent more than once. */
  auto MayRepeat(const item_request& item) const -> bool;
  /** What servers must offer for a target: "model/M", "service/S"; empty if
   * the configuration has no such model or route. */
  auto OfferOf(const std::string& target) const -> std::string;
};

/** Counters of one process. */
struct batchd_metrics {
  std::atomic<std::uint64_t> appends{0};         ///< Answered appends.
  std::atomic<std::uint64_t> append_errors{0};   ///< Failed tries.
  std::atomic<std::uint64_t> append_records{0};  ///< Records appended.
  std::atomic<std::uint64_t> dispatched{0};      ///< Runs begun for partitions.
  std::atomic<std::uint64_t> answered{0};        ///< Runs with a result.
  std::atomic<std::uint64_t> failed{0};          ///< Runs that failed.
  std::atomic<std::uint64_t> returned{0};        ///< No room or preempted.
  std::atomic<std::uint64_t> unknown{0};         ///< Outcome unknown.
  std::atomic<std::uint64_t> preempted{0};       ///< Runs ended for online.
  std::atomic<std::uint64_t> resumed{0};         ///< Streams resumed.
  std::atomic<std::uint64_t> takeovers{0};       ///< Partitions claimed.
  std::atomic<std::uint64_t> submits{0};         ///< Accepted submissions.
  std::atomic<std::uint64_t> refusals{0};        ///< Requests refused.
};

/** Everything. */
struct batchd {
  batchd(boost::asio::io_context& context, batchd_settings given);

  boost::asio::io_context& io;  ///< Runs everything.
  batchd_settings settings;     ///< Checked.
  incarnation start;            ///< This start of the daemon.
  link_identity self;           ///< For links.
  config_replica replica;       ///< Configuration with its proof.
  link_client controld;         ///< The host's controld.
  platform_client platform;     ///< Log and host list.
  link_table peers;             ///< Other hosts' batchd.
  server_table servers;         ///< Host list.
  window_table windows;         ///< Items at each server.
  flight_table flights;         ///< Where items were sent.
  std::vector<std::unique_ptr<partition_slot>> partitions;  ///< By number.
  run_table runs;                         ///< Items run on servers from here.
  batchd_metrics metrics;                 ///< Counters.
  std::atomic<bool> stopping{false};      ///< Planned stop.
  std::atomic<bool> dispatch_due{false};  ///< See KickDispatch().
  std::atomic<std::uint64_t> last_attempt{0};  ///< For request ids.

  /** Current rules. */
  auto Rules() const -> std::shared_ptr<const dispatch_rules>;
  /** Reads the rules from the configuration again. */
  auto RefreshRules() -> void;
  /** Partition `p`. */
  auto Slot(partition_id p) -> partition_slot& { return *partitions[p.value]; }
  /** Whether this host may act as owner of a partition now. */
  auto Owns(partition_id p, time_point now) const -> bool;

 private:
  mutable std::mutex rules_mutex_;
  std::shared_ptr<const dispatch_rules> rules_;
};

}  // namespace dogwood

#endif  // SRC_BATCHD_BASE_H_
