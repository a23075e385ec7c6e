/** Shared state of the coroutines of dogwood_batchd. */
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

/** Dispatch settings of the configuration. They are copied once per change, so
 * that the configuration's lock is never taken while a partition's is held. */
struct dispatch_rules {
  /** A route to a plain service. */
  struct route {
    std::string service;
    std::optional<bool> idempotent;  ///< Unset: decided by the HTTP method.
  };
  /** Weights by workspace. */
  std::map<std::string, double, std::less<>> weights;
  std::map<std::string, route, std::less<>> routes;  ///< Routes by name.
  /** Configured models by name. */
  std::map<std::string, bool, std::less<>> models;

  /** Returns the weight of a workspace; 1 if none is configured. */
  auto WeightOf(const workspace_id& workspace) const -> double;
  /** Returns whether an item may be sent more than once. */
  auto MayRepeat(const item_request& item) const -> bool;
  /** Returns the server target that serves an item target: "model/M" or
   * "service/S". Empty if the configuration has no such model or route. */
  auto ServerTargetOf(const std::string& target) const -> std::string;
};

/** Counters of one process, exported as metrics. */
struct batchd_metrics {
  std::atomic<std::uint64_t> appends{0};         ///< Appends that succeeded.
  std::atomic<std::uint64_t> append_errors{0};   ///< Appends that failed.
  std::atomic<std::uint64_t> append_records{0};  ///< Records appended.
  std::atomic<std::uint64_t> dispatched{0};      ///< Runs of own partitions.
  std::atomic<std::uint64_t> answered{0};        ///< Runs with a result.
  std::atomic<std::uint64_t> failed{0};          ///< Runs that failed.
  std::atomic<std::uint64_t> returned{0};   ///< No free slot, or preempted.
  std::atomic<std::uint64_t> unknown{0};    ///< Runs with an unknown outcome.
  std::atomic<std::uint64_t> preempted{0};  ///< Preempted for online requests.
  std::atomic<std::uint64_t> resumed{0};    ///< Streams resumed.
  std::atomic<std::uint64_t> takeovers{0};  ///< Partitions claimed.
  std::atomic<std::uint64_t> submits{0};    ///< Accepted submissions.
  std::atomic<std::uint64_t> refusals{0};   ///< Requests refused.
};

/** Shared state of the daemon. */
struct batchd {
  batchd(boost::asio::io_context& context, batchd_settings given);

  boost::asio::io_context& io;  ///< Executes all coroutines.
  batchd_settings settings;
  incarnation start;         ///< Incarnation: start time of this process.
  link_identity self;        ///< Identity of this daemon on links.
  config_replica replica;    ///< Configuration with its proof.
  link_client controld;      ///< The host's controld.
  platform_client platform;  ///< Client of the log and the host list.
  link_table peers;          ///< Links to other hosts' batchd.
  server_table servers;      ///< Backend servers of the host list.
  window_table windows;      ///< Concurrency window of each server.
  in_flight_table flights;   ///< Items in flight.
  /** Partitions by number. */
  std::vector<std::unique_ptr<partition_slot>> partitions;
  run_table runs;  ///< Runs on servers that this host admits on.
  batchd_metrics metrics;
  std::atomic<bool> stopping{false};      ///< A planned stop is in progress.
  std::atomic<bool> dispatch_due{false};  ///< See TriggerDispatch().
  std::atomic<std::uint64_t> last_attempt{0};  ///< Makes request ids unique.

  /** Returns the current dispatch rules. */
  auto Rules() const -> std::shared_ptr<const dispatch_rules>;
  /** Rebuilds the dispatch rules from the configuration. */
  auto RefreshRules() -> void;
  /** Returns the slot of partition `p`, which must exist. */
  auto Slot(partition_id p) -> partition_slot& { return *partitions[p.value]; }
  /** Returns whether this host may act as owner of a partition now. */
  auto Owns(partition_id p, time_point now) const -> bool;

 private:
  mutable std::mutex rules_mutex_;
  std::shared_ptr<const dispatch_rules> rules_;
};

}  // namespace dogwood

#endif  // SRC_BATCHD_BASE_H_
