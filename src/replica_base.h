/** A daemon's copy of the configuration together with its freshness proof. */
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

/** Most that the rate of a clock is off, as a share. */
constexpr double kClockDrift = 0.05;

/** How long a new owner waits after it saw the change that made it owner. By
 * its own clock, which may run fast, that is long enough for `freshness_limit`
 * to pass on the former owner's clock, which may run slow. */
auto OwnershipWait(std::chrono::milliseconds freshness_limit) -> duration;

/** The sets of members that this host saw during the last wait. */
class member_history {
 public:
  explicit member_history(duration wait) : wait_(wait) {}

  /** Notes that the members are `members` from `now` on. */
  auto Note(std::vector<member> members, time_point now) -> void;
  /** The members now; name, region and state only. */
  auto Latest() const -> std::span<const member>;
  /** Forgets everything, for members whose past is unknown. */
  auto Clear() -> void { sets_.clear(); }
  /** Whether `self` was the owner by every set since `now` - wait. */
  auto IsOwner(const host_id& self,
               owned_kind kind,
               std::string_view name,
               time_point now,
               const region_id& region) const -> bool;

 private:
  /** One set; in force until the next one's `since`. */
  struct member_set {
    std::vector<member> members;  ///< Name, region and state only.
    time_point since;             ///< When this host saw it.
  };

  duration wait_;
  std::deque<member_set> sets_;  // Oldest first.
};

/** Shared table of the configuration. Thread-safe; first in lock order.
 *
 * Ownership: a host is owner of a thing only while its proof is fresh and while
 * it was the owner by every set of members that it saw during the last
 * OwnershipWait(). Two hosts are never owner at once: let B be owner by a later
 * set than A. B saw the change after the last set by which it was not the owner
 * at least one wait ago. A has not applied that change, so its proof is from
 * before B saw it, and expired before the wait ended. */
class config_replica {
 public:
  config_replica(host_id self, std::chrono::milliseconds freshness_limit);

  /** Calls `f(const config_tree&)` under the lock; `f` must not block. */
  template <typename F>
  auto Read(F&& f) const {
    const std::lock_guard lock(mutex_);
    return std::forward<F>(f)(tree_);
  }

  /** Whether the proof is young enough to serve on. */
  auto IsFresh(time_point now) const -> bool;
  /** Until when this host may serve on what it knows. */
  auto FreshUntil() const -> time_point;
  /** kUnavailable with ran=no if not fresh. */
  auto RequireFresh(time_point now) const -> outcome<void>;
  /** Whether this host may act as owner now. */
  auto IsOwner(owned_kind kind,
               std::string_view name,
               time_point now,
               const region_id& region = region_id()) const -> bool;
  /** Which host is owner by the members known here; no proof needed. */
  auto OwnerHost(owned_kind kind,
                 std::string_view name,
                 const region_id& region = region_id()) const
      -> std::optional<member>;
  auto self() const -> const host_id& { return self_; }

  // Commands, for RunReplica() and controld.

  /** Applies records from `from` on; returns how many were new. A single
   * record beyond next_offset() is taken as a snapshot with as_of `from`. A
   * snapshot that is not newer than the state is ignored. `now` must not be
   * before the records were received. */
  auto ApplyRecords(log_offset from,
                    const std::vector<std::string>& records,
                    time_point now) -> std::size_t;
  /** Takes a proof: nothing at or beyond `next` was acknowledged before
   * `as_of`. Ignored while records before `next` are missing. */
  auto ApplyProof(log_offset next, time_point as_of) -> void;

 private:
  /** Loads a snapshot that is newer than the state; false if it is not. */
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
 * The host's own is asked first. While it does not answer, those of other hosts
 * are asked in turn, nearest first, so that the daemons of a host go on serving
 * without their controld. */
class pull_source {
 public:
  explicit pull_source(host_id self) : self_(std::move(self)) {}

  /** Whether Choose() wants the members; they are many to copy. */
  auto AsksOthers(time_point now) const -> bool;
  /** Control link of the host to ask, nothing for the own controld. */
  auto Choose(const std::vector<member>& members, time_point now)
      -> std::optional<std::string>;
  /** Notes that the one chosen last has answered. */
  auto NoteAnswer() -> void;
  /** Notes that the one chosen last did not answer; another is next. */
  auto NoteFailure(time_point now) -> void;

 private:
  host_id self_;
  bool asked_own_ = true;     // The last choice.
  std::size_t failures_ = 0;  // Since the own controld was asked last.
  time_point own_retry_at_ = time_point::min();
};

/** Pulls from the host's controld, or from another one while that does not
 * answer, every `period` for ever: records, proof. Called by entryd and batchd.
 * `others` has the links to other hosts. `on_change` runs after new records and
 * must not throw. */
auto RunReplica(config_replica& replica,
                link_client& controld,
                link_table& others,
                std::string daemon,
                std::chrono::milliseconds period,
                std::function<void()> on_change)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_REPLICA_BASE_H_
