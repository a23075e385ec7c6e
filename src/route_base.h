/** Table of the backend servers and the load-balancing policies. */
#ifndef SRC_ROUTE_BASE_H_
#define SRC_ROUTE_BASE_H_

#include <concepts>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include "src/error_type.h"
#include "src/route_type.h"

namespace dogwood {

/** Load-balancing policy. Pick() returns the index of one of the candidates, of
 * which there is at least one; `turn` is the number of earlier choices. */
template <typename P>
concept route_policy = requires(const P& policy,
                                std::span<const route_candidate> candidates,
                                std::uint64_t turn) {
  { policy.Pick(candidates, turn) } -> std::same_as<std::size_t>;
};

/** Picks the candidate with the highest rank whose load exceeds the least load
 * by at most `slack`. */
struct affinity_policy {
  std::uint32_t slack = 4;  ///< Requests above the least load.
  auto Pick(std::span<const route_candidate> candidates,
            std::uint64_t turn) const -> std::size_t;
};

/** Picks each candidate in turn (baseline). */
struct round_robin_policy {
  auto Pick(std::span<const route_candidate> candidates,
            std::uint64_t turn) const -> std::size_t;
};

/** Picks the candidate with the fewest own requests (baseline). */
struct least_connections_policy {
  auto Pick(std::span<const route_candidate> candidates,
            std::uint64_t turn) const -> std::size_t;
};

static_assert(route_policy<affinity_policy>);
static_assert(route_policy<round_robin_policy>);
static_assert(route_policy<least_connections_policy>);

/** The policy in use, chosen by a setting. */
using any_route_policy =
    std::variant<affinity_policy, round_robin_policy, least_connections_policy>;

/** Returns the policy named "affinity", "round_robin" or "least_connections";
 * any other name gives affinity. */
auto MakeRoutePolicy(std::string_view name, std::uint32_t slack)
    -> any_route_policy;

/** Table of the backend servers with the requests in flight on them.
 * Thread-safe; after config and limit in lock order.
 *
 * Servers are grouped in tiers: the host's data centre, its region, and
 * everywhere else. Requests spill over to the next tier only when every usable
 * server of a tier is at or over its slots. */
class server_table {
 public:
  server_table(route_place place, any_route_policy policy, route_limits limits);

  // Commands (route_cmd.cc).

  /** Replaces the list. A server that is no longer listed is not chosen any
   * more, but keeps its count until its last request has ended. */
  auto SetServers(std::vector<backend_server> servers) -> void;
  /** Replaces the set of servers that are draining by configuration. */
  auto SetDraining(std::set<server_id> draining) -> void;
  /** Chooses a server and counts the request as in flight on it. Fails with
   * kNotFound if no listed server offers the model or service, and with
   * kUnavailable if none of them may be used; both with ran=no. */
  auto Acquire(const route_request& request, time_point now)
      -> result<route_choice>;
  /** Ends a request that Acquire() counted. */
  auto Release(const server_id& server) -> void;
  /** Records a load report; `own` is the own count when it was requested. */
  auto RecordLoadReport(const server_id& server,
                        const load_report& report,
                        std::uint32_t own,
                        time_point now) -> void;
  /** Puts a server that refused a connection in backoff: other servers are
   * preferred until the backoff ends. */
  auto RecordConnectFailure(const server_id& server, time_point now) -> void;

  // Queries (route_query.cc).

  /** Own requests in flight by server; servers without any are left out. */
  auto InFlight() const -> std::map<server_id, std::uint32_t>;
  /** Own requests in flight on one server. */
  auto InFlightOf(const server_id& server) const -> std::uint32_t;
  /** Region of a server, empty if it is unknown. */
  auto RegionOf(const server_id& server) const -> region_id;
  /** Listed servers; `draining` includes the configured set. */
  auto Servers() const -> std::vector<backend_server>;
  /** Models of the servers that get new requests, sorted by name. */
  auto Models() const -> std::vector<std::string>;

 private:
  struct row {
    backend_server info;          ///< As listed.
    bool listed = false;          ///< Whether it is in the latest list.
    std::uint64_t id_hash = 0;    ///< Hash of the server's name.
    std::uint32_t in_flight = 0;  ///< Own requests.
    std::uint32_t external = 0;   ///< Reported requests that are not own ones.
    time_point external_until;    ///< `others` is valid until then.
    time_point backs_off_until;   ///< Last resort before then.
  };
  using row_map = std::map<server_id, row>;

  /** Usable candidates of one tier. */
  struct server_tier {
    std::vector<const row*> rows;
    std::vector<route_candidate> candidates;  ///< Parallel to `rows`.
  };

  auto Choose(const route_request& request, time_point now) const
      -> result<const row*>;
  auto PickFrom(const server_tier& from) const -> const row*;
  auto LoadOf(const row& r, time_point now) const -> std::uint32_t;
  auto TierOf(const row& r) const -> std::size_t;

  mutable std::mutex mutex_;
  route_place place_;
  any_route_policy policy_;
  route_limits limits_;
  row_map rows_;
  std::set<server_id> draining_;
  std::uint64_t turn_ = 0;
};

}  // namespace dogwood

#endif  // SRC_ROUTE_BASE_H_
