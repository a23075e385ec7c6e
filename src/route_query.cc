#include <algorithm>
#include <array>
#include <utility>

#include "src/error_func.h"
#include "src/route_base.h"
#include "src/text_func.h"

namespace dogwood {
namespace {

/** Number of tiers by distance: data centre, region, elsewhere. */
constexpr std::size_t kTierCount = 3;

/** Combines two hashes so that every bit depends on both. */
auto MixHashes(std::uint64_t a, std::uint64_t b) -> std::uint64_t {
  // The finalizer of splitmix64.
  auto hash = a + 0x9e3779b97f4a7c15 * (b | 1);
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

/** Whether `info` offers what `request` needs. */
auto Offers(const backend_server& info, const route_request& request) -> bool {
  const auto& names =
      request.kind == offer_kind::kModel ? info.models : info.services;
  return std::ranges::find(names, request.name) != names.end();
}

auto Contains(const std::vector<server_id>& ids, const server_id& id) -> bool {
  return std::ranges::find(ids, id) != ids.end();
}

/** Returns the least load among the candidates, of which there is at least one.
 */
auto LeastLoad(std::span<const route_candidate> candidates) -> std::uint32_t {
  return std::ranges::min(candidates, {}, &route_candidate::load).load;
}

}  // namespace

auto PrefixHash(std::string_view prompt, std::size_t bytes) -> std::uint64_t {
  return StableHash(prompt.substr(0, bytes));
}

auto affinity_policy::Pick(std::span<const route_candidate> candidates,
                           std::uint64_t /*turn*/) const -> std::size_t {
  const std::uint64_t bound = std::uint64_t{LeastLoad(candidates)} + slack;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].load > bound) {
      continue;
    }
    if (!best || candidates[i].rank > candidates[*best].rank) {
      best = i;
    }
  }
  return best.value_or(0);
}

auto round_robin_policy::Pick(std::span<const route_candidate> candidates,
                              std::uint64_t turn) const -> std::size_t {
  return turn % candidates.size();
}

auto least_connections_policy::Pick(std::span<const route_candidate> candidates,
                                    std::uint64_t turn) const -> std::size_t {
  // Ties are broken round-robin, so that idle servers are used evenly.
  std::size_t best = turn % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].in_flight < candidates[best].in_flight) {
      best = i;
    }
  }
  return best;
}

auto MakeRoutePolicy(std::string_view name, std::uint32_t slack)
    -> any_route_policy {
  if (name == "round_robin") {
    return round_robin_policy{};
  }
  if (name == "least_connections") {
    return least_connections_policy{};
  }
  return affinity_policy{slack};
}

auto server_table::TierOf(const row& r) const -> std::size_t {
  if (r.info.region != place_.region) {
    return 2;
  }
  return r.info.data_centre == place_.data_centre ? 0 : 1;
}

auto server_table::LoadOf(const row& r, time_point now) const -> std::uint32_t {
  return r.in_flight + (now < r.external_until ? r.external : 0);
}

auto server_table::PickFrom(const server_tier& from) const -> const row* {
  const auto pick = [&](const auto& policy) {
    return policy.Pick(from.candidates, turn_);
  };
  return from.rows[std::visit(pick, policy_)];
}

auto server_table::Choose(const route_request& request, time_point now) const
    -> result<const row*> {
  std::array<server_tier, kTierCount> with_free_slot;
  std::array<server_tier, kTierCount> full;
  server_tier last_resort;
  bool offered = false;
  for (const auto& [id, r] : rows_) {
    if (!r.listed || !Offers(r.info, request)) {
      continue;
    }
    offered = true;
    const bool draining = r.info.draining || draining_.contains(id);
    if (r.info.leaving || draining || Contains(request.excluded, id)) {
      continue;
    }
    const auto load = LoadOf(r, now);
    auto& tiers = load < r.info.slots ? with_free_slot : full;
    const bool avoided = now < r.backs_off_until || Contains(request.tried, id);
    auto& into = avoided ? last_resort : tiers[TierOf(r)];
    into.rows.push_back(&r);
    into.candidates.push_back(
        {MixHashes(request.prefix_hash, r.id_hash), r.in_flight, load});
  }
  // The nearest server with a free slot is chosen; if none has one, the request
  // queues at the nearest server. Servers in backoff or that have failed this
  // request are the last resort: one of them may have recovered.
  for (const auto* tiers : {&with_free_slot, &full}) {
    for (const auto& t : *tiers) {
      if (!t.rows.empty()) {
        return PickFrom(t);
      }
    }
  }
  if (!last_resort.rows.empty()) {
    return PickFrom(last_resort);
  }
  const std::string kind =
      request.kind == offer_kind::kModel ? "model" : "service";
  return Fail(
      {.code = offered ? error_code::kUnavailable : error_code::kNotFound,
       .message = "no server " +
                  std::string(offered ? "is available for " : "has ") + kind +
                  " \"" + request.name + "\"",
       .ran = ran_state::kNo,
       .step = "choose server",
       .peer = ""});
}

auto server_table::InFlight() const -> std::map<server_id, std::uint32_t> {
  const std::lock_guard lock(mutex_);
  std::map<server_id, std::uint32_t> counts;
  for (const auto& [id, r] : rows_) {
    if (r.in_flight > 0) {
      counts[id] = r.in_flight;
    }
  }
  return counts;
}

auto server_table::InFlightOf(const server_id& server) const -> std::uint32_t {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(server);
  return found == rows_.end() ? 0 : found->second.in_flight;
}

auto server_table::RegionOf(const server_id& server) const -> region_id {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(server);
  return found == rows_.end() ? region_id() : found->second.info.region;
}

auto server_table::Servers() const -> std::vector<backend_server> {
  const std::lock_guard lock(mutex_);
  std::vector<backend_server> servers;
  for (const auto& [id, r] : rows_) {
    if (!r.listed) {
      continue;
    }
    servers.push_back(r.info);
    servers.back().draining = r.info.draining || draining_.contains(id);
  }
  return servers;
}

auto server_table::Models() const -> std::vector<std::string> {
  std::set<std::string> names;
  for (const auto& info : Servers()) {
    if (!info.leaving && !info.draining) {
      names.insert(info.models.begin(), info.models.end());
    }
  }
  return {names.begin(), names.end()};
}

}  // namespace dogwood
