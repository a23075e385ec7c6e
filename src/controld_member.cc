#include "src/controld_member.h"

#include <algorithm>
#include <array>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "src/controld_pull.h"
#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** How often waits look at what has changed. */
constexpr std::chrono::milliseconds kLookPeriod{50};
/** Between rounds of asking other hosts for confirmation. */
constexpr std::chrono::milliseconds kConfirmPeriod{200};
/** One try to append a join; it is repeated until it succeeds. */
constexpr std::chrono::seconds kJoinAppendLimit{30};
/** How often the need for a snapshot is looked at. */
constexpr std::chrono::seconds kSnapshotPeriod{1};
/** A local daemon that has not pulled for this long is taken for dead: many
 * times the second between two pulls, and short beside the ownership wait. */
constexpr std::chrono::seconds kDaemonSilence{3};
/** How often the pulls of local daemons are looked at. */
constexpr std::chrono::milliseconds kDaemonLookPeriod{250};
/** Looks in a row that must find a daemon missing: after a pause of this
 * process the first ones find old pulls only. */
constexpr unsigned kMissingLooks = 4;
/** Daemons without which a host cannot do what it owns. */
constexpr std::array kOwningDaemons{"entryd", "batchd"};

/** This host's entry in the tree, if it is of the present start. */
auto OwnEntry(const controld& c) -> std::optional<member> {
  return c.replica.Read([&c](const config_tree& tree) -> std::optional<member> {
    const auto* found = tree.FindMember(c.settings.self.host);
    if (found == nullptr || found->start.value != c.member_start) {
      return std::nullopt;
    }
    return *found;
  });
}

/** A start larger than any that the log has for this host. */
auto NewStart(const controld& c) -> incarnation {
  const auto known = c.replica.Read([&c](const config_tree& tree) {
    const auto* found = tree.FindMember(c.settings.self.host);
    return found == nullptr ? 0 : found->start.value;
  });
  const auto last = std::max(known, c.member_start.load());
  return incarnation(std::max(UnixMicroseconds(), last + 1));
}

/** Appends join records until one is applied; returns this host's entry. */
auto AppendJoin(controld& c) -> asio::awaitable<member> {
  while (true) {
    auto joining = c.settings.self;
    joining.start = NewStart(c);
    c.member_start = joining.start.value;
    c.appender.SetStart(joining.start);
    auto make = [joining](const record_writer& writer) {
      return JoinRecord(writer, joining);
    };
    const auto deadline = clock::now() + kJoinAppendLimit;
    auto appended = co_await c.appender.Append(make, deadline);
    if (!appended) {
      LogFailure(log_level::kError, log_category::kMember, appended.error());
      continue;
    }
    // The record itself is not seen if a snapshot that includes it is loaded.
    while (!c.seen.Find(appended->record) && !OwnEntry(c)) {
      co_await Sleep(kLookPeriod);
    }
    c.seen.Forget(appended->record);
    if (auto own = OwnEntry(c)) {
      co_return std::move(*own);
    }
  }
}

/** Other members whose join came before `joined`. */
auto OlderMembers(const controld& c, log_offset joined) -> std::vector<member> {
  auto members = MembersOf(c);
  std::erase_if(members,
                [joined](const member& m) { return m.joined >= joined; });
  return members;
}

/** Asks other members until one confirms that it knows of the join, or until
 * all that joined earlier have ended. */
auto ConfirmJoin(controld& c, const member& own) -> asio::awaitable<void> {
  while (!c.tracker.IsConfirmed() && OwnEntry(c)) {
    const auto older = OlderMembers(c, own.joined);
    if (older.empty()) {
      c.tracker.ConfirmAlone();
      co_return;
    }
    for (const auto& peer : older) {
      const auto deadline = clock::now() + c.settings.pull_timeout;
      auto reply = co_await AskPeer(c, peer, std::nullopt, deadline);
      if (c.tracker.IsConfirmed()) {
        co_return;
      }
    }
    co_await Sleep(kConfirmPeriod);
  }
}

/** Whether the local daemons have gone or `deadline` has passed. */
auto WaitForDaemons(const controld& c, time_point deadline)
    -> asio::awaitable<void> {
  while (clock::now() < deadline && c.tracker.HasActiveDaemon(clock::now())) {
    co_await Sleep(kLookPeriod);
  }
}

/** Number of retained records since the newest snapshot, 0 if it is as new as
 * it can be. */
auto RecordsSinceSnapshot(const controld& c) -> std::uint64_t {
  const auto next = NextOffset(c).value;
  // The snapshot's own record follows its as_of.
  const auto covered = c.snapshot_at + 1;
  return next > covered ? next - covered : 0;
}

/** Appends a snapshot. */
auto AppendSnapshot(controld& c) -> asio::awaitable<void> {
  auto make = [&c](const record_writer& writer) {
    return c.replica.Read(
        [&writer](const config_tree& tree) { return tree.Snapshot(writer); });
  };
  const auto deadline = clock::now() + c.settings.change_timeout;
  auto appended = co_await c.appender.Append(make, deadline);
  if (!appended) {
    LogFailure(log_level::kError, log_category::kConfig, appended.error());
    co_return;
  }
  c.seen.Forget(appended->record);
}

/** How a local daemon stands. */
enum class daemon_state {
  kAbsent,  ///< Has not pulled since this process began.
  kAlive,   ///< Has pulled lately.
  kSilent,  ///< Has stopped pulling.
};

/** State of a local daemon by its pulls. */
auto StateOf(const controld& c, const std::string& daemon, time_point now)
    -> daemon_state {
  const auto pulls = c.pulls.All();
  const auto found = pulls.find(c.settings.self.host.value + "/" + daemon);
  if (found == pulls.end()) {
    return daemon_state::kAbsent;
  }
  return found->second.at + kDaemonSilence > now ? daemon_state::kAlive
                                                 : daemon_state::kSilent;
}

/** Whether any of the daemons that ownership needs has gone silent. */
auto IsMissingDaemon(const controld& c, time_point now) -> bool {
  return std::ranges::any_of(kOwningDaemons, [&](const char* daemon) {
    return StateOf(c, daemon, now) == daemon_state::kSilent;
  });
}

/** Whether this host drained itself and its daemons are back. */
auto IsRejoinDue(const controld& c) -> bool {
  return c.self_drained == c.member_start && c.state == serve_state::kServing &&
         !IsMissingDaemon(c, clock::now());
}

}  // namespace

auto DrainWithoutDaemons(controld& c) -> asio::awaitable<void> {
  while (c.state == serve_state::kServing) {
    co_await Sleep(kDaemonLookPeriod);
    const auto own = OwnEntry(c);
    if (!own || own->state != member_state::kLive || !c.tracker.IsConfirmed() ||
        !IsMissingDaemon(c, clock::now())) {
      continue;
    }
    Log(log_level::kWarning, log_category::kMember,
        {"a local daemon has stopped pulling; this host gives up ownership",
         "watch daemons", ""});
    const auto start = own->start;
    const auto deadline = clock::now() + c.settings.append_timeout;
    auto drained = co_await AppendMemberRecord(
        c, "member_drain", c.settings.self.host, start, deadline);
    if (drained) {
      c.self_drained = start.value;
    } else {
      LogFailure(log_level::kError, log_category::kMember, drained.error());
    }
  }
}

auto KeepJoined(controld& c) -> asio::awaitable<void> {
  while (true) {
    const auto own = co_await AppendJoin(c);
    c.tracker.SetJoined(own.joined);
    Log(log_level::kInfo, log_category::kMember,
        {"joined at offset " + std::to_string(own.joined.value), "join", ""});
    co_await ConfirmJoin(c, own);
    Log(log_level::kInfo, log_category::kMember,
        {"the join is confirmed", "join", ""});
    while (OwnEntry(c) && !IsRejoinDue(c)) {
      co_await Sleep(kLookPeriod);
    }
    if (c.state != serve_state::kServing) {
      co_return;
    }
    Log(log_level::kWarning, log_category::kMember,
        {"this start has ended in the log or drained itself; joining again",
         "join", ""});
  }
}

auto AppendMemberRecord(controld& c,
                        std::string kind,
                        host_id host,
                        incarnation start,
                        time_point deadline) -> asio::awaitable<outcome<void>> {
  auto make = [kind, host, start](const record_writer& writer) {
    return MemberRecord(writer, kind, host, start);
  };
  auto appended = co_await c.appender.Append(make, deadline);
  if (!appended) {
    co_return appended.error();
  }
  c.seen.Forget(appended->record);
  co_return outcome<void>();
}

auto LeaveFleet(controld& c) -> asio::awaitable<void> {
  c.state = serve_state::kDraining;
  const auto limit = clock::now() + c.settings.drain_limit;
  const auto self = c.settings.self.host;
  const incarnation start(c.member_start);
  const auto drain_deadline =
      std::max(limit, clock::now() + c.settings.append_timeout);
  auto drained = co_await AppendMemberRecord(c, "member_drain", self, start,
                                             drain_deadline);
  if (!drained) {
    LogFailure(log_level::kError, log_category::kMember, drained.error());
  }
  co_await WaitForDaemons(c, limit);
  c.state = serve_state::kStopped;
  // Daemons that are still there may serve on their last proof until it
  // expires; the record that this host has left must not come before.
  co_await WaitForDaemons(c, time_point::max());
  const auto leave_deadline = clock::now() + c.settings.change_timeout;
  auto left = co_await AppendMemberRecord(c, "member_leave", self, start,
                                          leave_deadline);
  if (!left) {
    LogFailure(log_level::kError, log_category::kMember, left.error());
  }
}

auto KeepSnapshots(controld& c) -> asio::awaitable<void> {
  auto due = clock::now() + c.settings.snapshot_every;
  while (true) {
    co_await Sleep(kSnapshotPeriod);
    const auto members = MembersOf(c);
    const bool is_first =
        !members.empty() && members.front().host == c.settings.self.host;
    const auto since = RecordsSinceSnapshot(c);
    // Also without new records: the newest snapshot must stay retained.
    const bool is_due =
        clock::now() >= due || since >= c.settings.snapshot_every_records;
    if (is_first && is_due && c.tracker.IsConfirmed()) {
      co_await AppendSnapshot(c);
      due = clock::now() + c.settings.snapshot_every;
    }
  }
}

}  // namespace dogwood
