/** Table of the backend servers and the policies that choose among them. */
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

/** Picks one of at least one candidate; `turn` counts the choices so far. */
template <typename P>
concept route_policy = requires(const P& policy,
                                std::span<const route_candidate> candidates,
                                std::uint64_t turn) {
  { policy.Pick(candidates, turn) } -> std::same_as<std::size_t>;
};

/** The best ranked candidate whose load is within `slack` of the least. */
struct affinity_policy {
  std::uint32_t slack = 4;  ///< Requests above the least loaded.
  auto Pick(std::span<const route_candidate> candidates,
            std::uint64_t turn) const -> std::size_t;
};

/** Each candidate in turn (baseline). */
struct round_robin_policy {
  auto Pick(std::span<const route_candidate> candidates,
            std::uint64_t turn) const -> std::size_t;
};

/** The candidate with the fewest own requests (baseline). */
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

/** Policy of the name "affinity", "round_robin" or "least_connections". */
auto MakeRoutePolicy(std::string_view name, std::uint32_t slack)
    -> any_route_policy;

/** Shared table of the backend servers. Thread-safe; after config and limit in
 * lock order.
 *
 * A tier is the host's data centre, its region, or everywhere else. A tier is
 * left for the next one only when each of its usable servers is at or over its
 * slots. */
class server_table {
 public:
  server_table(route_place place, any_route_policy policy, route_limits limits);

  // Commands (route_cmd.cc).

  /** Replaces the list. A server that is gone keeps its count until its last
   * request has ended, but is not chosen. */
  auto SetServers(std::vector<backend_server> servers) -> void;
  /** Replaces the set of servers that the configuration drains. */
  auto SetDraining(std::set<server_id> draining) -> void;
  /** Chooses a server and counts the request as in flight on it. Failures:
   * kNotFound if no listed server offers it, kUnavailable if none may be
   * used; both ran=no. */
  auto Acquire(const route_request& request, time_point now)
      -> result<route_choice>;
  /** Ends a request that Acquire() counted. */
  auto Release(const server_id& server) -> void;
  /** Takes a load report; `own` is the own count when it was asked for. */
  auto RecordLoadReport(const server_id& server,
                        const load_report& report,
                        std::uint32_t own,
                        time_point now) -> void;
  /** Keeps new requests off a server for a while. */
  auto RecordConnectFailure(const server_id& server, time_point now) -> void;

  // Queries (route_query.cc).

  /** Own requests on each server that has any. */
  auto InFlight() const -> std::map<server_id, std::uint32_t>;
  /** Own requests on one server. */
  auto InFlightOf(const server_id& server) const -> std::uint32_t;
  /** Region of a server, empty if it is unknown. */
  auto RegionOf(const server_id& server) const -> region_id;
  /** Listed servers with `draining` as the configuration says. */
  auto Servers() const -> std::vector<backend_server>;
  /** Models of the servers that get new work, in order. */
  auto Models() const -> std::vector<std::string>;

 private:
  struct row {
    backend_server info;          ///< As listed.
    bool listed = false;          ///< In the last list.
    std::uint64_t id_hash = 0;    ///< Hash of the name.
    std::uint32_t in_flight = 0;  ///< Own requests.
    std::uint32_t others = 0;     ///< Requests of others, as reported.
    time_point others_until;      ///< The report is not used from then on.
    time_point backs_off_until;   ///< Not used before then if avoidable.
  };
  using row_map = std::map<server_id, row>;

  /** Usable candidates of one tier. */
  struct tier {
    std::vector<const row*> rows;             ///< Servers.
    std::vector<route_candidate> candidates;  ///< The same as policies see it.
  };

  auto Choose(const route_request& request, time_point now) const
      -> result<const row*>;
  auto PickFrom(const tier& from) const -> const row*;
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
