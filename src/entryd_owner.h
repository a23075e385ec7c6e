/** How long this host gives tokens of the limits that it owns. */
#ifndef SRC_ENTRYD_OWNER_H_
#define SRC_ENTRYD_OWNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Limits that this host acts as owner of. Has no clock; not thread-safe.
 *
 * A host that learns of a member change which moves a limit acts on until the
 * proof that it had while it was owner expires. That is as safe as not having
 * heard of the change yet, which the new owner waits for in any case. Without
 * it nobody would give tokens for the whole of that wait. */
class owner_table {
 public:
  /** Takes what the replica says of a limit: whether this host is owner, and
   * until when the proof is fresh, read before that. Returns since when this
   * host has acted as owner without a break, nothing if it may not act. */
  auto Look(const workspace_id& limit,
            bool is_owner,
            time_point fresh_until,
            time_point now) -> std::optional<time_point> {
    const auto found = acting_.find(limit);
    const bool acts = found != acting_.end() && now < found->second.until;
    if (!is_owner && !acts) {
      acting_.erase(limit);
      return std::nullopt;
    }
    // After a break another host may have been owner: the time starts anew.
    auto& a = acts ? found->second : acting_[limit];
    if (!acts) {
      a.since = now;
    }
    if (is_owner) {
      a.until = fresh_until;
    }
    return a.since;
  }

  /** Limits that this host acts as owner of or has until lately. */
  auto Limits() const -> std::vector<workspace_id> {
    std::vector<workspace_id> limits;
    for (const auto& [limit, a] : acting_) {
      limits.push_back(limit);
    }
    return limits;
  }

 private:
  struct acting {
    time_point since;  ///< Start without a break.
    time_point until;  ///< End unless the replica renews it.
  };
  std::map<workspace_id, acting> acting_;
};

/** Whom to ask for tokens of each limit. Has no clock; not thread-safe.
 *
 * The owner by the members known here may not act yet. Then the host that gave
 * tokens last is asked, and the owner now and then. */
class granter_book {
 public:
  /** Address to ask, `owner` being that of the owner by the members. */
  auto Choose(const workspace_id& limit,
              const std::string& owner,
              time_point now) const -> const std::string& {
    const auto found = pages_.find(limit);
    if (found == pages_.end()) {
      return owner;
    }
    const auto& p = found->second;
    const bool refuses = p.refuser == owner && now < p.refuses_until;
    return refuses && p.last ? *p.last : owner;
  }

  /** `granter` acts as owner. */
  auto NoteGrant(const workspace_id& limit, const std::string& granter)
      -> void {
    pages_[limit].last = granter;
  }

  /** `refuser` does not act as owner. Returns whether another host may. */
  auto NoteRefusal(const workspace_id& limit,
                   const std::string& refuser,
                   time_point now) -> bool {
    auto& p = pages_[limit];
    if (p.last == refuser) {
      p.last.reset();
      return false;
    }
    p.refuser = refuser;
    p.refuses_until = now + kOwnerRetry;
    return p.last.has_value();
  }

 private:
  /** An owner that does not act yet is asked again after this. */
  static constexpr std::chrono::milliseconds kOwnerRetry{500};

  struct page {
    std::optional<std::string> last;     ///< Gave tokens last.
    std::optional<std::string> refuser;  ///< Did not act as owner.
    time_point refuses_until;            ///< Not asked before then.
  };
  std::map<workspace_id, page> pages_;
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_OWNER_H_
