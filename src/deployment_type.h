/** What operators declare of a deployment: routes, services, workspaces and
 * limits, and the backend servers that have registered. */
#ifndef SRC_DEPLOYMENT_TYPE_H_
#define SRC_DEPLOYMENT_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

using service_id = strong<struct service_tag, std::string>;
/** Version of a deployment's declared state; larger is later. */
using state_version = strong<struct state_version_tag, std::uint64_t>;

/** What may be done with a request of a route after a failed attempt. */
enum class request_kind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< May run once at most.
  kStream,         ///< Answers with events; as kNonIdempotent if not resumable.
  kBatch,          ///< Submits batch jobs.
};

/** One service of a route with its share of the requests. */
struct service_share {
  service_id service;   ///< Service.
  unsigned weight = 1;  ///< Share relative to the others of the route.
};

/** One route, chosen by host name and longest path prefix. */
struct route_rule {
  route_id id;                                 ///< Name.
  std::string host;                            ///< Host name that callers use.
  std::string prefix;                          ///< Begins and ends with '/'.
  request_kind kind = request_kind::kStream;   ///< What may be repeated.
  std::chrono::milliseconds answer_timeout{};  ///< Longest time to an answer.
  std::chrono::milliseconds objective{};       ///< Time for the full benefit.
  std::chrono::milliseconds event_gap_objective{};   ///< Longest pause on time.
  std::chrono::milliseconds completion_objective{};  ///< Of a batch job.
  std::chrono::milliseconds retention{};  ///< Items may be abandoned after it.
  unsigned priority = 0;                  ///< 0 is the highest.
  unsigned max_attempts = 1;              ///< Servers that one request may use.
  bool open = false;                      ///< Runs without a key.
  bool resumable = false;                 ///< A stream may go on elsewhere.
  std::vector<service_share> services;    ///< Where requests go.
};

/** One service. */
struct service_rule {
  service_id id;                 ///< Name.
  unsigned max_connections = 0;  ///< Of a server, from all callers; 0: any.
  unsigned slots = 0;  ///< Requests a server runs at once; 0: unknown.
};

/** One workspace. */
struct workspace_rule {
  workspace_id id;                  ///< Name.
  std::vector<std::string> hashes;  ///< SHA-256 of its keys, hex.
  double rate_per_s = 0;            ///< Requests a second; 0: no limit.
  double burst = 0;                 ///< Requests at once.
};

/** Limits on what callers send. */
struct caller_limits {
  std::size_t header_bytes = 16UL << 10;         ///< Longest head.
  std::size_t body_bytes = 4UL << 20;            ///< Longest body.
  std::chrono::milliseconds header_limit{5000};  ///< To send the head.
  std::chrono::milliseconds idle_limit{60000};   ///< Between requests.
};

/** A whole declared state. */
struct deployment {
  state_version version;                   ///< Larger is later.
  std::vector<route_rule> routes;          ///< Any order.
  std::vector<service_rule> services;      ///< Any order.
  std::vector<workspace_rule> workspaces;  ///< Empty: requests carry no keys.
  bool has_workspaces = false;             ///< Keys are checked.
  caller_limits limits;                    ///< For all callers.
};

/** A backend server as it registered itself. */
struct registered_server {
  server_id id;                ///< Name of this start of the server.
  service_id service;          ///< Service that it belongs to.
  std::string address;         ///< "ip:port".
  data_centre_id data_centre;  ///< Where it is.
  unsigned slots = 1;          ///< Requests that it runs at once.
  bool leaving = false;        ///< Gets no new work.
  std::uint64_t start = 0;     ///< Unix ms of its start; 0 if unknown.
};

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_TYPE_H_
