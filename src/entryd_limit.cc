#include "src/entryd_limit.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "src/entryd_base.h"

namespace dogwood {
namespace asio = boost::asio;
using std::chrono::microseconds;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** A grant request that has not been answered by then counts as lost and is
 * sent again. */
constexpr std::chrono::milliseconds kGrantRequestTimeout{300};
/** Interval of the loop while callers' requests wait for tokens. */
constexpr std::chrono::milliseconds kWaitingInterval{5};
/** Stands for this host in place of an address. */
const std::string kSelf;
/** Interval at which all configured limits are checked for ownership; limits
 * that this host already owns are checked in each iteration of the loop. */
constexpr std::chrono::seconds kOwnershipInterval{1};
constexpr std::string_view kWorkspaces = "/workspaces";
constexpr std::string_view kRoutes = "/routes";
/** Interval at which a request that waits for an owner checks whether one has
 * started to act. */
constexpr std::chrono::milliseconds kOwnerCheckInterval{50};
/** Retry delay that a host which is not owner returns to the requester. */
constexpr std::chrono::milliseconds kNotOwnerRetryDelay{200};

/** Returns the names of all limits: workspaces, and routes for callers without
 * a key. */
auto LimitNames(const config_tree& tree) -> std::vector<workspace_id> {
  std::vector<workspace_id> limits;
  for (const auto& path : tree.DescendantPaths(kWorkspaces)) {
    const auto name = path.substr(kWorkspaces.size() + 1);
    if (name.find('/') == std::string::npos) {
      limits.push_back(workspace_id(name));
    }
  }
  for (const auto& path : tree.DescendantPaths(kRoutes)) {
    limits.push_back(workspace_id(path));
  }
  return limits;
}

/** Converts `d` to microseconds, rounded down; negative durations give 0. */
auto Microseconds(duration d) -> std::uint64_t {
  const auto count = std::chrono::duration_cast<microseconds>(d).count();
  return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

/** Converts a request for tokens to its wire message. */
auto ToWire(const token_request& demand) -> std::unique_ptr<wire::grant_askT> {
  auto message = std::make_unique<wire::grant_askT>();
  message->workspace = demand.workspace.value;
  message->tokens = demand.tokens;
  for (const auto& report : demand.reports) {
    auto r = std::make_unique<wire::lot_reportT>();
    r->lot = report.grant.value;
    r->used = report.used;
    r->returned = report.returned;
    message->reports.push_back(std::move(r));
  }
  return message;
}

}  // namespace

auto RateOf(const config_tree& tree, const workspace_id& limit)
    -> std::optional<limit_rate> {
  const auto path =
      limit.value.starts_with('/') ? limit.value : "/workspaces/" + limit.value;
  constexpr double kUnset = -1;
  limit_rate rate;
  rate.per_s = tree.LookupNumber(path, "rate_per_s", kUnset);
  if (rate.per_s < 0) {
    return std::nullopt;
  }
  rate.burst = tree.LookupNumber(path, "burst", std::max(1.0, rate.per_s));
  return rate;
}

grant_exchange::grant_exchange(entry_state& state)
    : state_(state), strand_(asio::make_strand(state.io)), timer_(strand_) {}

auto grant_exchange::Admit(workspace_id limit)
    -> asio::awaitable<outcome<void>> {
  const auto rate = state_.replica.Read(
      [&](const config_tree& tree) { return RateOf(tree, limit); });
  auto now = clock::now();
  if (!rate || state_.shares.Admit(limit, *rate, now)) {
    co_return outcome<void>();
  }
  const auto start = now;
  const auto deadline = now + state_.options.limit_wait_timeout;
  const auto owner_deadline =
      std::max(deadline, now + state_.options.owner_wait_timeout);
  WakeLoop();
  while (now < deadline ||
         (now < owner_deadline && !HasOwnerAnsweredSince(limit, start))) {
    const auto until =
        now < deadline ? deadline
                       : std::min(owner_deadline, now + kOwnerCheckInterval);
    auto executor = co_await asio::this_coro::executor;
    auto timer = std::make_shared<asio::steady_timer>(executor, until);
    // Added before the check, so that a grant that arrives between the check
    // and the wait still wakes this request.
    AddWaiter(limit, timer);
    if (state_.shares.AdmitWaiting(limit, *rate, now)) {
      RemoveWaiter(limit, timer);
      co_return outcome<void>();
    }
    co_await timer->async_wait(kAwait);
    RemoveWaiter(limit, timer);
    now = clock::now();
  }
  if (state_.shares.AdmitWaiting(limit, *rate, now)) {
    co_return outcome<void>();
  }
  state_.shares.StopWaiting(limit);
  co_return failure{.code = error_code::kTooManyRequests,
                    .message = "no token of the workspace's limit came in time",
                    .ran = ran_state::kNo,
                    .step = "admit",
                    .peer = ""};
}

auto grant_exchange::HasOwnerAnsweredSince(const workspace_id& limit,
                                           time_point start) -> bool {
  const std::lock_guard lock(mutex_);
  const auto found = owner_answered_at_.find(limit);
  return found != owner_answered_at_.end() && found->second >= start;
}

auto grant_exchange::AddWaiter(const workspace_id& limit, shared_timer timer)
    -> void {
  const std::lock_guard lock(mutex_);
  waiters_[limit].push_back(std::move(timer));
}

auto grant_exchange::RemoveWaiter(const workspace_id& limit,
                                  const shared_timer& timer) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = waiters_.find(limit);
  if (found == waiters_.end()) {
    return;
  }
  std::erase(found->second, timer);
  if (found->second.empty()) {
    waiters_.erase(found);
  }
}

auto grant_exchange::WakeWaiters(const workspace_id& limit) -> void {
  std::vector<shared_timer> timers;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiters_.find(limit);
    if (found == waiters_.end()) {
      return;
    }
    timers = std::move(found->second);
    waiters_.erase(found);
  }
  for (auto& timer : timers) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

auto grant_exchange::WakeLoop() -> void {
  asio::post(strand_, [this] { timer_.cancel(); });
}

auto grant_exchange::Start() -> void {
  asio::co_spawn(strand_, Run(), AbortOnException);
}

auto grant_exchange::Run() -> asio::awaitable<void> {
  auto ownerships_due = clock::now();
  while (true) {
    bool is_waiting = false;
    {
      const std::lock_guard lock(mutex_);
      is_waiting = !waiters_.empty();
    }
    const duration interval =
        is_waiting ? std::min<duration>(kWaitingInterval,
                                        state_.options.grant_request_interval)
                   : state_.options.grant_request_interval;
    timer_.expires_after(interval);
    co_await timer_.async_wait(kAwait);
    const auto now = clock::now();
    const bool all = now >= ownerships_due;
    RefreshOwnerships(now, all);
    if (all) {
      ownerships_due = now + kOwnershipInterval;
    }
    SendDueRequests();
  }
}

auto grant_exchange::SendDueRequests() -> void {
  const auto now = clock::now();
  const auto hosts = state_.replica.Read([](const config_tree& tree) {
    const auto members = tree.Members();
    return std::ranges::count(members, member_state::kLive, &member::state);
  });
  state_.shares.SetHostCount(static_cast<std::size_t>(hosts));
  std::map<std::string, wire::grant_requestT> requests;
  for (const auto& demand :
       state_.shares.DueRequests(now, now + kGrantRequestTimeout)) {
    const auto owner =
        state_.replica.OwnerHost(owned_kind::kLimit, demand.workspace.value);
    if (!owner) {
      continue;
    }
    const bool is_self = owner->host == state_.options.host;
    const auto address = is_self ? kSelf : owner->entry_link;
    auto& request = requests[granters_.Choose(demand.workspace, address, now)];
    request.host = state_.options.host.value;
    request.asks.push_back(ToWire(demand));
  }
  for (auto& [address, request] : requests) {
    if (address == kSelf) {
      HandleReply(HandleRequest(request), address, now);
      continue;
    }
    asio::co_spawn(strand_, RequestGrants(address, std::move(request)),
                   LogException);
  }
}

auto grant_exchange::RequestGrants(std::string address,
                                   wire::grant_requestT request)
    -> asio::awaitable<void> {
  auto link = state_.links.Get(address);
  if (!link) {
    co_return;
  }
  const auto sent = clock::now();
  auto message = MakeMessage(std::move(request));
  auto answer =
      co_await link->Call(std::move(message), sent + kGrantRequestTimeout);
  if (!answer) {
    const auto& error = answer.error();
    Log(log_level::kDebug, log_category::kLimit,
        {error.message, "ask for grants", error.peer});
    co_return;
  }
  const auto* reply = answer->Asgrant_reply();
  if (reply != nullptr) {
    HandleReply(*reply, address, sent);
  }
}

auto grant_exchange::HandleReply(const wire::grant_replyT& reply,
                                 const std::string& granter,
                                 time_point sent) -> void {
  bool request_again = false;
  for (const auto& given : reply.grants) {
    const workspace_id limit(given->workspace);
    token_grant grant;
    grant.id = grant_id(given->lot);
    grant.tokens = given->tokens;
    grant.ttl = microseconds(given->life_us);
    grant.retry_after = microseconds(given->retry_after_us);
    if (grant.ttl == duration::zero()) {
      // The granter does not act as owner yet; the former owner may still do.
      const bool other = granters_.RecordRefusal(limit, granter, clock::now());
      grant.retry_after = other ? duration::zero() : grant.retry_after;
      request_again = request_again || other;
    } else {
      granters_.RecordGrant(limit, granter);
      const std::lock_guard lock(mutex_);
      owner_answered_at_[limit] = clock::now();
    }
    state_.shares.ApplyGrant(limit, grant, sent);
    if (grant.tokens > 0) {
      WakeWaiters(limit);
      request_again = true;
    }
  }
  if (request_again) {
    WakeLoop();
  }
}

auto grant_exchange::OwnerSince(const workspace_id& limit, time_point now)
    -> std::optional<time_point> {
  const auto fresh_until = state_.replica.FreshUntil();
  const bool is_owner =
      state_.replica.IsOwner(owned_kind::kLimit, limit.value, now);
  const std::lock_guard lock(mutex_);
  return owned_.UpdateOwnership(limit, is_owner, fresh_until, now);
}

auto grant_exchange::RefreshOwnerships(time_point now, bool all) -> void {
  std::vector<workspace_id> limits;
  if (all) {
    limits = state_.replica.Read(LimitNames);
    state_.owned_limits.EvictFull(now);
  } else {
    const std::lock_guard lock(mutex_);
    limits = owned_.Limits();
  }
  for (const auto& limit : limits) {
    OwnerSince(limit, now);
  }
}

auto grant_exchange::HandleRequest(const wire::grant_requestT& request)
    -> wire::grant_replyT {
  wire::grant_replyT reply;
  const auto now = clock::now();
  for (const auto& demand : request.asks) {
    const workspace_id limit(demand->workspace);
    const auto rate = state_.replica.Read(
        [&](const config_tree& tree) { return RateOf(tree, limit); });
    const auto owner_since = OwnerSince(limit, now);
    // Before its first grant is due, a new owner answers as if it did not act
    // yet: that it has no tokens then does not mean the limit is reached.
    const auto acting_since =
        owner_since && now >= state_.owned_limits.FirstGrantAt(*owner_since)
            ? owner_since
            : std::nullopt;
    token_grant grant;
    if (acting_since && rate) {
      std::vector<grant_report> reports;
      for (const auto& report : demand->reports) {
        reports.push_back(
            {grant_id(report->lot), report->used, report->returned});
      }
      grant = state_.owned_limits.Grant(limit, *rate, demand->tokens, reports,
                                        *acting_since, now);
    } else if (acting_since) {
      // The rate was removed; hosts stop requesting tokens once they apply
      // that change.
      grant.ttl = state_.options.grant_ttl;
      grant.retry_after = kNotOwnerRetryDelay;
    } else {
      grant.retry_after = kNotOwnerRetryDelay;
    }
    auto given = std::make_unique<wire::grant_givenT>();
    given->workspace = limit.value;
    given->lot = grant.id.value;
    given->tokens = grant.tokens;
    given->life_us = Microseconds(grant.ttl);
    given->retry_after_us = Microseconds(grant.retry_after);
    reply.grants.push_back(std::move(given));
  }
  return reply;
}

}  // namespace dogwood
