#include "src/batchd_base.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace dogwood {
namespace asio = boost::asio;
namespace {

constexpr std::string_view kRoutePrefix = "route/";
/** Methods that RFC 9110 calls idempotent. */
constexpr std::array<std::string_view, 6> kIdempotentMethods{
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

/** Identity of this process on links. */
auto IdentityOf(const batchd_settings& settings) -> link_identity {
  link_identity self;
  self.host = settings.host.value;
  self.daemon = "batchd";
  self.secret = settings.secret;
  return self;
}

/** Last part of a path. */
auto NameOfPath(const std::string& path) -> std::string {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

auto dispatch_rules::WeightOf(const workspace_id& workspace) const -> double {
  const auto found = weights.find(workspace.value);
  return found == weights.end() ? 1 : found->second;
}

auto dispatch_rules::MayRepeat(const item_request& item) const -> bool {
  if (!item.target.starts_with(kRoutePrefix)) {
    return true;
  }
  const auto found = routes.find(item.target.substr(kRoutePrefix.size()));
  if (found != routes.end() && found->second.idempotent) {
    return *found->second.idempotent;
  }
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   item.method) != kIdempotentMethods.end();
}

auto dispatch_rules::OfferOf(const std::string& target) const -> std::string {
  const auto name = target.substr(target.find('/') + 1);
  if (target.starts_with(kRoutePrefix)) {
    const auto found = routes.find(name);
    const bool known = found != routes.end() && !found->second.service.empty();
    return known ? "service/" + found->second.service : std::string();
  }
  return models.contains(name) ? target : std::string();
}

batchd::batchd(asio::io_context& context, batchd_settings given)
    : io(context),
      settings(std::move(given)),
      start(UnixNow().value),
      self(IdentityOf(settings)),
      replica(settings.host, settings.freshness_limit),
      controld(io, self, settings.controld_link),
      platform(settings.platform),
      peers(io, self),
      runs(settings.admission),
      rules_(std::make_shared<dispatch_rules>()) {
  for (std::uint32_t p = 0; p < settings.partitions; ++p) {
    partitions.push_back(std::make_unique<partition_slot>(
        partition_id(p), settings.host, start, settings.owner));
  }
}

auto batchd::Rules() const -> std::shared_ptr<const dispatch_rules> {
  const std::lock_guard lock(rules_mutex_);
  return rules_;
}

auto batchd::RefreshRules() -> void {
  auto rules = std::make_shared<dispatch_rules>();
  replica.Read([&](const config_tree& tree) {
    for (const auto& path : tree.DescendantPaths("/workspaces")) {
      const auto weight = tree.LookupNumber(path, "weight", 1);
      rules->weights.emplace(NameOfPath(path), weight);
    }
    for (const auto& path : tree.DescendantPaths("/models")) {
      rules->models.emplace(NameOfPath(path), true);
    }
    for (const auto& path : tree.DescendantPaths("/routes")) {
      dispatch_rules::route route;
      route.service = tree.LookupText(path, "service", "");
      const auto idempotent = tree.Lookup(path, "idempotent");
      if (idempotent && idempotent->is_bool()) {
        route.idempotent = idempotent->get_bool();
      }
      rules->routes.emplace(NameOfPath(path), std::move(route));
    }
  });
  const std::lock_guard lock(rules_mutex_);
  rules_ = std::move(rules);
}

auto batchd::Owns(partition_id p, time_point now) const -> bool {
  return replica.IsOwner(owned_kind::kPartition, std::to_string(p.value), now);
}

}  // namespace dogwood
