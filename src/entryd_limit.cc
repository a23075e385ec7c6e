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
/** An ask counts as lost after this; a new one is sent then. */
constexpr std::chrono::milliseconds kAskLimit{300};
/** Period of the loop while requests wait. */
constexpr std::chrono::milliseconds kWaitingTick{5};
/** In place of an address: this host. */
const std::string kSelf;
/** Period of looks at all limits for those that this host owns. */
constexpr std::chrono::seconds kOwnershipPeriod{1};
constexpr std::string_view kWorkspaces = "/workspaces";
constexpr std::string_view kRoutes = "/routes";
/** A request that waits for an owner looks this often whether one acts. */
constexpr std::chrono::milliseconds kOwnerLook{50};
/** A host that is not owner tells the asker to come back after this. */
constexpr std::chrono::milliseconds kNotOwnerRetry{200};

/** Names of all limits: workspaces, and routes for callers without a key. */
auto LimitsOf(const config_tree& tree) -> std::vector<workspace_id> {
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

/** Whole microseconds of `d`. */
auto Microseconds(duration d) -> std::uint64_t {
  const auto count = std::chrono::duration_cast<microseconds>(d).count();
  return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

/** The ask as a message. */
auto ToWire(const token_request& ask) -> std::unique_ptr<wire::grant_askT> {
  auto message = std::make_unique<wire::grant_askT>();
  message->workspace = ask.workspace.value;
  message->tokens = ask.tokens;
  for (const auto& report : ask.reports) {
    auto r = std::make_unique<wire::lot_reportT>();
    r->lot = report.lot.value;
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
  const auto deadline = now + state_.options.limit_wait;
  const auto owner_deadline =
      std::max(deadline, now + state_.options.owner_wait);
  Kick();
  while (now < deadline ||
         (now < owner_deadline && !HasAnsweredSince(limit, start))) {
    const auto until =
        now < deadline ? deadline : std::min(owner_deadline, now + kOwnerLook);
    auto executor = co_await asio::this_coro::executor;
    auto timer = std::make_shared<asio::steady_timer>(executor, until);
    // Enlisted before the check, so that no grant passes unnoticed.
    Enlist(limit, timer);
    if (state_.shares.AdmitWaiting(limit, *rate, now)) {
      Delist(limit, timer);
      co_return outcome<void>();
    }
    co_await timer->async_wait(kAwait);
    Delist(limit, timer);
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

auto grant_exchange::HasAnsweredSince(const workspace_id& limit,
                                      time_point start) -> bool {
  const std::lock_guard lock(mutex_);
  const auto found = answered_.find(limit);
  return found != answered_.end() && found->second >= start;
}

auto grant_exchange::Enlist(const workspace_id& limit, shared_timer timer)
    -> void {
  const std::lock_guard lock(mutex_);
  waiters_[limit].push_back(std::move(timer));
}

auto grant_exchange::Delist(const workspace_id& limit,
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

auto grant_exchange::Wake(const workspace_id& limit) -> void {
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

auto grant_exchange::Kick() -> void {
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
    const duration period =
        is_waiting
            ? std::min<duration>(kWaitingTick, state_.options.request_interval)
            : state_.options.request_interval;
    timer_.expires_after(period);
    co_await timer_.async_wait(kAwait);
    const auto now = clock::now();
    const bool all = now >= ownerships_due;
    NoteOwnerships(now, all);
    if (all) {
      ownerships_due = now + kOwnershipPeriod;
    }
    SendDue();
  }
}

auto grant_exchange::SendDue() -> void {
  const auto now = clock::now();
  const auto hosts = state_.replica.Read([](const config_tree& tree) {
    const auto members = tree.Members();
    return std::ranges::count(members, member_state::kLive, &member::state);
  });
  state_.shares.SetHostCount(static_cast<std::size_t>(hosts));
  std::map<std::string, wire::grant_requestT> requests;
  for (const auto& ask : state_.shares.DueRequests(now, now + kAskLimit)) {
    const auto owner =
        state_.replica.OwnerHost(owned_kind::kLimit, ask.workspace.value);
    if (!owner) {
      continue;
    }
    const bool is_self = owner->host == state_.options.host;
    const auto address = is_self ? kSelf : owner->entry_link;
    auto& request = requests[granters_.Choose(ask.workspace, address, now)];
    request.host = state_.options.host.value;
    request.asks.push_back(ToWire(ask));
  }
  for (auto& [address, request] : requests) {
    if (address == kSelf) {
      Take(Answer(request), address, now);
      continue;
    }
    asio::co_spawn(strand_, Ask(address, std::move(request)), LogException);
  }
}

auto grant_exchange::Ask(std::string address, wire::grant_requestT request)
    -> asio::awaitable<void> {
  auto link = state_.links.Get(address);
  if (!link) {
    co_return;
  }
  const auto sent = clock::now();
  auto message = MakeMessage(std::move(request));
  auto answer = co_await link->Call(std::move(message), sent + kAskLimit);
  if (!answer) {
    const auto& error = answer.error();
    Log(log_level::kDebug, log_category::kLimit,
        {error.message, "ask for grants", error.peer});
    co_return;
  }
  const auto* reply = answer->Asgrant_reply();
  if (reply != nullptr) {
    Take(*reply, address, sent);
  }
}

auto grant_exchange::Take(const wire::grant_replyT& reply,
                          const std::string& granter,
                          time_point sent) -> void {
  bool ask_again = false;
  for (const auto& given : reply.grants) {
    const workspace_id limit(given->workspace);
    token_grant grant;
    grant.lot = grant_id(given->lot);
    grant.tokens = given->tokens;
    grant.life = microseconds(given->life_us);
    grant.retry_after = microseconds(given->retry_after_us);
    if (grant.life == duration::zero()) {
      // It is not owner yet; the former owner may still be.
      const bool other = granters_.NoteRefusal(limit, granter, clock::now());
      grant.retry_after = other ? duration::zero() : grant.retry_after;
      ask_again = ask_again || other;
    } else {
      granters_.NoteGrant(limit, granter);
      const std::lock_guard lock(mutex_);
      answered_[limit] = clock::now();
    }
    state_.shares.ApplyGrant(limit, grant, sent);
    if (grant.tokens > 0) {
      Wake(limit);
      ask_again = true;
    }
  }
  if (ask_again) {
    Kick();
  }
}

auto grant_exchange::OwnerSince(const workspace_id& limit, time_point now)
    -> std::optional<time_point> {
  const auto fresh_until = state_.replica.FreshUntil();
  const bool is_owner =
      state_.replica.IsOwner(owned_kind::kLimit, limit.value, now);
  const std::lock_guard lock(mutex_);
  return owned_.Look(limit, is_owner, fresh_until, now);
}

auto grant_exchange::NoteOwnerships(time_point now, bool all) -> void {
  std::vector<workspace_id> limits;
  if (all) {
    limits = state_.replica.Read(LimitsOf);
    state_.granters.EvictFull(now);
  } else {
    const std::lock_guard lock(mutex_);
    limits = owned_.Limits();
  }
  for (const auto& limit : limits) {
    OwnerSince(limit, now);
  }
}

auto grant_exchange::Answer(const wire::grant_requestT& request)
    -> wire::grant_replyT {
  wire::grant_replyT reply;
  const auto now = clock::now();
  for (const auto& ask : request.asks) {
    const workspace_id limit(ask->workspace);
    const auto rate = state_.replica.Read(
        [&](const config_tree& tree) { return RateOf(tree, limit); });
    const auto owner_since = OwnerSince(limit, now);
    // Until its first grant an owner answers like one that does not act yet:
    // having no token to give then does not mean that the limit is reached.
    const auto since =
        owner_since && now >= state_.granters.FirstGrantAt(*owner_since)
            ? owner_since
            : std::nullopt;
    token_grant grant;
    if (since && rate) {
      std::vector<grant_report> reports;
      for (const auto& report : ask->reports) {
        reports.push_back(
            {grant_id(report->lot), report->used, report->returned});
      }
      grant = state_.granters.Grant(limit, *rate, ask->tokens, reports, *since,
                                    now);
    } else if (since) {
      // No rate is set, so nothing is asked for much longer.
      grant.life = state_.options.grant_ttl;
      grant.retry_after = kNotOwnerRetry;
    } else {
      grant.retry_after = kNotOwnerRetry;
    }
    auto given = std::make_unique<wire::grant_givenT>();
    given->workspace = limit.value;
    given->lot = grant.lot.value;
    given->tokens = grant.tokens;
    given->life_us = Microseconds(grant.life);
    given->retry_after_us = Microseconds(grant.retry_after);
    reply.grants.push_back(std::move(given));
  }
  return reply;
}

}  // namespace dogwood
