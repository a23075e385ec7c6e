/** State of dogwood_hostd, the single process of a host that has half a core
 * and no disk. All state is owned by one thread; coroutines change it only
 * between their suspension points, so no locks are needed. */
#ifndef SRC_HOSTD_BASE_H_
#define SRC_HOSTD_BASE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/async_condition.h"
#include "src/core.h"
#include "src/deployment.h"
#include "src/dispatch.h"
#include "src/entryd_backend.h"
#include "src/entryd_metric.h"
#include "src/fleet.h"
#include "src/hostd_setting.h"
#include "src/link.h"
#include "src/loop_delay.h"

namespace dogwood {

class placement_service;
class batch_service;
class caller_watch;
class registration_table;

/** Maximum size of a frame between hosts: the largest are batch jobs and the
 * declared state. The smallest hosts have 130 MB. */
inline constexpr std::size_t kMaxLinkFrameBytes = 16UL << 20;
/** Maximum size of all frames that are being read. */
inline constexpr std::size_t kMaxLinkBufferBytes = 32UL << 20;
/** Time without an answer after which the store counts as lost. */
inline constexpr std::chrono::milliseconds kStoreLostTimeout{900};

/** Health of the store as seen by the calls of this process. */
struct store_health {
  time_point last_success;  ///< Time of the last answered call.
  /** First answered call after the latest loss. */
  time_point reachable_since;
  bool is_lost = true;  ///< State that was last logged.
};

/** How far a host has followed one log of the store, by itself or through
 * another host. */
struct feed_position {
  std::optional<log_offset> next;  ///< Offset of the next record, if known.
  /** Highest offset that was ever reached; kept when the position is lost. */
  log_offset reached;
  time_point confirmed;  ///< When the store confirmed the position.
  time_point progress;   ///< Arrival of the newest part of a read.

  /** Moves to `offset`. `confirmed_at` is when the store confirmed that no
   * record follows; nothing if more follow. What lies behind this position
   * changes nothing: it was confirmed for older content. */
  auto Advance(log_offset offset, std::optional<time_point> confirmed_at)
      -> void;
};

/** Events of following the store's logs, for metrics. */
struct feed_counts {
  std::uint64_t skipped_answers = 0;    ///< Registrations of peers not applied.
  std::uint64_t lost_positions = 0;     ///< The store had deleted the records.
  std::uint64_t deferred_removals = 0;  ///< A server may only have lapsed.
  std::uint64_t restored_removals = 0;  ///< It registered again in time.
  std::uint64_t expired_removals = 0;   ///< It did not: the server is gone.
  std::uint64_t announced_leaving = 0;  ///< Servers that said that they leave.
  /** Registrations that name no usable server, and entries or fields of the
   * declared state that were skipped or changed. */
  std::uint64_t rejected_entries = 0;
};

/** Exponentially smoothed answer times of a service. */
struct answer_times {
  double first_event_s = 0.15;  ///< Seconds to the first event of a stream.
  double event_gap_s = 0.04;    ///< Seconds between events.
};

/** Request history of a route on this host. */
struct route_history {
  /** Detects callers that retry after a refusal or a broken answer. */
  retry_detector detector;
  /** Smoothed duration of a complete run in seconds; 0 before the first. */
  double run_s = 0;
};

/** State shared by all parts of the process. */
struct host_state {
  host_state(boost::asio::io_context& context, hostd_options values);
  ~host_state();

  /** Event loop of the process; runs on one thread. */
  boost::asio::io_context& io;
  hostd_options options;  ///< Validated settings.
  /** Partitions of batch jobs, by the settings at the start. */
  partition_layout layout;
  fleet_member self;      ///< This host as a member.
  entry_metrics metrics;  ///< Counters and histograms.
  /** Spreads load; never used for identifiers that callers see. */
  std::mt19937_64 random;
  link_table links;   ///< Links to other hosts.
  backend_pool pool;  ///< Idle connections to servers.

  /** Newest declared state; nullptr before the first. */
  std::shared_ptr<const deployment_index> deployment;
  std::string state_text;  ///< Text of the newest declared state as stored.
  /** Registrations as stored. */
  std::unique_ptr<registration_table> registrations;
  /** Decoded registrations of usable servers. */
  std::map<server_id, registered_server> servers;
  /** Data centres whose servers get nothing more, as of `state_feed`. */
  evacuation_table evacuations;
  /** Set once the registrations have been read completely. */
  bool servers_known = false;
  time_point started;  ///< Start time of the process.
  loop_delay delay;    ///< How late the timers of `io` fire.
  /** Notified when a declared state is applied and when the registrations are
   * read. */
  async_condition readiness_changed;
  /** Notified when the state, the registrations or the members change. */
  async_condition feed_changed;
  feed_position state_feed;   ///< Position in the log of the state.
  feed_position server_feed;  ///< Position in the log of the registrations.
  feed_counts feed;           ///< What happened while following the logs.
  /** Hosts from which this one gets the state and the registrations; empty if
   * it reads the store itself. */
  std::vector<fleet_member> feed_sources;
  /** Members of this data centre that read the store before this one if the
   * sources do not answer, in order. */
  std::vector<fleet_member> feed_stand_ins;
  /** When the first stand-in reads the store itself unless a source has
   * answered with current data before. */
  time_point feed_deadline;
  /** Set if this host's partitions tell that the fleet is small, before the
   * members are known. */
  bool is_small_fleet = false;
  std::uint64_t process;      ///< Identifies this run of the process to others.
  fleet_view view;            ///< Newest view of the members.
  time_point view_confirmed;  ///< When the store last confirmed the view.
  std::uint64_t view_hash = 0;  ///< HashOf() the view.
  time_point view_read;         ///< When its owners were read from the store.
  /** End of the membership lease: until then the store gives this host's
   * partitions to no other. */
  time_point member_until;
  std::set<partition_id> owned;              ///< Partitions owned by this host.
  std::map<service_id, answer_times> times;  ///< Answer times by service.
  std::map<route_id, route_history> history;  ///< Request history by route.
  store_health store;                         ///< Health of the store.
  /** Bytes of the answers of servers that are being read, without streams. */
  std::size_t buffered_bytes = 0;
  bool draining = false;  ///< Set on SIGTERM.
  drain_times drain;      ///< Times of the planned stop, set on SIGTERM.

  /** Placement of requests on server slots. */
  std::unique_ptr<placement_service> placement;
  std::unique_ptr<batch_service> batch;   ///< Batch jobs.
  std::unique_ptr<caller_watch> callers;  ///< Detects disconnected callers.

  /** Whether the declared state and the servers are known. */
  auto CanPlace() const -> bool {
    return deployment != nullptr && servers_known;
  }
  /** Whether this host may receive callers' requests. */
  auto IsReady() const -> bool { return !draining && CanPlace(); }
  /** Identity of this process on links. */
  auto LinkIdentity() const -> link_identity {
    return {self.name, "hostd", options.secret, kMaxLinkFrameBytes};
  }
  /** Returns the address "ip:port" of a member's link server. */
  auto LinkAddressOf(const fleet_member& member) const -> std::string;
  /** Returns a random number, uniform in [0, 1). */
  auto RandomUnit() -> double;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_BASE_H_
