/** Ownership of rate limits: how long this host acts as owner, and which host
 * to request tokens from. */
#ifndef SRC_ENTRYD_OWNER_H_
#define SRC_ENTRYD_OWNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Limits that this host acts as owner of. Uses no clock of its own; not
 * thread-safe.
 *
 * When a member change moves a limit to another host, the former owner goes on
 * granting tokens until the last proof from its time as owner expires. That is
 * as safe as not having received the change yet, a case that the new owner has
 * to wait for anyway. Otherwise no host would grant tokens during that wait. */
class owner_table {
 public:
  /** Updates the ownership of a limit from the replica's state. `is_owner`
   * says whether this host is owner by the current members; `fresh_until` is
   * the end of the proof's freshness and must be read before `is_owner`.
   * Returns since when this host has acted as owner without interruption;
   * nothing if it must not act. */
  auto UpdateOwnership(const workspace_id& limit,
                       bool is_owner,
                       time_point fresh_until,
                       time_point now) -> std::optional<time_point> {
    const auto found = ownerships_.find(limit);
    const bool is_acting =
        found != ownerships_.end() && now < found->second.until;
    if (!is_owner && !is_acting) {
      ownerships_.erase(limit);
      return std::nullopt;
    }
    // Another host may have been owner during an interruption, so the
    // ownership starts again.
    auto& current = is_acting ? found->second : ownerships_[limit];
    if (!is_acting) {
      current.since = now;
    }
    if (is_owner) {
      current.until = fresh_until;
    }
    return current.since;
  }

  /** Returns the limits that this host acts as owner of, and those whose
   * ownership has expired but was not yet updated. */
  auto Limits() const -> std::vector<workspace_id> {
    std::vector<workspace_id> limits;
    for (const auto& [limit, current] : ownerships_) {
      limits.push_back(limit);
    }
    return limits;
  }

 private:
  struct ownership {
    time_point since;  ///< Start of the uninterrupted ownership.
    time_point until;  ///< Expiry unless the replica confirms it again.
  };
  std::map<workspace_id, ownership> ownerships_;
};

/** Selects the host to request tokens of each limit from. Uses no clock of its
 * own; not thread-safe.
 *
 * The owner by the current members may not act yet. Until it does, requests go
 * to the host that granted tokens last, and the owner is tried again every
 * kOwnerRetryDelay. */
class granter_directory {
 public:
  /** Returns the address to send requests to. `owner` is the address of the
   * owner by the current members. */
  auto Choose(const workspace_id& limit,
              const std::string& owner,
              time_point now) const -> const std::string& {
    const auto found = granters_.find(limit);
    if (found == granters_.end()) {
      return owner;
    }
    const auto& entry = found->second;
    const bool refuses = entry.refuser == owner && now < entry.refuses_until;
    return refuses && entry.last ? *entry.last : owner;
  }

  /** Records that `granter` acts as owner of the limit. */
  auto RecordGrant(const workspace_id& limit, const std::string& granter)
      -> void {
    granters_[limit].last = granter;
  }

  /** Records that `refuser` does not act as owner of the limit. Returns
   * whether another host that may act as owner is known. */
  auto RecordRefusal(const workspace_id& limit,
                     const std::string& refuser,
                     time_point now) -> bool {
    auto& entry = granters_[limit];
    if (entry.last == refuser) {
      entry.last.reset();
      return false;
    }
    entry.refuser = refuser;
    entry.refuses_until = now + kOwnerRetryDelay;
    return entry.last.has_value();
  }

 private:
  /** Delay until an owner that does not act yet is tried again. */
  static constexpr std::chrono::milliseconds kOwnerRetryDelay{500};

  struct granter_state {
    std::optional<std::string> last;     ///< Host that granted tokens last.
    std::optional<std::string> refuser;  ///< Host that did not act as owner.
    time_point refuses_until;  ///< `refuser` is not tried before then.
  };
  std::map<workspace_id, granter_state> granters_;
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_OWNER_H_
