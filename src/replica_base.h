/** A daemon's copy of the configuration together with its freshness proof. */
#ifndef SRC_REPLICA_BASE_H_
#define SRC_REPLICA_BASE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "src/config.h"
#include "src/freshness.h"
#include "src/link.h"
#include "src/unit_type.h"

namespace dogwood {

/** Shared table of the configuration. Thread-safe; first in lock order.
 *
 * Ownership: a host is owner of a thing only while its proof is fresh and the
 * members have been unchanged, as it saw them, for longer than the freshness
 * limit plus drift, unless it owned the thing before the change too. */
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

  /** Applies records from `from` on; returns how many were new. */
  auto ApplyRecords(log_offset from,
                    const std::vector<std::string>& records,
                    time_point now) -> std::size_t;
  /** Takes a proof: nothing at or beyond `next` was acknowledged before
   * `as_of`. Ignored while records before `next` are missing. */
  auto TakeProof(log_offset next, time_point as_of) -> void;

 private:
  mutable std::mutex mutex_;
  host_id self_;
  std::chrono::milliseconds freshness_limit_;
  config_tree tree_;
  time_point proven_as_of_ = time_point::min();
  // Members before the last change, and when this host saw the change.
  std::vector<member> previous_members_;
  time_point members_changed_ = time_point::min();
};

/** Pulls from the host's controld every `period` for ever: records, proof.
 * Called by entryd and batchd. `on_change` runs after new records. */
auto RunReplica(config_replica& replica,
                link_client& controld,
                std::string daemon,
                std::chrono::milliseconds period,
                std::function<void()> on_change)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_REPLICA_BASE_H_
