/** Tests of the hand-over of limits between entry hosts. */
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "src/entryd_owner.h"
#include "src/replica.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using namespace dogwood;
using std::chrono::milliseconds;

constexpr milliseconds kFreshness{1000};
constexpr milliseconds kStep{50};
constexpr std::size_t kHosts = 3;
const workspace_id kLimit("w");
const time_point kStart = time_point() + std::chrono::hours(1);

/** One entry host with its copy of the configuration. */
struct entry_host {
  explicit entry_host(const std::string& name)
      : replica(host_id(name), kFreshness) {}
  config_replica replica;           ///< Configuration.
  owner_table owned;                ///< Under test.
  time_point pulls_again_at;        ///< Cut off or paused before then.
  std::optional<time_point> since;  ///< Last answer of `owned`.
};

/** Hosts that pull from one log and are cut off at random. */
class world {
 public:
  world() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<entry_host>(Name(i)));
      Append(JoinRecord(Writer(i), Member(i)));
    }
  }

  /** One step: perhaps a member change, then pulls and looks. */
  auto Step() -> void {
    now_ += kStep;
    if (*rc::gen::inRange(0, 15) == 0) {
      ChangeMember(*rc::gen::inRange<std::size_t>(0, kHosts));
    }
    std::size_t acting = 0;
    for (auto& host : hosts_) {
      if (*rc::gen::inRange(0, 20) == 0) {
        host->pulls_again_at = now_ + kStep * *rc::gen::inRange(1, 40);
      }
      if (now_ >= host->pulls_again_at) {
        Pull(host->replica);
      }
      const auto before = host->since;
      Look(*host);
      acting += host->since ? 1 : 0;
      if (host->since && before != host->since) {
        ++takeovers_;
      }
    }
    RC_ASSERT(acting <= 1);
  }

  /** How often a host began to act. */
  auto takeovers() const -> int { return takeovers_; }

 private:
  static auto Name(std::size_t i) -> std::string {
    return "h" + std::to_string(i);
  }
  auto Writer(std::size_t i) -> record_writer {
    return {host_id(Name(i)), incarnation(1), ++seq_[i]};
  }
  static auto Member(std::size_t i) -> member {
    member m;
    m.host = host_id(Name(i));
    m.start = incarnation(1);
    m.region = region_id("r");
    return m;
  }
  auto Append(std::string record) -> void { log_.push_back(std::move(record)); }
  /** Joins or drains a host. */
  auto ChangeMember(std::size_t i) -> void {
    const auto writer = Writer(i);
    drained_[i] = !drained_[i];
    Append(drained_[i] ? MemberRecord(writer, "member_drain", writer.host,
                                      incarnation(1))
                       : JoinRecord(writer, Member(i)));
  }
  auto Pull(config_replica& replica) -> void {
    const auto from = replica.Read(
        [](const config_tree& tree) { return tree.next_offset(); });
    const std::vector<std::string> records(
        log_.begin() + static_cast<std::ptrdiff_t>(from.value), log_.end());
    replica.ApplyRecords(from, records, now_);
    replica.ApplyProof(log_offset(log_.size()), now_);
  }
  auto Look(entry_host& host) -> void {
    const auto fresh_until = host.replica.FreshUntil();
    const bool is_owner =
        host.replica.IsOwner(owned_kind::kLimit, kLimit.value, now_);
    host.since = host.owned.Look(kLimit, is_owner, fresh_until, now_);
  }

  time_point now_ = kStart;
  std::vector<std::string> log_;
  std::vector<std::unique_ptr<entry_host>> hosts_;
  std::array<std::uint64_t, kHosts> seq_{};
  std::array<bool, kHosts> drained_{};
  int takeovers_ = 0;
};

int total_takeovers = 0;

/** Runs one random world. */
auto CheckOneOwner() -> void {
  world w;
  for (int i = 0; i < 300; ++i) {
    w.Step();
  }
  total_takeovers += w.takeovers();
}

}  // namespace

// Guards against two hosts that give tokens of one limit at the same time,
// which would let a workspace exceed its rate.
Test(entryd_owner, at_most_one_host_acts) {
  cr_assert(rc::check("one owner", CheckOneOwner));
  // The property would hold of hosts that never act.
  cr_assert_gt(total_takeovers, 100);
}

// Guards against nobody giving tokens while the new owner of a limit waits.
Test(entryd_owner, former_owner_acts_until_its_proof_expires) {
  owner_table owned;
  const auto fresh_until = kStart + kFreshness;
  cr_assert(owned.Look(kLimit, true, fresh_until, kStart) == kStart);
  const auto during = fresh_until - milliseconds(1);
  cr_assert(owned.Look(kLimit, false, during + kFreshness, during) == kStart);
  cr_assert(!owned.Look(kLimit, false, during + kFreshness, fresh_until));
  const auto later = fresh_until + kFreshness;
  cr_assert(owned.Look(kLimit, true, later + kFreshness, later) == later);
}

// Guards against a bucket that is taken up again after another host may have
// been owner.
Test(entryd_owner, a_break_starts_the_ownership_anew) {
  owner_table owned;
  owned.Look(kLimit, true, kStart + kFreshness, kStart);
  const auto later = kStart + kFreshness;
  cr_assert(owned.Look(kLimit, true, later + kFreshness, later) == later);
}

// Guards against asks that go only to an owner which does not act yet, and
// against asks that never return to it.
Test(entryd_owner, former_owner_is_asked_while_the_new_one_waits) {
  granter_book book;
  cr_assert_eq(book.Choose(kLimit, "a", kStart), "a");
  cr_assert(!book.NoteRefusal(kLimit, "a", kStart));
  cr_assert_eq(book.Choose(kLimit, "a", kStart), "a");
  book.NoteGrant(kLimit, "a");
  cr_assert_eq(book.Choose(kLimit, "b", kStart), "b");
  cr_assert(book.NoteRefusal(kLimit, "b", kStart));
  cr_assert_eq(book.Choose(kLimit, "b", kStart), "a");
  const auto later = kStart + std::chrono::seconds(1);
  cr_assert_eq(book.Choose(kLimit, "b", later), "b");
  cr_assert(book.NoteRefusal(kLimit, "b", later));
  cr_assert(!book.NoteRefusal(kLimit, "a", later));
  cr_assert_eq(book.Choose(kLimit, "b", later), "b");
}
