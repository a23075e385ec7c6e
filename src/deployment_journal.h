/** Registrations of backend servers with the order of their changes, so that a
 * host can pass on what another one lacks. */
#ifndef SRC_DEPLOYMENT_JOURNAL_H_
#define SRC_DEPLOYMENT_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwood {

/** Changes of registrations after a revision. */
struct registration_changes {
  /** Whether `present` lists all registrations, so that others are gone. */
  bool is_complete = false;
  std::vector<std::pair<std::string, std::string>> present;  ///< Id and text.
  std::vector<std::string> removed;                          ///< Ids.
  std::uint64_t revision = 0;  ///< Revision that the changes lead to.
};

/** Registrations as stored, by server id. Servers write theirs about once a
 * second, mostly with an unchanged meaning; only changes get a revision. Not
 * thread-safe. */
class registration_journal {
 public:
  /** Stores a registration. `is_change` tells whether its meaning differs from
   * that of the stored one. */
  auto Put(const std::string& id, std::string text, bool is_change) -> void;
  /** Removes a registration. */
  auto Remove(const std::string& id) -> void;

  auto Contains(const std::string& id) const -> bool {
    return entries_.contains(id);
  }
  /** Whether a registration is stored with exactly this text. */
  auto Contains(const std::string& id, std::string_view text) const -> bool {
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second.text == text;
  }
  /** Returns the ids of all registrations. */
  auto Ids() const -> std::vector<std::string>;
  /** Number of the newest change; 0 before the first. */
  auto revision() const -> std::uint64_t { return revision_; }
  /** Returns the changes after `revision`; 0 asks for all registrations. */
  auto ChangesSince(std::uint64_t revision) const -> registration_changes;

 private:
  struct entry {
    std::string text;
    std::uint64_t revision = 0;  ///< Revision of its newest change.
  };
  std::map<std::string, entry> entries_;
  /** Revisions of the latest removals. */
  std::map<std::uint64_t, std::string> removals_;
  std::uint64_t revision_ = 0;
  /** Removals up to this revision have been forgotten. */
  std::uint64_t forgotten_ = 0;
};

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_JOURNAL_H_
