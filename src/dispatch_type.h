/** Types of the placement of requests on backend servers. */
#ifndef SRC_DISPATCH_TYPE_H_
#define SRC_DISPATCH_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/deployment_region.h"
#include "src/deployment_type.h"
#include "src/limit_type.h"
#include "src/prompt_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Identifies one placement request of one host, and the slot that is granted
 * for it. */
using ticket_id = strong<struct ticket_tag, std::uint64_t>;

/** Identifies one term of one dispatcher, from its start to its end; 0 stands
 * for a host that decides alone. */
using dispatcher_term = strong<struct dispatcher_term_tag, std::uint64_t>;

/** Location of a host. */
struct host_location {
  data_centre_id data_centre;
  region_id region;  ///< Region of the data centre.
};

/** Scheduling class of a request. */
enum class work_class : std::uint8_t {
  kOnline,  ///< A caller is connected and waits for the answer.
  kBatch,   ///< An item of a batch job; preempted for online requests.
};

/** Times of an answer that are still on time; zero if none are declared. */
struct answer_objectives {
  duration first_event{};  ///< From the request to the first event.
  duration event_gap{};    ///< Between events.
};

/** A host's request for a slot on a backend server. */
struct placement_request {
  host_id host;                           ///< Requesting host.
  ticket_id ticket;                       ///< Unique per host.
  service_id service;                     ///< Service that must run it.
  workspace_id workspace;                 ///< Empty if it has none.
  work_class work = work_class::kOnline;  ///< Scheduling class.
  unsigned priority = 0;                  ///< 0 is the highest.
  bool takes_token = false;               ///< Counted in the workspace's limit.
  bool is_retry = false;                  ///< Caller was refused or cut off.
  host_location place;                    ///< Location of the host.
  region_bound regions;                   ///< Regions of usable servers.
  time_point latest_on_time_start;        ///< Later starts miss the objective.
  time_point latest_start;                ///< Later starts are of no use.
  std::vector<server_id> avoided;         ///< Servers that must not be chosen.
  /** Servers to which the host has idle connections that it may use. */
  std::vector<server_id> connected;
  prompt_parts prompt;  ///< Empty for batch work and if none is named.
  /** Hash of the request; empty for batch work. */
  std::optional<request_hash> content;
  answer_objectives objectives = {};  ///< Of its route.
};

/** Outcome of a placement request. */
enum class placement_verdict : std::uint8_t {
  kGranted,      ///< A slot on `server` is reserved.
  kOverLimit,    ///< The workspace is at its limit.
  kNoCapacity,   ///< No slot is expected to be free in time.
  kNoServer,     ///< No server of the service is known.
  kNotReady,     ///< The dispatcher is warming up or has been stopped.
  kQuarantined,  ///< A part of the prompt crashes servers.
};

/** Answer to a placement request. */
struct placement_answer {
  placement_verdict verdict = placement_verdict::kNotReady;
  server_id server;              ///< Set with kGranted only.
  std::uint32_t waiting = 0;     ///< Online requests in the queue; for logs.
  std::uint32_t free = 0;        ///< Free slots of the service; for logs.
  time_point retry_at;           ///< When a refused caller should retry.
  dispatcher_term decided_by{};  ///< Set on the way to the requesting host.
};

/** Answer to a placement request, addressed to the host that sent it. */
struct placement_notice {
  host_id host;
  ticket_id ticket;
  placement_answer answer;
};

/** How a run on a server ended. */
enum class run_outcome : std::uint8_t {
  kComplete,     ///< The complete answer was received.
  kFailed,       ///< The server answered with an error or broke off.
  kNotRun,       ///< The server stated that it did not run the request.
  kFull,         ///< As kNotRun, because all slots of the server were taken.
  kUnreachable,  ///< The connection failed or the server did not answer.
  kCancelled,    ///< The caller disconnected, or the run was preempted.
  kUnused,       ///< The slot was granted but not used.
};

/** Times of a run whose answer was a stream of events. */
struct stream_times {
  duration first_event{};         ///< From the sending to the first event.
  duration events{};              ///< From the first event to the last.
  std::uint32_t event_count = 0;  ///< Number of events; 0: no stream.
};

/** Report of a host that a run has ended. */
struct run_end_report {
  ticket_id ticket;
  run_outcome outcome = run_outcome::kComplete;
  /** The server broke off before it had sent two events, as one does that
   * crashes on the request. */
  bool may_have_crashed = false;
  stream_times times = {};  ///< Not set if the answer was no stream.
};

/** A slot that a host reports as in use. */
struct held_slot {
  ticket_id ticket;
  server_id server;
  work_class work = work_class::kOnline;
};

/** A batch run that its host must end to free the slot. */
struct preemption {
  host_id host;
  ticket_id ticket;
};

/** Requests in flight on a server, as counted by the dispatcher or as reported
 * by the server. */
struct server_count {
  server_id server;
  std::uint32_t count = 0;
  /** How long work takes there, in percent of usual; 0: unknown. In what hosts
   * report it is the server's own figure, in what a dispatcher sends it is the
   * estimate from runs. */
  std::uint32_t slowness_percent = 0;
  duration age{};  ///< Time since the server reported that figure.
};

/** Constants of the estimates of the servers' speeds. */
struct speed_policy {
  bool is_enabled = false;  ///< Otherwise placement does not use estimates.
  /** Samples lose 63 in 100 of their weight in this time. */
  std::chrono::milliseconds memory{3000};
  /** The same for the typical times of a service. Shorter, so that what slows
   * down all servers at once is not taken for a fault of each. */
  std::chrono::milliseconds service_memory{300};
  /** The same for the dependence on the load, which changes slowly and needs
   * many samples. */
  std::chrono::milliseconds trend_memory{20000};
  /** Weight of the assumption that a server is typical, in samples. The best
   * weight is the variance of the samples of one server over the variance
   * between servers; it is estimated within the bounds and begins at
   * `initial_prior`. */
  double initial_prior = 4;
  double min_prior = 0.4;
  double max_prior = 8;
  /** A sample of this many events has half the weight of a long one. */
  double half_weight_events = 5;
  /** Bound of a single sample: its factor is at most this and at least the
   * inverse. */
  double max_sample_factor = 6;
  /** Below this weight of samples a server is probed with batch work. */
  double stale_samples = 0.5;
  /** Weight of an estimate taken over from another dispatcher, in samples. */
  double adopted_samples = 4;
  /** Smoothing time of the figure that servers report. */
  std::chrono::milliseconds told_memory{500};
  /** The figure loses 63 in 100 of its effect at this age. */
  std::chrono::milliseconds told_life{1000};
  /** Fraction of the figure's deviation from 100 that is applied. */
  double told_weight = 1;
  /** Bounds of the figure as a factor. Runs count for more: a figure that does
   * not match them is wrong. */
  double min_told = 0.5;
  double max_told = 3;
  /** Paces are computed anew after this time. */
  std::chrono::milliseconds refresh_interval{200};
  /** Increase of the time from an empty to a full server, relative to the empty
   * one: assumed before it is learned, and its bounds. The lower bound keeps
   * load spread over servers that are equally fast. */
  double initial_rise = 1;
  double min_rise = 0.2;
  double max_rise = 8;
  /** Weight of the assumed and of the service's rise, as the sum of squared
   * deviations of the load. */
  double service_trend_weight = 40;
  double server_trend_weight = 80;
  /** Part of an objective up to which the expected time may rise. The expected
   * time is a mean, and single requests take longer. */
  double objective_share = 0.7;
  /** Objectives of requests are remembered for this long. */
  std::chrono::milliseconds objective_memory{10000};
  /** A batch item prefers a server slower by 1 to one that is less loaded by up
   * to this fraction of its slots, so that fast servers are free for callers.
   */
  double batch_slow_preference = 1;
  /** Bounds of the metrics of slow and fast servers. */
  double slow_factor = 1.3;
  double fast_factor = 0.77;
  /** A server's changes are logged at most this often. */
  std::chrono::milliseconds log_interval{5000};
};

/** Tuning constants of the dispatcher. */
struct dispatch_policy {
  /** The slots of a host that has not reported for this long are released. */
  std::chrono::milliseconds host_timeout{1500};
  /** A granted slot that is missing from its host's list counts as used for
   * this long after the grant: the list may have been made before the grant
   * arrived. */
  std::chrono::milliseconds grant_grace_period{600};
  /** A new dispatcher collects reports for this long before it decides. */
  std::chrono::milliseconds warm_up{350};
  /** First backoff of a server that could not be reached; each further failure
   * doubles it. */
  std::chrono::milliseconds min_backoff{300};
  /** Upper bound of that backoff. */
  std::chrono::milliseconds max_backoff{3000};
  /** Backoff of a server that was full although a slot was counted as free. */
  std::chrono::milliseconds full_backoff{100};
  /** Refused callers are told to retry after a random delay within these
   * bounds. */
  std::chrono::milliseconds min_retry_delay{600};
  std::chrono::milliseconds max_retry_delay{1600};
  /** Fraction of a workspace's burst with which a new dispatcher starts if no
   * host has heard from a former one lately, as after a start of all hosts: the
   * former may just have admitted the whole burst. */
  double initial_burst_share = 0.5;
  /** Fraction of each server's slots that batch runs leave free, so that an
   * online request rarely has to preempt one. A preempted run costs a
   * connection and has to read its prompt again, and the server may still count
   * it when the online request arrives. */
  double batch_reserve_share = 0.125;
  /** A server with an idle connection of the host is preferred to one that is
   * less loaded by up to this fraction of its slots. Hundreds of hosts before
   * some hundred servers otherwise hardly ever meet a server twice while the
   * connection lasts, and each request waits for a new one. */
  double connected_bonus = 0.25;
  /** A load reported by a server is valid for this long: twice the interval of
   * the host reports that carry it. */
  std::chrono::milliseconds reported_load_ttl{600};
  /** Standard deviations that are added to the expected wait for a slot, so
   * that 95 in 100 of the requests that are queued at the limit start on time.
   */
  double wait_deviations = 1.65;
  /** Duration of an online run that is assumed before any was measured. */
  std::chrono::milliseconds initial_run_time{800};
  speed_policy speed = {};  ///< Estimates of the servers' speeds.
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_TYPE_H_
