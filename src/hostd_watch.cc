#include "src/hostd_watch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/hostd_placement.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Name of the group that all hosts join. */
constexpr std::string_view kGroup = "dogwood-hosts";
/** Time that the store holds a read until a record arrives. A connection counts
 * as dead if a read takes kReadSlack longer; longer waits would delay that
 * detection. */
constexpr milliseconds kReadWait{1000};
constexpr milliseconds kReadSlack{500};
constexpr milliseconds kCallTimeout{1000};
/** Backoff after a failed call. */
constexpr milliseconds kCallBackoff{150};
/** Interval between reads: registrations arrive several times a second and are
 * processed in batches. */
constexpr milliseconds kServerReadInterval{250};
constexpr milliseconds kStateReadInterval{40};
/** Renewals of a membership within its lifetime. */
constexpr int kRenewalsPerTtl = 3;
/** Grace period of registrations that lapsed during an outage of the store:
 * they are back within two seconds of its return (the platform's pages,
 * "Service discovery"). */
constexpr milliseconds kRegistrationGrace{2300};
/** Interval of queries to peers while the store does not answer. */
constexpr milliseconds kPeerQueryInterval{300};
/** Time without an answer after which the store counts as lost. */
constexpr milliseconds kStoreLostTimeout{900};
constexpr milliseconds kPeerTimeout{400};
/** Maximum age, since its confirmation by the store, of a peer's view that
 * counts as current. */
constexpr milliseconds kMaxViewAge{2500};

/** Returns `d` in microseconds, 0 if it is negative. */
auto Micros(duration d) -> std::uint64_t {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(d).count()));
}

/** Records whether the store answered a call, and logs the loss and return of
 * the store. */
auto RecordStoreCall(host_state& host, bool answered, const std::string& why)
    -> void {
  const auto now = clock::now();
  auto& store = host.store;
  if (answered) {
    if (store.is_lost) {
      store.is_lost = false;
      Log(log_level::kInfo, log_category::kConfig,
          {"store is reachable again", "call store", "store"});
    }
    store.last_success = now;
    return;
  }
  store.last_failure = now;
  store.unreliable_until = now + kRegistrationGrace;
  if (!store.is_lost && now - store.last_success > kStoreLostTimeout) {
    store.is_lost = true;
    Log(log_level::kWarning, log_category::kConfig,
        {"store does not answer: " + why, "call store", "store"});
  }
}

/** Records the outcome of a store call. */
template <typename T>
auto RecordCall(host_state& host, const outcome<T>& call) -> void {
  RecordStoreCall(host, call.has_value(),
                  call ? std::string() : call.error().message);
}

/** Applies a declared state if it is newer than the current one. */
auto ApplyState(host_state& host, const std::string& text) -> void {
  auto decoded = adapter::DecodeState(text);
  if (!decoded) {
    Log(log_level::kError, log_category::kConfig,
        {decoded.error().message, decoded.error().step, "store"});
    return;
  }
  const auto version = decoded->version;
  if (host.deployment != nullptr &&
      version <= host.deployment->state().version) {
    return;
  }
  LogEvent(log_level::kInfo, log_category::kConfig, "state_applied",
           {{"state_version", version.value},
            {"routes", decoded->routes.size()},
            {"services", decoded->services.size()},
            {"workspaces", decoded->workspaces.size()}});
  std::erase_if(host.history, [&decoded](const auto& entry) {
    return std::ranges::find(decoded->routes, entry.first, &route_rule::id) ==
           decoded->routes.end();
  });
  host.deployment =
      std::make_shared<const deployment_index>(std::move(decoded.value()));
  host.state_text = text;
  host.batch->StateChanged();
  host.readiness_changed.Notify();
}

/** Applies registrations to the host's state. Removals during an outage of the
 * store are deferred, since the registrations may only have lapsed. */
class registration_table {
 public:
  explicit registration_table(host_state& host) : host_(host) {}

  /** Applies one registration, or its removal. */
  auto Apply(const keyed_record& record) -> void {
    if (!record.value) {
      Remove(record.key);
      return;
    }
    host_.registrations[record.key] = *record.value;
    lapsed_.erase(record.key);
    auto server = adapter::DecodeServer(record.key, *record.value);
    if (!server) {
      Log(log_level::kDebug, log_category::kConfig,
          {server.error().message, server.error().step, server.error().peer});
      host_.servers.erase(server_id(record.key));
      return;
    }
    const auto found = host_.servers.find(server->id);
    if (found == host_.servers.end() ||
        found->second.leaving != server->leaving) {
      LogEvent(log_level::kInfo, log_category::kConfig, "server_listed",
               {{"server", record.key},
                {"address", server->address},
                {"leaving", server->leaving}});
    }
    host_.servers[server->id] = std::move(server.value());
  }

  /** Removes the registrations that are absent from `snapshot`. */
  auto RemoveAbsent(const store_snapshot& snapshot) -> void {
    std::set<std::string> present;
    for (const auto& record : snapshot.records) {
      present.insert(record.key);
    }
    std::vector<std::string> absent;
    for (const auto& [id, text] : host_.registrations) {
      if (!present.contains(id)) {
        absent.push_back(id);
      }
    }
    for (const auto& id : absent) {
      Remove(id);
    }
  }

  /** Drops lapsed registrations that were not renewed in time. */
  auto Expire(time_point now) -> void {
    for (auto it = lapsed_.begin(); it != lapsed_.end();) {
      // The grace period starts at the store's return.
      if (now >= it->second && now >= host_.store.unreliable_until) {
        Drop(it->first);
        it = lapsed_.erase(it);
      } else {
        ++it;
      }
    }
  }

 private:
  auto Remove(const std::string& id) -> void {
    const auto now = clock::now();
    if (now < host_.store.unreliable_until) {
      lapsed_.try_emplace(id, now);
      return;
    }
    Drop(id);
  }

  auto Drop(const std::string& id) -> void {
    host_.registrations.erase(id);
    if (host_.servers.erase(server_id(id)) > 0) {
      LogEvent(log_level::kInfo, log_category::kConfig, "server_gone",
               {{"server", id}});
    }
  }

  host_state& host_;
  std::map<std::string, time_point> lapsed_;
};

/** Reads the newest record of each key; retries until the store answers. */
auto ReadNewest(host_state& host,
                adapter::store_client& client,
                const log_partition& where) -> asio::awaitable<store_snapshot> {
  while (true) {
    auto snapshot = co_await client.Newest(where, clock::now() + kCallTimeout);
    RecordCall(host, snapshot);
    if (snapshot) {
      co_return std::move(snapshot.value());
    }
    co_await Sleep(kCallBackoff);
  }
}

/** Reads the next records. Returns nullopt if the topic must be read anew
 * because records were deleted. */
auto ReadNext(host_state& host,
              adapter::store_client& client,
              const log_partition& where,
              log_offset& next) -> asio::awaitable<std::optional<store_page>> {
  auto page = co_await client.Read(where, next, kReadWait,
                                   clock::now() + kReadWait + kReadSlack);
  RecordCall(host, page);
  if (!page) {
    co_await Sleep(kCallBackoff);
    co_return store_page{};
  }
  if (page->first > next) {
    co_return std::nullopt;
  }
  next.value += page->records.size();
  co_return std::move(page.value());
}

/** Follows the operator's declared state. */
auto FollowState(host_state& host) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store);
  const auto where = adapter::StatePartition();
  const auto apply = [&host](const keyed_record& record) {
    if (record.key == adapter::StateKey() && record.value) {
      ApplyState(host, *record.value);
    }
  };
  while (true) {
    auto snapshot = co_await ReadNewest(host, client, where);
    std::ranges::for_each(snapshot.records, apply);
    auto next = snapshot.end;
    while (true) {
      const auto page = co_await ReadNext(host, client, where, next);
      if (!page) {
        break;
      }
      // Only the newest state counts; decoding every state of a burst of
      // updates would cost time.
      std::optional<keyed_record> newest;
      for (const auto& record : page->records) {
        auto keyed = adapter::SplitKeyedRecord(record);
        if (keyed && keyed->key == adapter::StateKey()) {
          newest = std::move(keyed);
        }
      }
      if (newest) {
        apply(*newest);
        co_await Sleep(kStateReadInterval);
      }
    }
  }
}

/** Follows the registrations of the servers. */
auto FollowServers(host_state& host) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store);
  const auto where = adapter::ServerPartition();
  registration_table table(host);
  while (true) {
    auto snapshot = co_await ReadNewest(host, client, where);
    for (const auto& record : snapshot.records) {
      table.Apply(record);
    }
    table.RemoveAbsent(snapshot);
    host.servers_known = true;
    host.placement->ServersChanged();
    host.readiness_changed.Notify();
    auto next = snapshot.end;
    while (true) {
      const auto page = co_await ReadNext(host, client, where, next);
      if (!page) {
        break;
      }
      for (const auto& record : page->records) {
        if (const auto keyed = adapter::SplitKeyedRecord(record)) {
          table.Apply(*keyed);
        }
      }
      table.Expire(clock::now());
      host.placement->ServersChanged();
      co_await Sleep(kServerReadInterval);
    }
  }
}

/** Applies a view of the members. */
auto ApplyView(host_state& host, fleet_view view) -> void {
  LogEvent(log_level::kInfo, log_category::kMember, "members_changed",
           {{"generation", view.generation}, {"members", view.members.size()}});
  host.view = std::move(view);
  std::set<partition_id> owned;
  for (std::uint32_t i = 0; i < host.view.owners.size(); ++i) {
    const auto* owner = host.view.OwnerOf(partition_id(i));
    if (owner != nullptr && owner->name == host.self.name && !host.draining) {
      owned.insert(partition_id(i));
    }
  }
  host.owned = std::move(owned);
  host.placement->ViewChanged();
  host.batch->OwnershipChanged();
}

/** Renews the membership of this host and refreshes the view. */
auto MaintainMembership(host_state& host) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store);
  const group_member self{std::string(kGroup), host.self.name};
  const auto topics = GroupTopics();
  std::uint64_t generation = 0;
  while (!host.draining) {
    const auto sent = clock::now();
    auto share = co_await client.Join(self, topics, host.options.member_life,
                                      generation, sent + kCallTimeout);
    RecordCall(host, share);
    if (!share) {
      co_await Sleep(kCallBackoff);
      continue;
    }
    host.member_until = sent + host.options.member_life;
    generation = share->generation;
    if (generation != host.view.generation) {
      auto owners = co_await client.Owners(std::string(kGroup),
                                           clock::now() + kCallTimeout);
      RecordCall(host, owners);
      if (!owners) {
        Log(log_level::kWarning, log_category::kMember,
            {owners.error().message, owners.error().step, "store"});
        co_await Sleep(kCallBackoff);
        continue;
      }
      ApplyView(host, BuildView(generation, owners.value(),
                                host.options.partitions_per_topic));
    }
    host.view_confirmed = clock::now();
    co_await Sleep(host.options.member_life / kRenewalsPerTtl);
  }
}

/** Returns the link addresses of configured peers and members, without this
 * host. */
auto PeerAddresses(const host_state& host) -> std::vector<std::string> {
  std::vector<std::string> addresses = host.options.peers;
  for (const auto& member : host.view.members) {
    if (member.name != host.self.name) {
      addresses.push_back(host.LinkAddressOf(member));
    }
  }
  std::erase(addresses, FormatEndpoint(host.options.link));
  return addresses;
}

/** Applies the declared state, registrations and view of a peer. */
auto ApplyPeerView(host_state& host, const wire::view_replyT& reply) -> void {
  if (!reply.state.empty()) {
    ApplyState(host, reply.state);
  }
  if (Micros(kMaxViewAge) < reply.view_age_us) {
    return;
  }
  std::set<std::string> present;
  for (const auto& entry : reply.servers) {
    const auto end = entry.find('\n');
    const auto id = entry.substr(0, end);
    present.insert(id);
    host.registrations[id] = entry.substr(end + 1);
    if (auto server = adapter::DecodeServer(id, host.registrations[id])) {
      host.servers[server->id] = std::move(server.value());
    }
  }
  if (!present.empty()) {
    std::erase_if(host.registrations, [&present](const auto& entry) {
      return !present.contains(entry.first);
    });
    std::erase_if(host.servers, [&present](const auto& entry) {
      return !present.contains(entry.first.value);
    });
    host.servers_known = true;
    host.placement->ServersChanged();
    host.readiness_changed.Notify();
  }
  if (reply.generation > host.view.generation) {
    fleet_view view;
    view.generation = reply.generation;
    view.owners = reply.owners;
    for (const auto& name : reply.members) {
      if (auto member = ParseMember(name)) {
        view.members.push_back(std::move(*member));
      }
    }
    // The owners are indexes into the members: without an unreadable name they
    // would refer to the wrong members.
    if (view.members.size() == reply.members.size()) {
      ApplyView(host, std::move(view));
    }
  }
}

/** Queries peers while the store does not answer. */
auto QueryPeers(host_state& host) -> asio::awaitable<void> {
  while (true) {
    co_await Sleep(kPeerQueryInterval);
    const auto now = clock::now();
    // A draining host has left the group, so it learns the members only from
    // peers.
    if (!host.draining && now - host.store.last_success < kStoreLostTimeout &&
        now - host.view_confirmed < host.options.member_life) {
      continue;
    }
    const auto addresses = PeerAddresses(host);
    if (addresses.empty()) {
      continue;
    }
    const auto& address = addresses[host.random() % addresses.size()];
    const auto link = host.links.Get(address);
    if (link == nullptr) {
      continue;
    }
    wire::view_requestT request;
    request.state_version =
        host.deployment == nullptr ? 0 : host.deployment->state().version.value;
    auto message = MakeMessage(request);
    auto reply = co_await link->Call(std::move(message), now + kPeerTimeout);
    const auto* view = reply ? reply->Asview_reply() : nullptr;
    if (view == nullptr) {
      Log(log_level::kDebug, log_category::kMember,
          {reply ? "unexpected answer" : reply.error().message, "ask peer",
           address});
      continue;
    }
    ApplyPeerView(host, *view);
  }
}

}  // namespace

auto StartWatching(host_state& host) -> void {
  asio::co_spawn(host.io, FollowState(host), AbortOnException);
  asio::co_spawn(host.io, FollowServers(host), AbortOnException);
  asio::co_spawn(host.io, MaintainMembership(host), AbortOnException);
  asio::co_spawn(host.io, QueryPeers(host), AbortOnException);
}

auto PruneLinks(host_state& host) -> void {
  const auto addresses = PeerAddresses(host);
  host.links.Keep({addresses.begin(), addresses.end()});
}

auto LeaveFleet(host_state& host) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store);
  const group_member self{std::string(kGroup), host.self.name};
  auto result = co_await client.Leave(self, clock::now() + kCallTimeout);
  if (!result) {
    Log(log_level::kWarning, log_category::kMember,
        {"cannot leave the group; the membership will expire: " +
             result.error().message,
         result.error().step, "store"});
  }
}

auto AnswerView(const host_state& host, const wire::view_requestT& request)
    -> wire::view_replyT {
  wire::view_replyT reply;
  reply.generation = host.view.generation;
  reply.owners = host.view.owners;
  reply.view_age_us = Micros(clock::now() - host.view_confirmed);
  for (const auto& member : host.view.members) {
    reply.members.push_back(member.name);
  }
  for (const auto& [id, text] : host.registrations) {
    reply.servers.push_back(id + "\n" + text);
  }
  reply.has_state = host.deployment != nullptr;
  if (reply.has_state &&
      host.deployment->state().version.value > request.state_version) {
    reply.state = host.state_text;
  }
  return reply;
}

}  // namespace dogwood
