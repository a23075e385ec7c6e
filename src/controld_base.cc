#include "src/controld_base.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

#include "src/core.h"
#include "src/http.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Identity of this daemon on links. */
auto IdentityOf(const controld_settings& settings) -> link_identity {
  link_identity self;
  self.host = settings.self.host.value;
  self.daemon = "controld";
  self.secret = settings.secret;
  return self;
}

/** The audit entries with offsets from `from` on. */
auto AuditFrom(const config_tree& tree, log_offset from)
    -> std::vector<audit_entry> {
  std::vector<audit_entry> entries;
  const auto& all = tree.Audit();
  for (auto it = all.rbegin(); it != all.rend() && it->offset >= from; ++it) {
    entries.push_back(*it);
  }
  std::reverse(entries.begin(), entries.end());
  return entries;
}

/** Writes the audit trail of changes and member records to the log. */
auto LogAudit(const std::vector<audit_entry>& entries) -> void {
  for (const auto& entry : entries) {
    const bool applied = entry.verdict == apply_status::kApplied;
    Log(log_level::kInfo,
        entry.kind.starts_with("member") ? log_category::kMember
                                         : log_category::kConfig,
        {entry.kind + " of " + entry.path + " at offset " +
             std::to_string(entry.offset.value) +
             (entry.operator_name.empty() ? "" : " by " + entry.operator_name) +
             (applied ? "" : ", not applied"),
         "audit", ""});
  }
}

/** Verdict of the record at `offset`; records without entry have no refusal. */
auto VerdictAt(const std::vector<audit_entry>& entries, log_offset offset)
    -> apply_status {
  for (const auto& entry : entries) {
    if (entry.offset == offset) {
      return entry.verdict;
    }
  }
  return apply_status::kApplied;
}

/** Tells the tracker what the tree now holds. */
auto UpdateTracker(controld& c) -> void {
  log_offset next;
  const auto members = c.replica.Read([&next](const config_tree& tree) {
    next = tree.next_offset();
    return tree.Members();
  });
  auto rank = freshness_tracker::kNoRank;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].host == c.settings.self.host &&
        members[i].start.value == c.member_start) {
      rank = i;
    }
  }
  c.tracker.SetApplied(next, rank, members.size());
}

/** Notes the newest snapshot among records. */
auto NoteSnapshots(controld& c, const record_run& run, log_offset old_next)
    -> void {
  for (std::size_t i = 0; i < run.records.size(); ++i) {
    // The mark is sought first: reading each record twice would be wasteful.
    if (run.from.value + i >= old_next.value &&
        run.records[i].find("\"snapshot\"") != std::string::npos) {
      config_tree scratch;
      if (ToOutcome([&] { return scratch.LoadSnapshot(run.records[i]); })) {
        c.snapshot_at = scratch.next_offset().value;
      }
    }
  }
}

}  // namespace

auto pull_table::Note(const link_peer& peer, log_offset from, time_point now)
    -> void {
  const std::lock_guard lock(mutex_);
  pulls_[peer.Name()] = {from, now};
}

auto pull_table::LastPull(const host_id& host) const -> time_point {
  const std::lock_guard lock(mutex_);
  const auto found = pulls_.find(host.value + "/controld");
  return found == pulls_.end() ? time_point::min() : found->second.at;
}

auto pull_table::All() const -> std::map<std::string, answered_pull> {
  const std::lock_guard lock(mutex_);
  return pulls_;
}

auto given_table::Note(const std::string& peer, const given_proof& given)
    -> void {
  const std::lock_guard lock(mutex_);
  given_[peer] = given;
}

auto given_table::Find(const std::string& peer) const -> given_proof {
  const std::lock_guard lock(mutex_);
  const auto found = given_.find(peer);
  return found == given_.end() ? given_proof() : found->second;
}

auto reply_table::Note(const std::string& address, const received_reply& reply)
    -> void {
  const std::lock_guard lock(mutex_);
  replies_[address] = reply;
}

auto reply_table::Find(const std::string& address) const
    -> std::optional<received_reply> {
  const std::lock_guard lock(mutex_);
  const auto found = replies_.find(address);
  return found == replies_.end() ? std::nullopt : std::optional(found->second);
}

auto reply_table::LastAnswer(const std::string& address) const -> time_point {
  const auto last = Find(address);
  return last ? last->arrived : time_point::min();
}

controld::controld(asio::io_context& io_context, controld_settings given)
    : io(io_context),
      settings(std::move(given)),
      process_start(UnixMicroseconds()),
      platform(settings.platform),
      replica(settings.self.host, settings.freshness_limit),
      tracker(process_start, settings.freshness_limit, clock::now()),
      store(settings.kept_records),
      peers(io, IdentityOf(settings)),
      appender(io,
               platform,
               seen,
               tracker,
               metrics,
               settings.self.host,
               settings.append_timeout) {}

auto NextOffset(const controld& c) -> log_offset {
  return c.replica.Read(
      [](const config_tree& tree) { return tree.next_offset(); });
}

auto MembersOf(const controld& c) -> std::vector<member> {
  return c.replica.Read([](const config_tree& tree) { return tree.Members(); });
}

auto TakeRecords(controld& c, const record_run& run, log_offset known_end)
    -> void {
  if (run.records.empty()) {
    return;
  }
  const auto now = clock::now();
  const auto old_next = NextOffset(c);
  // Before they are applied: from here on this host must not vouch that it
  // does not know of them.
  c.tracker.RecordSeen(known_end);
  c.replica.ApplyRecords(run.from, run.records, now);
  const bool is_snapshot = run.from > old_next;
  if (is_snapshot) {
    c.store.Reset(NextOffset(c));
    c.snapshot_at = NextOffset(c).value;
  } else {
    c.store.Add(run.from, run.records);
    NoteSnapshots(c, run, old_next);
  }
  UpdateTracker(c);
  const auto entries = c.replica.Read([&](const config_tree& tree) {
    return AuditFrom(tree, is_snapshot ? tree.next_offset() : old_next);
  });
  LogAudit(entries);
  for (std::size_t i = 0; !is_snapshot && i < run.records.size(); ++i) {
    const log_offset offset(run.from.value + i);
    if (offset >= old_next && c.seen.IsWatched(run.records[i])) {
      c.seen.Note(run.records[i], {offset, VerdictAt(entries, offset), now});
    }
  }
}

auto UnixMicroseconds() -> std::uint64_t {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

auto MicrosecondsOf(duration length) -> std::uint64_t {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(length).count();
  return us < 0 ? 0 : static_cast<std::uint64_t>(us);
}

auto DurationOf(std::uint64_t us) -> duration {
  constexpr std::uint64_t kCenturyUs = 3'153'600'000'000'000;
  return std::chrono::microseconds(std::min(us, kCenturyUs));
}

auto LogFailure(log_level level, log_category category, const failure& error)
    -> void {
  Log(level, category, {error.message, error.step, error.peer});
}

}  // namespace dogwood
