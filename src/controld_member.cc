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

/** Interval at which waits check the replica. */
constexpr std::chrono::milliseconds kPollInterval{50};
/** Interval between two rounds of confirmation requests to other hosts. */
constexpr std::chrono::milliseconds kConfirmRetryInterval{200};
/** Timeout of one append of the join record, which is retried until it
 * succeeds. */
constexpr std::chrono::seconds kJoinAppendTimeout{30};
/** Interval at which controld checks whether a snapshot is due. */
constexpr std::chrono::seconds kSnapshotCheckInterval{1};
/** A local daemon that has not pulled for this long is considered dead. The
 * time is several times the interval of 1 s between two pulls, and short
 * compared to the ownership wait. */
constexpr std::chrono::seconds kDaemonTimeout{3};
/** Interval at which the pulls of local daemons are checked. */
constexpr std::chrono::milliseconds kDaemonCheckInterval{250};
/** Number of consecutive checks that must find a daemon silent: the first
 * checks after a pause of this process find old pulls only. Currently unused:
 * one check decides. */
constexpr unsigned kMissingChecks = 4;
/** Local daemons that a host needs to serve the limits, partitions and servers
 * that it owns. */
constexpr std::array kRequiredDaemons{"entryd", "batchd"};

/** The member entry of this host, nothing if it has none for the current
 * incarnation. */
auto OwnEntry(const controld& c) -> std::optional<member> {
  return c.replica.Read([&c](const config_tree& tree) -> std::optional<member> {
    const auto* found = tree.FindMember(c.settings.self.host);
    if (found == nullptr || found->start.value != c.member_incarnation) {
      return std::nullopt;
    }
    return *found;
  });
}

/** An incarnation above all earlier ones of this host. */
auto NextIncarnation(const controld& c) -> incarnation {
  const auto known = c.replica.Read([&c](const config_tree& tree) {
    const auto* found = tree.FindMember(c.settings.self.host);
    return found == nullptr ? 0 : found->start.value;
  });
  const auto last = std::max(known, c.member_incarnation.load());
  return incarnation(std::max(UnixMicroseconds(), last + 1));
}

/** Appends join records until one is applied; returns the resulting member
 * entry of this host. */
auto AppendJoin(controld& c) -> asio::awaitable<member> {
  while (true) {
    auto joining = c.settings.self;
    joining.start = NextIncarnation(c);
    c.member_incarnation = joining.start.value;
    c.appender.SetIncarnation(joining.start);
    auto make = [joining](const record_writer& writer) {
      return JoinRecord(writer, joining);
    };
    const auto deadline = clock::now() + kJoinAppendTimeout;
    auto appended = co_await c.appender.Append(make, deadline);
    if (!appended) {
      LogFailure(log_level::kError, log_category::kMember, appended.error());
      continue;
    }
    // A replica that loads a snapshot may skip the record; then only the member
    // entry shows that it was applied.
    while (!c.own_records.Find(appended->record) && !OwnEntry(c)) {
      co_await Sleep(kPollInterval);
    }
    c.own_records.Unwatch(appended->record);
    if (auto own = OwnEntry(c)) {
      co_return std::move(*own);
    }
  }
}

/** Members whose join is at an offset below `joined`. */
auto OlderMembers(const controld& c, log_offset joined) -> std::vector<member> {
  auto members = MembersOf(c);
  std::erase_if(members,
                [joined](const member& m) { return m.joined >= joined; });
  return members;
}

/** Queries the members that joined earlier until one confirms that it has
 * applied the join, or until none of them is a member any more. */
auto ConfirmJoin(controld& c, const member& own) -> asio::awaitable<void> {
  while (!c.tracker.IsConfirmed() && OwnEntry(c)) {
    const auto older = OlderMembers(c, own.joined);
    if (older.empty()) {
      c.tracker.ConfirmAlone();
      co_return;
    }
    for (const auto& peer : older) {
      const auto deadline = clock::now() + c.settings.pull_timeout;
      auto reply = co_await PullFromPeer(c, peer, std::nullopt, deadline);
      if (c.tracker.IsConfirmed()) {
        co_return;
      }
    }
    co_await Sleep(kConfirmRetryInterval);
  }
}

/** Waits until no local daemon holds an unexpired proof, or until `deadline`.
 */
auto WaitForDaemonsToExpire(const controld& c, time_point deadline)
    -> asio::awaitable<void> {
  while (clock::now() < deadline && c.tracker.HasActiveDaemon(clock::now())) {
    co_await Sleep(kPollInterval);
  }
}

/** Number of records since the newest snapshot, not counting the record of the
 * snapshot itself. */
auto RecordsSinceSnapshot(const controld& c) -> std::uint64_t {
  const auto next = NextOffset(c).value;
  // The record of the snapshot is at an offset >= its as_of.
  const auto covered = c.snapshot_at + 1;
  return next > covered ? next - covered : 0;
}

/** Appends a snapshot of the configuration to the log. */
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
  c.own_records.Unwatch(appended->record);
}

/** Liveness of a local daemon. */
enum class daemon_state {
  kAbsent,   ///< Has not pulled since this process started.
  kPulling,  ///< Has pulled within kDaemonTimeout.
  kSilent,   ///< Has not pulled within kDaemonTimeout.
};

/** Determines the liveness of a local daemon from its pulls. */
auto StateOf(const controld& c, const std::string& daemon, time_point now)
    -> daemon_state {
  const auto pulls = c.pulls.All();
  const auto found = pulls.find(c.settings.self.host.value + "/" + daemon);
  if (found == pulls.end()) {
    return daemon_state::kAbsent;
  }
  return found->second.at + kDaemonTimeout > now ? daemon_state::kPulling
                                                 : daemon_state::kSilent;
}

/** Whether any of kRequiredDaemons is silent. */
auto IsMissingDaemon(const controld& c, time_point now) -> bool {
  return std::ranges::any_of(kRequiredDaemons, [&](const char* daemon) {
    return StateOf(c, daemon, now) == daemon_state::kSilent;
  });
}

/** Whether this host drained itself and no required daemon is silent any more.
 */
auto IsRejoinDue(const controld& c) -> bool {
  return c.drained_incarnation == c.member_incarnation &&
         c.state == serve_state::kServing && !IsMissingDaemon(c, clock::now());
}

}  // namespace

auto DrainOnDaemonLoss(controld& c) -> asio::awaitable<void> {
  while (c.state == serve_state::kServing) {
    co_await Sleep(kDaemonCheckInterval);
    const auto own = OwnEntry(c);
    if (!own || own->state != member_state::kLive || !c.tracker.IsConfirmed() ||
        !IsMissingDaemon(c, clock::now())) {
      continue;
    }
    Log(log_level::kWarning, log_category::kMember,
        {"a local daemon has stopped pulling; draining this host",
         "watch daemons", ""});
    const auto start = own->start;
    const auto deadline = clock::now() + c.settings.append_timeout;
    auto drained = co_await AppendMemberRecord(
        c, "member_drain", c.settings.self.host, start, deadline);
    if (drained) {
      c.drained_incarnation = start.value;
    } else {
      LogFailure(log_level::kError, log_category::kMember, drained.error());
    }
  }
}

auto MaintainMembership(controld& c) -> asio::awaitable<void> {
  while (true) {
    const auto own = co_await AppendJoin(c);
    c.tracker.SetJoined(own.joined);
    Log(log_level::kInfo, log_category::kMember,
        {"joined at offset " + std::to_string(own.joined.value), "join", ""});
    co_await ConfirmJoin(c, own);
    Log(log_level::kInfo, log_category::kMember,
        {"the join is confirmed", "join", ""});
    while (OwnEntry(c) && !IsRejoinDue(c)) {
      co_await Sleep(kPollInterval);
    }
    if (c.state != serve_state::kServing) {
      co_return;
    }
    Log(log_level::kWarning, log_category::kMember,
        {"this incarnation is no longer a member or has drained itself; "
         "joining again",
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
  c.own_records.Unwatch(appended->record);
  co_return outcome<void>();
}

auto LeaveFleet(controld& c) -> asio::awaitable<void> {
  c.state = serve_state::kDraining;
  const auto wait_deadline = clock::now() + c.settings.drain_limit;
  const auto self = c.settings.self.host;
  const incarnation start(c.member_incarnation);
  const auto drain_deadline =
      std::max(wait_deadline, clock::now() + c.settings.append_timeout);
  auto drained = co_await AppendMemberRecord(c, "member_drain", self, start,
                                             drain_deadline);
  if (!drained) {
    LogFailure(log_level::kError, log_category::kMember, drained.error());
  }
  co_await WaitForDaemonsToExpire(c, wait_deadline);
  c.state = serve_state::kStopped;
  // Daemons that are still running may serve on their last proof until it
  // expires; the leave record must not be appended before that.
  co_await WaitForDaemonsToExpire(c, time_point::max());
  const auto leave_deadline = clock::now() + c.settings.change_timeout;
  auto leave = co_await AppendMemberRecord(c, "member_leave", self, start,
                                           leave_deadline);
  if (!leave) {
    LogFailure(log_level::kError, log_category::kMember, leave.error());
  }
}

auto MaintainSnapshots(controld& c) -> asio::awaitable<void> {
  auto due = clock::now() + c.settings.snapshot_every;
  while (true) {
    co_await Sleep(kSnapshotCheckInterval);
    const auto members = MembersOf(c);
    const bool is_first =
        !members.empty() && members.front().host == c.settings.self.host;
    const auto new_records = RecordsSinceSnapshot(c);
    // Snapshots are also due without new records, so that the newest one stays
    // within the retention of the log.
    const bool is_due =
        clock::now() >= due || new_records >= c.settings.snapshot_every_records;
    if (is_first && is_due && c.tracker.IsConfirmed()) {
      co_await AppendSnapshot(c);
      due = clock::now() + c.settings.snapshot_every;
    }
  }
}

}  // namespace dogwood
