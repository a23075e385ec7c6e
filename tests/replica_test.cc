/** Tests of a daemon's replica of the configuration and of ownership. */
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

constexpr milliseconds kFreshnessLimit{5000};
constexpr std::array<const char*, 3> kResources{"a", "b", "c"};

/** A reply in flight to a host. */
struct reply_in_flight {
  std::size_t host = 0;         ///< Receiver.
  std::int64_t arrives_us = 0;  ///< Arrival in real time.
  time_point sent;              ///< When the request was sent, by its clock.
  log_offset from;              ///< Offset of the first record.
  std::vector<std::string> records;
  log_offset next;      ///< End of the proven records.
  bool proven = false;  ///< Whether it has a proof.
  duration age{};       ///< Age of the proof.
};

/** A simulated host. Its clock runs up to kClockDrift too fast or too slow. */
struct simulated_host {
  simulated_host(std::string name, time_point start)
      : replica(host_id(std::move(name)), kFreshnessLimit), now(start) {}
  config_replica replica;            ///< Under test.
  time_point now;                    ///< Reading of its clock.
  double rate = 1;                   ///< Rate of its clock.
  std::int64_t paused_until_us = 0;  ///< Neither sends nor receives before.
};

/** Simulation of several hosts, one log, and a network that delays and loses
 * messages. */
class fleet_simulation {
 public:
  explicit fleet_simulation(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      const auto start = time_point(std::chrono::hours(1 + Random(0, 99)));
      hosts_.push_back(
          std::make_unique<simulated_host>("h" + std::to_string(i), start));
      Join(i);
    }
  }

  /** Simulates one event; returns the number of (host, resource) pairs in which
   * the host acts as owner, or -1 if a resource has two owners. */
  auto Step() -> int {
    Advance(Random(0, 9) == 0 ? Random(0, 1'500'000) : Random(0, 120'000));
    const auto host = static_cast<std::size_t>(Random(0, kHosts - 1));
    const auto event = Random(0, 199);
    if (event < 4) {
      ChangeMembers();
    } else if (event < 8) {
      hosts_[host]->paused_until_us = real_us_ + Random(0, 12'000'000);
    } else if (event < 20) {
      hosts_[host]->rate = 1 + dogwood::kClockDrift * Random(-1, 1);
    } else {
      SendPull(host);
    }
    Deliver();
    return CountOwners();
  }

 private:
  static constexpr int kHosts = 4;

  /** Returns a random number within [low, high]. */
  auto Random(std::int64_t low, std::int64_t high) -> std::int64_t {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  /** Advances real time and all clocks. */
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

  /** Makes one to three changes in quick succession: a host joins, or a member
   * drains or is lost. */
  auto ChangeMembers() -> void {
    for (auto n = Random(1, 3); n > 0; --n) {
      const auto host = Random(0, kHosts - 1);
      const auto* known = tree_.FindMember(hosts_[host]->replica.self());
      if (known == nullptr || Random(0, 2) == 0) {
        Join(host);
        continue;
      }
      const auto* kind = Random(0, 2) == 0 ? "member_drain" : "member_lost";
      log_.push_back(
          dogwood::MemberRecord(Writer(), kind, known->host, known->start));
      tree_.Apply(tree_.next_offset(), log_.back());
    }
  }

  /** Sends a pull from a host to the log or to another host. The reply has the
   * state at the arrival of the request, some time after it was sent. */
  auto SendPull(std::size_t requester) -> void {
    auto& host = *hosts_[requester];
    if (host.paused_until_us > real_us_ || Random(0, 9) == 0) {
      return;
    }
    reply_in_flight reply;
    reply.host = requester;
    reply.sent = host.now;
    Advance(Random(0, 3) == 0 ? Random(0, 400'000) : Random(0, 5'000));
    const auto peer = static_cast<std::size_t>(Random(0, kHosts - 1));
    auto end = log_.size();
    if (peer != requester && Random(0, 1) == 0) {
      const auto& parent = *hosts_[peer];
      end = NextOffset(parent);
      reply.proven = parent.replica.IsFresh(parent.now);
      if (reply.proven) {
        reply.age =
            parent.now - (parent.replica.FreshUntil() - kFreshnessLimit);
      }
    } else {
      reply.proven = true;
    }
    reply.proven = reply.proven && Random(0, 4) != 0;
    FillRecords(reply, NextOffset(host), end);
    const bool is_slow = Random(0, 9) == 0;
    reply.arrives_us =
        real_us_ + (is_slow ? Random(0, 7'000'000) : Random(0, 9'000));
    in_flight_.push_back(std::move(reply));
  }

  static auto NextOffset(const simulated_host& host) -> std::size_t {
    return host.replica.Read([](const dogwood::config_tree& tree) {
      return tree.next_offset().value;
    });
  }

  /** Fills in the records of [from, end), only the first of them at times, or a
   * snapshot. */
  auto FillRecords(reply_in_flight& reply, std::size_t from, std::size_t end)
      -> void {
    reply.next = log_offset(end);
    reply.from = log_offset(from);
    if (from < end && Random(0, 9) == 0) {
      dogwood::config_tree tree;
      for (std::size_t i = 0; i < end; ++i) {
        tree.Apply(log_offset(i), log_[i]);
      }
      reply.from = log_offset(end);
      reply.records = {tree.Snapshot({host_id("w"), incarnation(1), 0})};
      return;
    }
    const auto stop = Random(0, 9) == 0 ? std::min(from + 1, end) : end;
    for (auto i = from; i < stop; ++i) {
      reply.records.push_back(log_[i]);
    }
  }

  /** Delivers the replies that are due, as RunReplica() does. */
  auto Deliver() -> void {
    std::erase_if(in_flight_, [this](const reply_in_flight& reply) {
      auto& host = *hosts_[reply.host];
      if (reply.arrives_us > real_us_ || host.paused_until_us > real_us_) {
        return false;
      }
      host.replica.ApplyRecords(reply.from, reply.records, host.now);
      if (reply.proven) {
        host.replica.ApplyProof(reply.next, reply.sent - reply.age);
      }
      return true;
    });
  }

  /** Returns the number of acting owners of all resources; -1 if a resource has
   * two. */
  auto CountOwners() -> int {
    int total = 0;
    for (const auto* resource : kResources) {
      int owners = 0;
      for (const auto& host : hosts_) {
        owners += host->replica.IsOwner(owned_kind::kLimit, resource, host->now)
                      ? 1
                      : 0;
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
  dogwood::config_tree tree_;  // Projection of the complete log.
  std::vector<reply_in_flight> in_flight_;
  std::int64_t real_us_ = 0;
  std::uint64_t seq_ = 0;
  std::uint64_t start_ = 0;
};

/** Property: no resource ever has two acting owners. Also checks that resources
 * have owners in at least a tenth of the steps. */
auto CheckSingleOwner() -> void {
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

/** Returns a join record of `host`. */
auto MakeJoinRecord(const std::string& host, std::uint64_t seq) -> std::string {
  dogwood::member joining;
  joining.host = host_id(host);
  joining.start = incarnation(1);
  return dogwood::JoinRecord({host_id("w"), incarnation(1), seq}, joining);
}

}  // namespace

// Guards against two hosts that act as owner of one resource at the same time,
// with delays, pauses, lost proofs, and clocks that run up to 5% fast or slow.
Test(replica, a_resource_never_has_two_acting_owners) {
  cr_assert(rc::check(CheckSingleOwner));
}

// Guards against serving on a proof of records that are not applied yet, and
// against a proof that never expires.
Test(replica, a_proof_counts_only_with_its_records_and_expires) {
  config_replica replica(host_id("a"), kFreshnessLimit);
  const auto now = time_point(std::chrono::hours(1));
  cr_assert_not(replica.IsFresh(now));
  replica.ApplyProof(log_offset(1), now);
  cr_assert_not(replica.IsFresh(now));
  cr_assert_eq(
      replica.ApplyRecords(log_offset(0), {MakeJoinRecord("a", 1)}, now), 1);
  cr_assert_not(replica.IsFresh(now));
  replica.ApplyProof(log_offset(1), now);
  replica.ApplyProof(log_offset(1), now - kFreshnessLimit);
  cr_assert(replica.IsFresh(now + kFreshnessLimit - milliseconds(1)));
  cr_assert_not(replica.IsFresh(now + kFreshnessLimit));
  const auto refused = replica.RequireFresh(now + kFreshnessLimit);
  cr_assert(refused.error().ran == dogwood::ran_state::kNo);
}

// Guards against a late or duplicate reply that reverts applied records.
Test(replica, old_replies_and_snapshots_change_nothing) {
  config_replica replica(host_id("a"), kFreshnessLimit);
  const auto now = time_point(std::chrono::hours(1));
  dogwood::config_tree early;
  early.Apply(log_offset(0), MakeJoinRecord("a", 1));
  const auto old_snapshot = early.Snapshot({host_id("w"), incarnation(1), 9});
  const std::vector<std::string> records{MakeJoinRecord("a", 1),
                                         MakeJoinRecord("b", 2)};
  cr_assert_eq(replica.ApplyRecords(log_offset(0), records, now), 2);
  cr_assert_eq(replica.ApplyRecords(log_offset(0), records, now), 0);
  cr_assert_eq(replica.ApplyRecords(log_offset(1), {old_snapshot}, now), 0);
  cr_assert_eq(replica.ApplyRecords(log_offset(5), {old_snapshot}, now), 0);
  cr_assert_eq(
      replica.ApplyRecords(log_offset(5), {MakeJoinRecord("c", 3)}, now), 0);
  const auto same = replica.Read([](const dogwood::config_tree& tree) {
    return tree.Snapshot({host_id("w"), incarnation(1), 0});
  });
  cr_assert_eq(replica.ApplyRecords(log_offset(2), {same}, now), 0);
  cr_assert(replica.OwnerHost(owned_kind::kLimit, "thing").has_value());
  const auto members = replica.Read(
      [](const dogwood::config_tree& tree) { return tree.Members().size(); });
  cr_assert_eq(members, 2);
}

// Guards against daemons that stop serving, or query one failed host forever,
// while their own controld does not answer.
Test(replica, other_controlds_are_queried_while_the_own_one_does_not_answer) {
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
  source.RecordFailure(start);
  cr_assert_eq(source.Choose(members, start).value(), "link c");
  source.RecordAnswer();
  cr_assert_eq(source.Choose(members, start).value(), "link c");
  source.RecordFailure(start);
  cr_assert_eq(source.Choose(members, start).value(), "link d");
  source.RecordFailure(start);
  cr_assert_eq(source.Choose(members, start).value(), "link b");
  const auto later = start + std::chrono::minutes(1);
  cr_assert_not(source.Choose(members, later).has_value());
  source.RecordAnswer();
  cr_assert_not(source.Choose(members, start).has_value());
}

// Guards against continuing an ownership across a snapshot: another host may
// have become owner in between.
Test(replica, an_ownership_from_before_a_snapshot_does_not_count) {
  config_replica replica(host_id("a"), kFreshnessLimit);
  auto now = time_point(std::chrono::hours(1));
  const auto wait = dogwood::OwnershipWait(kFreshnessLimit);
  const auto is_owner = [&](log_offset next) {
    replica.ApplyProof(next, now);
    return replica.IsOwner(owned_kind::kLimit, "thing", now);
  };
  dogwood::config_tree tree;
  tree.Apply(log_offset(0), MakeJoinRecord("a", 1));
  replica.ApplyRecords(log_offset(0), {MakeJoinRecord("a", 1)}, now);
  cr_assert_not(is_owner(log_offset(1)));
  now += wait;
  cr_assert(is_owner(log_offset(1)));
  const dogwood::record_writer writer{host_id("w"), incarnation(1), 2};
  tree.Apply(log_offset(1),
             dogwood::MemberRecord(writer, "member_lost", host_id("a"),
                                   incarnation(1)));
  tree.Apply(log_offset(2), MakeJoinRecord("a", 3));
  const auto snapshot = tree.Snapshot({host_id("w"), incarnation(1), 0});
  cr_assert_eq(replica.ApplyRecords(log_offset(3), {snapshot}, now), 1);
  cr_assert_not(is_owner(log_offset(3)));
  now += wait;
  cr_assert(is_owner(log_offset(3)));
}
