#include "src/hostd_watch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_feed.h"
#include "src/hostd_follow.h"
#include "src/hostd_state.h"

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
/** Longest interval at which a host that gets its data from others looks
 * whether it has to read the store itself. */
constexpr milliseconds kRoleCheckInterval{200};

/** Records whether the store answered a call, and logs the loss and return of
 * the store. */
auto RecordStoreCall(host_state& host, bool answered, const std::string& why)
    -> void {
  const auto now = clock::now();
  auto& store = host.store;
  if (answered) {
    if (store.is_lost) {
      store.is_lost = false;
      store.reachable_since = now;
      Log(log_level::kInfo, log_category::kConfig,
          {"store is reachable again", "call store", "store"});
    }
    store.last_success = now;
    return;
  }
  if (!store.is_lost && now - store.last_success > kStoreLostTimeout) {
    store.is_lost = true;
    Log(log_level::kWarning, log_category::kConfig,
        {"store does not answer: " + why, "call store", "store"});
  }
}

/** Logs a failed read of a log, with the bytes that had come. */
auto LogFailedRead(const log_partition& where, const failure& error) -> void {
  Log(log_level::kInfo, log_category::kConfig,
      {where.topic + ": " + error.message, error.step, "store"});
}

/** Records the outcome of a store call. */
template <typename T>
auto RecordCall(host_state& host, const outcome<T>& call) -> void {
  RecordStoreCall(host, call.has_value(),
                  call ? std::string() : call.error().message);
}

/** Reads the newest record of each key. Returns false if the store does not
 * answer. */
template <log_follower T>
auto ReadSnapshot(host_state& host,
                  adapter::store_client& client,
                  const log_partition& where,
                  T& follower) -> asio::awaitable<bool> {
  auto snapshot = co_await client.Newest(where, kCallTimeout);
  RecordCall(host, snapshot);
  if (!snapshot) {
    LogFailedRead(where, snapshot.error());
    co_return false;
  }
  ApplySnapshot(follower, snapshot.value());
  co_return true;
}

/** Reads the next records. Returns false if the store does not answer. */
template <log_follower T>
auto ReadNext(host_state& host,
              adapter::store_client& client,
              const log_partition& where,
              T& follower) -> asio::awaitable<bool> {
  const auto from = *follower.Position().next;
  auto page = co_await client.Read(where, from, kReadWait,
                                   clock::now() + kReadWait + kReadSlack);
  RecordCall(host, page);
  if (!page) {
    LogFailedRead(where, page.error());
    co_return false;
  }
  if (ApplyPage(follower, from, page.value()) == page_outcome::kDeleted) {
    ++host.feed.lost_positions;
    LogEvent(log_level::kInfo, log_category::kConfig, "position_lost",
             {{"topic", where.topic},
              {"position", from.value},
              {"first", page->first.value}});
  }
  co_return true;
}

/** Follows a keyed topic while this host reads the store itself. */
template <log_follower T>
auto FollowLog(host_state& host,
               log_partition where,
               T follower,
               milliseconds interval) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store,
                               &follower.Position().progress);
  while (true) {
    if (!ReadsStore(host, clock::now())) {
      co_await host.feed_changed.Wait(clock::now() + kRoleCheckInterval);
      continue;
    }
    const auto before = follower.Position().next;
    bool is_read = false;
    if (before) {
      is_read = co_await ReadNext(host, client, where, follower);
    } else {
      is_read = co_await ReadSnapshot(host, client, where, follower);
    }
    if (!is_read) {
      co_await Sleep(kCallBackoff);
    } else if (before && follower.Position().next != before) {
      co_await Sleep(interval);
    }
  }
}

/** Renews the membership of this host and refreshes the view. */
auto MaintainMembership(host_state& host) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store);
  const group_member self{std::string(kGroup), host.self.name};
  const auto topics = GroupTopics();
  owner_reads reads(host.options.member_life);
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
    if (host.view.members.empty() &&
        OwnsShareOfSmallFleet(share->partitions.size(),
                              host.options.partitions_per_topic,
                              host.options.data_centres.size())) {
      host.is_small_fleet = true;
      host.feed_changed.Notify();
    }
    reads.RecordJoin(generation, share->partitions.size(), sent);
    const bool is_overtaken =
        generation < host.view.generation && sent <= host.view_confirmed;
    const auto read_at = clock::now();
    // Hosts with sources get newer views from them.
    const bool reads_owners = host.view.members.empty() ||
                              ReadsStore(host, read_at) ||
                              IsProvisional(host.view, host.self);
    if (!is_overtaken &&
        reads.IsDue(host.view.generation, reads_owners, read_at)) {
      auto owners = co_await client.Owners(std::string(kGroup),
                                           clock::now() + kCallTimeout);
      RecordCall(host, owners);
      if (!owners) {
        Log(log_level::kWarning, log_category::kMember,
            {owners.error().message, owners.error().step, "store"});
        co_await Sleep(kCallBackoff);
        continue;
      }
      auto view = BuildView(generation, owners.value(), host.layout);
      if (view != host.view) {
        ApplyView(host, std::move(view));
      }
      host.view_read = read_at;
    }
    if (generation == host.view.generation) {
      host.view_confirmed = clock::now();
    }
    co_await Sleep(host.options.member_life / kRenewalsPerTtl);
  }
}

}  // namespace

auto StartWatching(host_state& host) -> void {
  asio::co_spawn(host.io,
                 FollowLog(host, adapter::StatePartition(),
                           state_follower(host), kStateReadInterval),
                 AbortOnException);
  asio::co_spawn(host.io,
                 FollowLog(host, adapter::ServerPartition(),
                           server_follower(host), kServerReadInterval),
                 AbortOnException);
  asio::co_spawn(host.io, MaintainMembership(host), AbortOnException);
  asio::co_spawn(host.io, FollowFeed(host), AbortOnException);
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

auto FollowMembersAfterLeaving(host_state& host) -> asio::awaitable<void> {
  adapter::store_client client(host.options.store);
  while (true) {
    if (ReadsStore(host, clock::now())) {
      auto owners = co_await client.Owners(std::string(kGroup),
                                           clock::now() + kCallTimeout);
      RecordCall(host, owners);
      if (owners) {
        // Without a join, the generation of these members is not known.
        auto view =
            BuildView(host.view.generation, owners.value(), host.layout);
        if (!std::ranges::equal(view.members, host.view.members, {},
                                &fleet_member::name, &fleet_member::name)) {
          ApplyView(host, std::move(view));
        }
      }
    }
    co_await Sleep(host.options.member_life / kRenewalsPerTtl);
  }
}

}  // namespace dogwood
