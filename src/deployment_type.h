/** Types of a deployment: the routes, services, workspaces and limits that
 * operators declare, and the registered backend servers. */
#ifndef SRC_DEPLOYMENT_TYPE_H_
#define SRC_DEPLOYMENT_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

using service_id = strong<struct service_tag, std::string>;
/** Version of a deployment's declared state; a larger one is newer. */
using state_version = strong<struct state_version_tag, std::uint64_t>;

/** Kind of a route, which determines how its requests may be retried. */
enum class request_kind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run once at most.
  /** Answers with an event stream; like kNonIdempotent if not resumable. */
  kStream,
  kBatch,  ///< Accepts submissions of batch jobs.
};

/** A service of a route with its share of the requests. */
struct service_share {
  service_id service;
  unsigned weight = 1;  ///< Relative to the route's other services.
};

/** A route, selected by host name and longest path prefix. */
struct route_rule {
  route_id id;
  std::string host;    ///< Host name that callers use.
  std::string prefix;  ///< Path prefix; begins and ends with '/'.
  request_kind kind = request_kind::kStream;   ///< Determines retries.
  std::chrono::milliseconds answer_timeout{};  ///< Answer timeout; 0: none.
  std::chrono::milliseconds objective{};       ///< Latency objective.
  /** Longest gap between events that meets the objective. */
  std::chrono::milliseconds event_gap_objective{};
  std::chrono::milliseconds completion_objective{};  ///< Of a batch job.
  std::chrono::milliseconds retention{};  ///< Items may be abandoned after it.
  unsigned priority = 0;                  ///< 0 is the highest.
  unsigned max_attempts = 1;  ///< Servers that one request may be sent to.
  /** Most tokens of a workspace's accepted batch items that may wait; 0: no
   * limit. */
  std::uint64_t waiting_tokens_limit = 0;
  bool open = false;       ///< Requests need no key.
  bool resumable = false;  ///< A stream may continue at another server.
  std::vector<service_share> services;  ///< Targets with weights.
  /** Regions that may serve and store its requests; empty: all. */
  std::set<region_id> regions;
};

/** A service. */
struct service_rule {
  service_id id;
  /** Connections to each server, from all callers; 0: unlimited. */
  unsigned max_connections = 0;
  unsigned slots = 0;  ///< Concurrent requests of each server; 0: unknown.
  /** Requests a second that a cold server can handle; 0: not declared, and cold
   * servers are treated like others. */
  double cold_starts_per_s = 0;
};

/** A workspace. */
struct workspace_rule {
  workspace_id id;
  std::vector<std::string> hashes;  ///< SHA-256 of each of its keys, hex.
  double rate_per_s = 0;            ///< Requests per second; 0: unlimited.
  double burst = 0;                 ///< Size of a burst in requests.
  /** Regions that may serve and store its requests; empty: all. */
  std::set<region_id> regions;
};

/** Limits on callers' requests. */
struct caller_limits {
  std::size_t header_bytes = 16UL << 10;  ///< Maximum size of a request's head.
  std::size_t body_bytes = 4UL << 20;     ///< Maximum size of a request's body.
  std::chrono::milliseconds header_timeout{5000};  ///< To receive the head.
  std::chrono::milliseconds idle_timeout{60000};   ///< Between requests.
};

/** What a deployment has asked for beyond what all have. */
struct deployment_features {
  /** Batch jobs are held only in the regions that they are bound to. */
  bool regional_jobs = false;
  /** Placement learns how fast each server is. */
  bool learns_speed = false;
};

/** A complete declared state. */
struct deployment {
  state_version version;                   ///< A larger version is newer.
  std::vector<route_rule> routes;          ///< Any order.
  std::vector<service_rule> services;      ///< Any order.
  std::vector<workspace_rule> workspaces;  ///< Empty if requests carry no keys.
  bool has_workspaces = false;  ///< Requests need a key of a workspace.
  caller_limits limits;         ///< Limits for all callers.
};

/** A registered backend server. */
struct registered_server {
  /** Identifier of this process of the server; changes with each start. */
  server_id id;
  service_id service;          ///< Service that it runs.
  std::string address;         ///< "ip:port".
  data_centre_id data_centre;  ///< Data centre of the server.
  unsigned slots = 1;       ///< Number of requests that it runs concurrently.
  bool leaving = false;     ///< Draining: gets no new requests.
  std::uint64_t start = 0;  ///< Start time in Unix ms; 0 if unknown.
  /** When it is warm. Registrations state a remaining time as of their writing,
   * so this is counted from the arrival of one; see ColdEnd(). */
  time_point cold_until;

  auto operator==(const registered_server&) const -> bool = default;
};

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_TYPE_H_
