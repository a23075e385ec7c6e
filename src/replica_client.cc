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

/** Longest wait for an answer; the connection is made anew after it. */
constexpr std::chrono::seconds kCallTimeout{2};
/** Records asked for at once. */
constexpr unsigned kPageRecords = 1000;
/** A proof older than this is of no use; keeps time points in range. */
constexpr std::uint64_t kMaxAgeUs = 3'600'000'000;

/** While the own controld does not answer it is asked again this often. A call
 * to one that is silent takes kCallTimeout, in which no proof is renewed. */
constexpr std::chrono::seconds kOwnRetry{5};

/** State of the loop, for log lines at changes only. */
struct pull_state {
  bool failing = false;  ///< The last pull failed.
};

/** Logs the first of several failures. */
auto NoteFailure(pull_state& state, const failure& error) -> void {
  if (!std::exchange(state.failing, true)) {
    Log(log_level::kWarning, log_category::kConfig,
        {"the configuration cannot be pulled: " + error.message, error.step,
         error.peer});
  }
}

/** Logs the end of several failures, and that `peer` answers. */
auto NoteSuccess(pull_state& state, const std::string& peer) -> void {
  if (std::exchange(state.failing, false)) {
    Log(log_level::kInfo, log_category::kConfig,
        {"the configuration is pulled again", "pull configuration", peer});
  }
}

/** Offset of the first record that the replica lacks. */
auto NextOffsetOf(const config_replica& replica) -> log_offset {
  return replica.Read(
      [](const config_tree& tree) { return tree.next_offset(); });
}

/** What one reply brought. */
struct pull_progress {
  std::size_t applied = 0;  ///< New records.
  bool is_behind = false;   ///< More are to be had.
};

/** Takes the records and the proof of a reply to a request of `sent`. */
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

auto pull_source::AsksOthers(time_point now) const -> bool {
  return failures_ > 0 && now < own_retry_at_;
}

auto pull_source::Choose(const std::vector<member>& members, time_point now)
    -> std::optional<std::string> {
  std::vector<const member*> others;
  if (AsksOthers(now)) {
    for (const auto& m : members) {
      if (m.host != self_ && m.state == member_state::kLive) {
        others.push_back(&m);
      }
    }
  }
  asked_own_ = others.empty();
  if (asked_own_) {
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

auto pull_source::NoteAnswer() -> void {
  if (asked_own_) {
    failures_ = 0;
  }
}

auto pull_source::NoteFailure(time_point now) -> void {
  if (asked_own_) {
    failures_ = 0;
    own_retry_at_ = now + kOwnRetry;
  }
  ++failures_;
}

auto RunReplica(config_replica& replica,
                link_client& controld,
                link_table& others,
                std::string daemon,
                std::chrono::milliseconds period,
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
    if (source.AsksOthers(sent)) {
      members =
          replica.Read([](const config_tree& tree) { return tree.Members(); });
    }
    const auto other = source.Choose(members, sent);
    // Kept, as the table may drop the link while the call waits.
    const auto link = other ? others.Get(*other) : nullptr;
    auto& asked = link ? *link : controld;
    auto answer = co_await asked.Call(std::move(message), sent + kCallTimeout);
    pull_progress progress;
    if (!answer) {
      source.NoteFailure(clock::now());
      NoteFailure(state, answer.error());
    } else if (const auto* reply = answer->Astail_reply()) {
      source.NoteAnswer();
      progress = HandleReply(replica, *reply, sent, clock::now());
      NoteSuccess(state, other ? *other : "controld of this host");
    } else {
      source.NoteFailure(clock::now());
      NoteFailure(state, {.code = error_code::kBadGateway,
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
    timer.expires_at(sent + period);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace dogwood
