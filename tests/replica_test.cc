/** Tests of a daemon's copy of the configuration and of acting owners. */
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>

#include "src/replica.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using dogwood::config_replica;
using dogwood::duration;
using dogwood::host_id;
using dogwood::incarnation;
using dogwood::log_offset;
using dogwood::owned_kind;
using dogwood::time_point;
using std::chrono::milliseconds;

constexpr milliseconds kLimit{5000};
constexpr std::array<const char*, 3> kThings{"a", "b", "c"};

/** A reply on its way to a host. */
struct reply_in_flight {
  std::size_t host = 0;              ///< Who asked.
  std::int64_t arrives_us = 0;       ///< When, in real time.
  time_point sent;                   ///< When it asked, by its clock.
  log_offset from;                   ///< First record.
  std::vector<std::string> records;  ///< Records.
  log_offset next;                   ///< End that is proven.
  bool proven = false;               ///< Whether it has a proof.
  duration age{};                    ///< Age of the proof.
};

/** One host with a clock that runs up to kClockDrift too fast or too slow. */
struct simulated_host {
  simulated_host(std::string name, time_point start)
      : replica(host_id(std::move(name)), kLimit), now(start) {}
  config_replica replica;      ///< Copy.
  time_point now;              ///< Own clock.
  double rate = 1;             ///< Speed of the clock.
  std::int64_t asleep_us = 0;  ///< Neither asks nor receives until then.
};

/** Several hosts, one log, and a network that delays and loses. */
class fleet_simulation {
 public:
  explicit fleet_simulation(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      const auto start = time_point(std::chrono::hours(1 + Pick(0, 99)));
      hosts_.push_back(
          std::make_unique<simulated_host>("h" + std::to_string(i), start));
      Join(i);
    }
  }

  /** One event; returns how many (host, thing) pairs act as owner. */
  auto Step() -> int {
    Advance(Pick(0, 9) == 0 ? Pick(0, 1'500'000) : Pick(0, 120'000));
    const auto host = static_cast<std::size_t>(Pick(0, kHosts - 1));
    const auto event = Pick(0, 199);
    if (event < 4) {
      ChangeMembers();
    } else if (event < 8) {
      hosts_[host]->asleep_us = real_us_ + Pick(0, 12'000'000);
    } else if (event < 20) {
      hosts_[host]->rate = 1 + dogwood::kClockDrift * Pick(-1, 1);
    } else {
      Ask(host);
    }
    Deliver();
    return CountOwners();
  }

 private:
  static constexpr int kHosts = 4;

  /** Random number within [low, high]. */
  auto Pick(std::int64_t low, std::int64_t high) -> std::int64_t {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  /** Lets real time pass on every clock. */
  auto Advance(std::int64_t us) -> void {
    real_us_ += us;
    for (auto& host : hosts_) {
      host->now += std::chrono::nanoseconds(static_cast<std::int64_t>(
          static_cast<double>(us) * 1000 * host->rate));
    }
  }

  auto Writer() -> dogwood::record_writer {
    return {host_id("w"), incarnation(1), ++seq_};
  }

  auto Join(std::int64_t host) -> void {
    dogwood::member joining;
    joining.host = hosts_[host]->replica.self();
    joining.start = incarnation(++start_);
    log_.push_back(dogwood::JoinRecord(Writer(), joining));
    tree_.Apply(tree_.next_offset(), log_.back());
  }

  /** A host joins, or a member leaves, drains or is lost, in quick succession
   * at times. */
  auto ChangeMembers() -> void {
    for (auto n = Pick(1, 3); n > 0; --n) {
      const auto host = Pick(0, kHosts - 1);
      const auto* known = tree_.FindMember(hosts_[host]->replica.self());
      if (known == nullptr || Pick(0, 2) == 0) {
        Join(host);
        continue;
      }
      const auto* kind = Pick(0, 2) == 0 ? "member_drain" : "member_lost";
      log_.push_back(
          dogwood::MemberRecord(Writer(), kind, known->host, known->start));
      tree_.Apply(tree_.next_offset(), log_.back());
    }
  }

  /** A host asks the log or another host; the reply is as of when the request
   * arrives there, some time after it was sent. */
  auto Ask(std::size_t asking) -> void {
    auto& host = *hosts_[asking];
    if (host.asleep_us > real_us_ || Pick(0, 9) == 0) {
      return;
    }
    reply_in_flight reply;
    reply.host = asking;
    reply.sent = host.now;
    Advance(Pick(0, 3) == 0 ? Pick(0, 400'000) : Pick(0, 5'000));
    const auto peer = static_cast<std::size_t>(Pick(0, kHosts - 1));
    auto end = log_.size();
    if (peer != asking && Pick(0, 1) == 0) {
      const auto& parent = *hosts_[peer];
      end = NextOffset(parent);
      reply.proven = parent.replica.IsFresh(parent.now);
      if (reply.proven) {
        reply.age = parent.now - (parent.replica.FreshUntil() - kLimit);
      }
    } else {
      reply.proven = true;
    }
    reply.proven = reply.proven && Pick(0, 4) != 0;
    FillRecords(reply, NextOffset(host), end);
    const bool is_slow = Pick(0, 9) == 0;
    reply.arrives_us =
        real_us_ + (is_slow ? Pick(0, 7'000'000) : Pick(0, 9'000));
    flying_.push_back(std::move(reply));
  }

  static auto NextOffset(const simulated_host& host) -> std::size_t {
    return host.replica.Read([](const dogwood::config_tree& tree) {
      return tree.next_offset().value;
    });
  }

  /** Records of [from, end), in part at times, or a snapshot. */
  auto FillRecords(reply_in_flight& reply, std::size_t from, std::size_t end)
      -> void {
    reply.next = log_offset(end);
    reply.from = log_offset(from);
    if (from < end && Pick(0, 9) == 0) {
      dogwood::config_tree tree;
      for (std::size_t i = 0; i < end; ++i) {
        tree.Apply(log_offset(i), log_[i]);
      }
      reply.from = log_offset(end);
      reply.records = {tree.Snapshot({host_id("w"), incarnation(1), 0})};
      return;
    }
    const auto stop = Pick(0, 9) == 0 ? std::min(from + 1, end) : end;
    for (auto i = from; i < stop; ++i) {
      reply.records.push_back(log_[i]);
    }
  }

  /** Hands over the replies whose time has come, as RunReplica() does. */
  auto Deliver() -> void {
    std::erase_if(flying_, [this](const reply_in_flight& reply) {
      auto& host = *hosts_[reply.host];
      if (reply.arrives_us > real_us_ || host.asleep_us > real_us_) {
        return false;
      }
      host.replica.ApplyRecords(reply.from, reply.records, host.now);
      if (reply.proven) {
        host.replica.ApplyProof(reply.next, reply.sent - reply.age);
      }
      return true;
    });
  }

  /** Number of acting owners of all things; -1 if a thing has two. */
  auto CountOwners() -> int {
    int total = 0;
    for (const auto* thing : kThings) {
      int owners = 0;
      for (const auto& host : hosts_) {
        owners +=
            host->replica.IsOwner(owned_kind::kLimit, thing, host->now) ? 1 : 0;
      }
      if (owners > 1) {
        return -1;
      }
      total += owners;
    }
    return total;
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<simulated_host>> hosts_;
  std::vector<std::string> log_;
  dogwood::config_tree tree_;  // Fold of the whole log.
  std::vector<reply_in_flight> flying_;
  std::int64_t real_us_ = 0;
  std::uint64_t seq_ = 0;
  std::uint64_t start_ = 0;
};

/** Checks that no thing ever has two acting owners, and that the run is one in
 * which things have owners at all. */
auto CheckOneOwner() -> void {
  constexpr int kSteps = 2000;
  fleet_simulation fleet(*rc::gen::arbitrary<std::uint64_t>());
  int acting = 0;
  for (int i = 0; i < kSteps; ++i) {
    const auto owners = fleet.Step();
    RC_ASSERT(owners >= 0);
    acting += owners;
  }
  RC_ASSERT(acting > kSteps / 10);
}

/** A join record of `host`. */
auto JoinOf(const std::string& host, std::uint64_t seq) -> std::string {
  dogwood::member joining;
  joining.host = host_id(host);
  joining.start = incarnation(1);
  return dogwood::JoinRecord({host_id("w"), incarnation(1), seq}, joining);
}

}  // namespace

// Guards against two hosts acting as owner of one thing at one instant, under
// delays, pauses, lost proofs, and clocks that run up to 5% fast or slow.
Test(replica, a_thing_never_has_two_acting_owners) {
  cr_assert(rc::check(CheckOneOwner));
}

// Guards against serving on a proof that covers records not yet applied, and
// against a proof that never expires.
Test(replica, a_proof_counts_only_with_its_records_and_expires) {
  config_replica replica(host_id("a"), kLimit);
  const auto now = time_point(std::chrono::hours(1));
  cr_assert_not(replica.IsFresh(now));
  replica.ApplyProof(log_offset(1), now);
  cr_assert_not(replica.IsFresh(now));
  cr_assert_eq(replica.ApplyRecords(log_offset(0), {JoinOf("a", 1)}, now), 1);
  cr_assert_not(replica.IsFresh(now));
  replica.ApplyProof(log_offset(1), now);
  replica.ApplyProof(log_offset(1), now - kLimit);
  cr_assert(replica.IsFresh(now + kLimit - milliseconds(1)));
  cr_assert_not(replica.IsFresh(now + kLimit));
  const auto refused = replica.RequireFresh(now + kLimit);
  cr_assert(refused.error().ran == dogwood::ran_state::kNo);
}

// Guards against a late or repeated reply that undoes what was applied.
Test(replica, old_replies_and_snapshots_change_nothing) {
  config_replica replica(host_id("a"), kLimit);
  const auto now = time_point(std::chrono::hours(1));
  dogwood::config_tree early;
  early.Apply(log_offset(0), JoinOf("a", 1));
  const auto old_snapshot = early.Snapshot({host_id("w"), incarnation(1), 9});
  const std::vector<std::string> records{JoinOf("a", 1), JoinOf("b", 2)};
  cr_assert_eq(replica.ApplyRecords(log_offset(0), records, now), 2);
  cr_assert_eq(replica.ApplyRecords(log_offset(0), records, now), 0);
  cr_assert_eq(replica.ApplyRecords(log_offset(1), {old_snapshot}, now), 0);
  cr_assert_eq(replica.ApplyRecords(log_offset(5), {old_snapshot}, now), 0);
  cr_assert_eq(replica.ApplyRecords(log_offset(5), {JoinOf("c", 3)}, now), 0);
  const auto same = replica.Read([](const dogwood::config_tree& tree) {
    return tree.Snapshot({host_id("w"), incarnation(1), 0});
  });
  cr_assert_eq(replica.ApplyRecords(log_offset(2), {same}, now), 0);
  cr_assert(replica.OwnerHost(owned_kind::kLimit, "thing").has_value());
  const auto members = replica.Read(
      [](const dogwood::config_tree& tree) { return tree.Members().size(); });
  cr_assert_eq(members, 2);
}

// Guards against daemons that stop serving, or ask one dead host for ever,
// while their own controld does not answer.
Test(replica, other_controlds_are_asked_while_the_own_one_is_silent) {
  std::vector<dogwood::member> members(4);
  const std::array<const char*, 4> hosts{"a", "b", "c", "d"};
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].host = host_id(hosts[i]);
    members[i].region = dogwood::region_id(i == 1 ? "far" : "near");
    members[i].control_link = std::string("link ") + hosts[i];
  }
  const auto start = time_point(std::chrono::hours(1));
  dogwood::pull_source source(host_id("a"));
  cr_assert_not(source.Choose(members, start).has_value());
  source.NoteFailure(start);
  cr_assert_eq(source.Choose(members, start).value(), "link c");
  source.NoteAnswer();
  cr_assert_eq(source.Choose(members, start).value(), "link c");
  source.NoteFailure(start);
  cr_assert_eq(source.Choose(members, start).value(), "link d");
  source.NoteFailure(start);
  cr_assert_eq(source.Choose(members, start).value(), "link b");
  const auto later = start + std::chrono::minutes(1);
  cr_assert_not(source.Choose(members, later).has_value());
  source.NoteAnswer();
  cr_assert_not(source.Choose(members, start).has_value());
}

// Guards against counting an ownership over a gap that a snapshot hides, in
// which another host may have become owner.
Test(replica, an_ownership_from_before_a_snapshot_does_not_count) {
  config_replica replica(host_id("a"), kLimit);
  auto now = time_point(std::chrono::hours(1));
  const auto wait = dogwood::OwnershipWait(kLimit);
  const auto is_owner = [&](log_offset next) {
    replica.ApplyProof(next, now);
    return replica.IsOwner(owned_kind::kLimit, "thing", now);
  };
  dogwood::config_tree tree;
  tree.Apply(log_offset(0), JoinOf("a", 1));
  replica.ApplyRecords(log_offset(0), {JoinOf("a", 1)}, now);
  cr_assert_not(is_owner(log_offset(1)));
  now += wait;
  cr_assert(is_owner(log_offset(1)));
  const dogwood::record_writer writer{host_id("w"), incarnation(1), 2};
  tree.Apply(log_offset(1),
             dogwood::MemberRecord(writer, "member_lost", host_id("a"),
                                   incarnation(1)));
  tree.Apply(log_offset(2), JoinOf("a", 3));
  const auto snapshot = tree.Snapshot({host_id("w"), incarnation(1), 0});
  cr_assert_eq(replica.ApplyRecords(log_offset(3), {snapshot}, now), 1);
  cr_assert_not(is_owner(log_offset(3)));
  now += wait;
  cr_assert(is_owner(log_offset(3)));
}
