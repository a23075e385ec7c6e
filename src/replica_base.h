/** A daemon's replica of the configuration and its freshness proof. */
#ifndef SRC_REPLICA_BASE_H_
#define SRC_REPLICA_BASE_H_

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include "src/config.h"
#include "src/link.h"
#include "src/unit_type.h"

namespace dogwood {

/** Maximum error of a clock's rate, as a fraction. */
constexpr double kClockDrift = 0.05;

/** Returns how long a new owner waits after it applied the change that made it
 * owner. The wait is measured by its own clock, which may run fast, and is long
 * enough for `freshness_limit` to pass on the former owner's clock, which may
 * run slow. */
auto OwnershipWait(std::chrono::milliseconds freshness_limit) -> duration;

/** History of the member sets that were in force on this host during the last
 * `wait`. Not thread-safe. */
class member_history {
 public:
  explicit member_history(duration wait) : wait_(wait) {}

  /** Records that the members are `members` from `now` on. */
  auto Record(std::vector<member> members, time_point now) -> void;
  /** The latest members; name, region and state only. */
  auto Latest() const -> std::span<const member>;
  /** Clears the history, because earlier member sets are unknown. */
  auto Clear() -> void { sets_.clear(); }
  /** Whether `self` was the owner by every set in force since `now` - wait. */
  auto IsOwner(const host_id& self,
               owned_kind kind,
               std::string_view name,
               time_point now,
               const region_id& region) const -> bool;

 private:
  /** A set of members, in force until the next one's `since`. */
  struct member_set {
    std::vector<member> members;  ///< Name, region and state only.
    time_point since;             ///< When this host applied it.
  };

  duration wait_;
  std::deque<member_set> sets_;  // Oldest first.
};

/** Replica of the configuration. Thread-safe; first in lock order.
 *
 * Ownership: a host is the owner of a resource only while its proof is fresh
 * and it was the owner by every set of members in force on it during the last
 * OwnershipWait(). Two hosts are never owner at once: let B be owner by a later
 * set than A. B applied the change that followed the last set by which it was
 * not the owner at least one wait ago. A has not applied that change, so A's
 * proof is from before B applied it, and expired before the wait ended. */
class config_replica {
 public:
  config_replica(host_id self, std::chrono::milliseconds freshness_limit);

  /** Calls `f(const config_tree&)` under the lock; `f` must not block. */
  template <typename F>
  auto Read(F&& f) const {
    const std::lock_guard lock(mutex_);
    return std::forward<F>(f)(tree_);
  }

  /** Whether the proof is fresh, so that this host may serve. */
  auto IsFresh(time_point now) const -> bool;
  /** End of the validity of the proof; min() if there is none. */
  auto FreshUntil() const -> time_point;
  /** Fails with kUnavailable and ran=no if the proof is not fresh. */
  auto RequireFresh(time_point now) const -> outcome<void>;
  /** Whether this host may act as the owner of a resource now. */
  auto IsOwner(owned_kind kind,
               std::string_view name,
               time_point now,
               const region_id& region = region_id()) const -> bool;
  /** Returns the owner by the latest known members, without regard to
   * freshness. */
  auto OwnerHost(owned_kind kind,
                 std::string_view name,
                 const region_id& region = region_id()) const
      -> std::optional<member>;
  auto self() const -> const host_id& { return self_; }

  // Commands, for RunReplica() and controld.

  /** Applies the records from offset `from` on; returns how many were new. A
   * single record beyond next_offset() is loaded as a snapshot with as_of
   * `from`. A snapshot that is not newer than the state is ignored. `now` must
   * not be before the records were received. */
  auto ApplyRecords(log_offset from,
                    const std::vector<std::string>& records,
                    time_point now) -> std::size_t;
  /** Applies a proof that no record at or beyond `next` was acknowledged before
   * `as_of`. Ignored while records before `next` are missing. */
  auto ApplyProof(log_offset next, time_point as_of) -> void;

 private:
  /** Loads a snapshot; returns false if it is not valid for `as_of`. */
  auto LoadNewer(log_offset as_of, const std::string& record, time_point now)
      -> bool;

  mutable std::mutex mutex_;
  host_id self_;
  std::chrono::milliseconds freshness_limit_;
  config_tree tree_;
  time_point proven_as_of_ = time_point::min();
  member_history history_;
};

/** Chooses the controld to pull from. Has no clock; not thread-safe.
 *
 * The host's own controld is preferred. While it does not answer, those of
 * other hosts are queried in turn, hosts of the own region first, so that the
 * daemons of a host keep serving without their controld. */
class pull_source {
 public:
  explicit pull_source(host_id self) : self_(std::move(self)) {}

  /** Whether Choose() needs the members; copying them is expensive. */
  auto UsesOtherHosts(time_point now) const -> bool;
  /** Returns the control link to pull from, nothing for the own controld. */
  auto Choose(const std::vector<member>& members, time_point now)
      -> std::optional<std::string>;
  /** Records that the controld chosen last has answered. */
  auto RecordAnswer() -> void;
  /** Records that the controld chosen last did not answer; another one is
   * chosen next. */
  auto RecordFailure(time_point now) -> void;

 private:
  host_id self_;
  bool chose_own_ = true;     // Whether the last choice was the own controld.
  std::size_t failures_ = 0;  // Since the own controld was last chosen.
  time_point retry_own_at_ = time_point::min();
};

/** Pulls records and proofs every `interval`, from the host's controld or from
 * another one while that does not answer. Never returns. Called by entryd and
 * batchd. `others` holds the links to other hosts. `on_change` runs after new
 * records were applied and must not throw. */
auto RunReplica(config_replica& replica,
                link_client& controld,
                link_table& others,
                std::string daemon,
                std::chrono::milliseconds interval,
                std::function<void()> on_change)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_REPLICA_BASE_H_
