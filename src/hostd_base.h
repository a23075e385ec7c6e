/** State of dogwood_hostd, the single process of a host that has half a core
 * and no disk. All of it lives on one thread; coroutines change it only
 * between their waits. */
#ifndef SRC_HOSTD_BASE_H_
#define SRC_HOSTD_BASE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "src/async_condition.h"
#include "src/core.h"
#include "src/deployment.h"
#include "src/dispatch.h"
#include "src/entryd_backend.h"
#include "src/entryd_metric.h"
#include "src/fleet.h"
#include "src/hostd_setting.h"
#include "src/link.h"

namespace dogwood {

class placement_service;
class batch_service;
class caller_watch;

/** What is known of the store's health, from the calls of this process. */
struct store_health {
  time_point last_success;     ///< Last call that was answered.
  time_point last_failure;     ///< Last call that was not.
  time_point disturbed_until;  ///< Absent registrations may have lapsed.
  bool is_lost = true;         ///< As last logged.
};

/** Usual times of a service's answers, smoothed. */
struct answer_times {
  double first_event_s = 0.15;  ///< To the first event of a stream.
  double event_gap_s = 0.04;    ///< Between events.
};

/** What this host has seen of a route's requests. */
struct route_history {
  retry_detector returns;  ///< Which callers return.
  double run_s = 0;        ///< Time of a whole run, smoothed; 0: none yet.
};

/** State that every part of the process shares. */
struct host_state {
  host_state(boost::asio::io_context& context, hostd_options values);
  ~host_state();

  boost::asio::io_context& io;  ///< Runs everything, on one thread.
  hostd_options options;        ///< Checked settings.
  fleet_member self;            ///< This host as a member.
  entry_metrics metrics;        ///< Counters and histograms.
  std::mt19937_64 random;       ///< For spreading, never for ids of callers.
  link_table links;             ///< Links to other hosts.
  backend_pool pool;            ///< Idle connections to servers.

  std::shared_ptr<const deployment_index> deployment;  ///< Newest; or nullptr.
  std::string state_text;  ///< The newest declared state as stored.
  std::map<std::string, std::string> registrations;  ///< Servers as stored.
  std::map<server_id, registered_server> servers;    ///< Servers to use.
  bool servers_known = false;  ///< Registrations have been read once.
  time_point started;          ///< Start of the process.
  async_condition
      learned;      ///< Notified of each state, and when servers are known.
  fleet_view view;  ///< Newest members.
  time_point view_confirmed;  ///< When the store last confirmed the view.
  time_point member_until;  ///< The store keeps what this host owns until then.
  std::set<partition_id> owned;               ///< Partitions of this host.
  std::map<service_id, answer_times> times;   ///< By service.
  std::map<route_id, route_history> history;  ///< By route.
  store_health store;                         ///< The store as seen from here.
  bool draining = false;                      ///< SIGTERM has come.

  std::unique_ptr<placement_service> placement;  ///< Slots of servers.
  std::unique_ptr<batch_service> batch;          ///< Batch jobs.
  std::unique_ptr<caller_watch> callers;         ///< Who waits for answers.

  /** Whether it knows enough to place requests. */
  auto CanPlace() const -> bool {
    return deployment != nullptr && servers_known;
  }
  /** Whether callers may be sent here. */
  auto IsReady() const -> bool { return !draining && CanPlace(); }
  /** Address of a member's link. */
  auto LinkOf(const fleet_member& member) const -> std::string;
  /** Uniform in [0, 1). */
  auto Draw() -> double;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_BASE_H_
