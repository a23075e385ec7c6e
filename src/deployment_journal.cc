#include "src/deployment_journal.h"

namespace dogwood {
namespace {

/** Number of removals that are remembered. Whoever lacks more of them gets all
 * registrations. */
constexpr std::size_t kMaxRemovals = 1024;

}  // namespace

auto registration_journal::Put(const std::string& id,
                               std::string text,
                               bool is_change) -> void {
  auto& stored = entries_[id];
  stored.text = std::move(text);
  if (is_change || stored.revision == 0) {
    stored.revision = ++revision_;
  }
}

auto registration_journal::Remove(const std::string& id) -> void {
  if (entries_.erase(id) == 0) {
    return;
  }
  removals_[++revision_] = id;
  if (removals_.size() > kMaxRemovals) {
    forgotten_ = removals_.begin()->first;
    removals_.erase(removals_.begin());
  }
}

auto registration_journal::Ids() const -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const auto& [id, stored] : entries_) {
    ids.push_back(id);
  }
  return ids;
}

auto registration_journal::ChangesSince(std::uint64_t revision) const
    -> registration_changes {
  registration_changes changes;
  changes.revision = revision_;
  changes.is_complete =
      revision == 0 || revision < forgotten_ || revision > revision_;
  const auto after = changes.is_complete ? 0 : revision;
  for (const auto& [id, stored] : entries_) {
    if (stored.revision > after) {
      changes.present.emplace_back(id, stored.text);
    }
  }
  if (!changes.is_complete) {
    for (auto it = removals_.upper_bound(after); it != removals_.end(); ++it) {
      if (!entries_.contains(it->second)) {
        changes.removed.push_back(it->second);
      }
    }
  }
  return changes;
}

}  // namespace dogwood
