#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

#include "src/core.h"
#include "src/freshness.h"
#include "src/link.h"
#include "src/replica_base.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Timeout of a call; the link reconnects after it. */
constexpr std::chrono::seconds kCallTimeout{2};
/** Maximum number of records per request. */
constexpr unsigned kPageRecords = 1000;
/** Proofs older than this are ignored, which keeps time points in range. */
constexpr std::uint64_t kMaxAgeUs = 3'600'000'000;

/** Interval at which the own controld is tried again while it does not answer.
 * A call that is not answered takes kCallTimeout, during which no proof is
 * renewed. */
constexpr std::chrono::seconds kOwnRetryInterval{5};

/** State of the pull loop. */
struct pull_state {
  bool is_failing = false;  ///< Whether the last pull failed.
};

/** Logs only the first of successive failures. */
auto LogPullFailure(pull_state& state, const failure& error) -> void {
  if (!std::exchange(state.is_failing, true)) {
    Log(log_level::kWarning, log_category::kConfig,
        {"failed to pull the configuration: " + error.message, error.step,
         error.peer});
  }
}

/** Logs the first success after failures; `peer` is the controld that answered.
 */
auto LogPullSuccess(pull_state& state, const std::string& peer) -> void {
  if (std::exchange(state.is_failing, false)) {
    Log(log_level::kInfo, log_category::kConfig,
        {"pulling the configuration succeeds again", "pull configuration",
         peer});
  }
}

/** Returns the offset of the first record that the replica lacks. */
auto NextOffsetOf(const config_replica& replica) -> log_offset {
  return replica.Read(
      [](const config_tree& tree) { return tree.next_offset(); });
}

/** Result of one pull. */
struct pull_progress {
  std::size_t applied = 0;  ///< Number of new records.
  bool is_behind = false;   ///< Whether more records are available.
};

/** Applies the records and the proof of a reply to a request sent at `sent`. */
auto HandleReply(config_replica& replica,
                 const wire::tail_replyT& reply,
                 time_point sent,
                 time_point now) -> pull_progress {
  pull_progress progress;
  progress.applied =
      replica.ApplyRecords(log_offset(reply.from), reply.records, now);
  if (reply.proven && reply.age_us <= kMaxAgeUs && reply.held_us <= kMaxAgeUs) {
    const auto as_of = ReplyAsOf(sent, std::chrono::microseconds(reply.held_us),
                                 std::chrono::microseconds(reply.age_us));
    replica.ApplyProof(log_offset(reply.next), as_of);
  }
  progress.is_behind = NextOffsetOf(replica).value < reply.next;
  return progress;
}

}  // namespace

auto pull_source::UsesOtherHosts(time_point now) const -> bool {
  return failures_ > 0 && now < retry_own_at_;
}

auto pull_source::Choose(const std::vector<member>& members, time_point now)
    -> std::optional<std::string> {
  std::vector<const member*> others;
  if (UsesOtherHosts(now)) {
    for (const auto& m : members) {
      if (m.host != self_ && m.state == member_state::kLive) {
        others.push_back(&m);
      }
    }
  }
  chose_own_ = others.empty();
  if (chose_own_) {
    return std::nullopt;
  }
  const auto self = std::ranges::find(members, self_, &member::host);
  if (self != members.end()) {
    std::stable_partition(others.begin(), others.end(), [&](const member* m) {
      return m->region == self->region;
    });
  }
  return others[(failures_ - 1) % others.size()]->control_link;
}

auto pull_source::RecordAnswer() -> void {
  if (chose_own_) {
    failures_ = 0;
  }
}

auto pull_source::RecordFailure(time_point now) -> void {
  if (chose_own_) {
    failures_ = 0;
    retry_own_at_ = now + kOwnRetryInterval;
  }
  ++failures_;
}

auto RunReplica(config_replica& replica,
                link_client& controld,
                link_table& others,
                std::string daemon,
                std::chrono::milliseconds interval,
                std::function<void()> on_change) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  pull_state state;
  pull_source source(replica.self());
  while (true) {
    wire::tail_requestT request;
    request.host = replica.self().value;
    request.daemon = daemon;
    request.from_offset = NextOffsetOf(replica).value;
    request.limit = kPageRecords;
    auto message = MakeMessage(std::move(request));
    const auto sent = clock::now();
    std::vector<member> members;
    if (source.UsesOtherHosts(sent)) {
      members =
          replica.Read([](const config_tree& tree) { return tree.Members(); });
    }
    const auto other = source.Choose(members, sent);
    // Holds a reference, since the table may drop the link during the call.
    const auto link = other ? others.Get(*other) : nullptr;
    auto& source_link = link ? *link : controld;
    auto answer =
        co_await source_link.Call(std::move(message), sent + kCallTimeout);
    pull_progress progress;
    if (!answer) {
      source.RecordFailure(clock::now());
      LogPullFailure(state, answer.error());
    } else if (const auto* reply = answer->Astail_reply()) {
      source.RecordAnswer();
      progress = HandleReply(replica, *reply, sent, clock::now());
      LogPullSuccess(state, other ? *other : "controld of this host");
    } else {
      source.RecordFailure(clock::now());
      LogPullFailure(state, {.code = error_code::kBadGateway,
                             .message = "the answer is no tail_reply",
                             .step = "pull configuration",
                             .peer = other.value_or("controld of this host")});
    }
    if (progress.applied > 0 && on_change) {
      on_change();
    }
    if (progress.applied > 0 && progress.is_behind) {
      continue;
    }
    timer.expires_at(sent + interval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace dogwood
