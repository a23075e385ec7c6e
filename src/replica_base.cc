#include "src/replica_base.h"

#include <algorithm>
#include <cmath>

#include "src/error_func.h"

namespace dogwood {
namespace {

/** Most sets of members kept. With more changes than this during one wait no
 * host acts as owner until it ends, which is safe and bounds the memory. */
constexpr std::size_t kMaxSets = 64;

/** What OwnerOf() needs of the members. */
auto OwnershipPart(const std::vector<member>& members) -> std::vector<member> {
  std::vector<member> parts;
  parts.reserve(members.size());
  for (const auto& m : members) {
    member part;
    part.host = m.host;
    part.region = m.region;
    part.state = m.state;
    parts.push_back(std::move(part));
  }
  return parts;
}

}  // namespace

auto OwnershipWait(std::chrono::milliseconds freshness_limit) -> duration {
  constexpr double kFactor = (1 + kClockDrift) / (1 - kClockDrift);
  const auto wait = std::chrono::duration<double, duration::period>(
      duration(freshness_limit) * kFactor);
  return duration(static_cast<duration::rep>(std::ceil(wait.count())));
}

auto member_history::Note(std::vector<member> members, time_point now) -> void {
  sets_.push_back({OwnershipPart(members), now});
  while (sets_.size() > 1 &&
         (sets_[1].since + wait_ <= now || sets_.size() > kMaxSets)) {
    sets_.pop_front();
  }
}

auto member_history::Latest() const -> std::span<const member> {
  return sets_.empty() ? std::span<const member>() : sets_.back().members;
}

auto member_history::IsOwner(const host_id& self,
                             owned_kind kind,
                             std::string_view name,
                             time_point now,
                             const region_id& region) const -> bool {
  for (auto set = sets_.rbegin(); set != sets_.rend(); ++set) {
    if (OwnerOf(set->members, kind, name, region) != self) {
      return false;
    }
    if (set->since + wait_ <= now) {
      return true;
    }
  }
  return false;
}

config_replica::config_replica(host_id self,
                               std::chrono::milliseconds freshness_limit)
    : self_(std::move(self)),
      freshness_limit_(freshness_limit),
      history_(OwnershipWait(freshness_limit)) {}

auto config_replica::IsFresh(time_point now) const -> bool {
  return now < FreshUntil();
}

auto config_replica::FreshUntil() const -> time_point {
  const std::lock_guard lock(mutex_);
  return proven_as_of_ == time_point::min() ? proven_as_of_
                                            : proven_as_of_ + freshness_limit_;
}

auto config_replica::RequireFresh(time_point now) const -> outcome<void> {
  if (IsFresh(now)) {
    return {};
  }
  return failure{.code = error_code::kUnavailable,
                 .message =
                     "this host cannot tell whether its configuration "
                     "is still in force",
                 .ran = ran_state::kNo,
                 .step = "check freshness",
                 .peer = ""};
}

auto config_replica::IsOwner(owned_kind kind,
                             std::string_view name,
                             time_point now,
                             const region_id& region) const -> bool {
  const std::lock_guard lock(mutex_);
  return proven_as_of_ != time_point::min() &&
         now < proven_as_of_ + freshness_limit_ &&
         history_.IsOwner(self_, kind, name, now, region);
}

auto config_replica::OwnerHost(owned_kind kind,
                               std::string_view name,
                               const region_id& region) const
    -> std::optional<member> {
  const std::lock_guard lock(mutex_);
  const auto owner = OwnerOf(history_.Latest(), kind, name, region);
  const auto* found = owner ? tree_.FindMember(*owner) : nullptr;
  return found == nullptr ? std::nullopt : std::optional(*found);
}

auto config_replica::ApplyRecords(log_offset from,
                                  const std::vector<std::string>& records,
                                  time_point now) -> std::size_t {
  const std::lock_guard lock(mutex_);
  const auto next = tree_.next_offset().value;
  if (from.value > next) {
    const bool loaded =
        records.size() == 1 && LoadNewer(from, records.front(), now);
    return loaded ? 1 : 0;
  }
  // The state at `from` is no record at `from`.
  if (records.size() == 1 && IsCatchUpSnapshot(records.front())) {
    return 0;
  }
  std::size_t applied = 0;
  for (auto i = next - from.value; i < records.size(); ++i) {
    const auto version = tree_.members_version();
    tree_.Apply(tree_.next_offset(), records[i]);
    // Each set counts, also one that the next record of this batch ends: while
    // it was in force elsewhere, another host may have become owner.
    if (tree_.members_version() != version) {
      history_.Note(tree_.Members(), now);
    }
    ++applied;
  }
  return applied;
}

auto config_replica::LoadNewer(log_offset as_of,
                               const std::string& record,
                               time_point now) -> bool {
  config_tree loaded;
  const auto read = ToOutcome([&] { return loaded.LoadSnapshot(record); });
  if (!read || loaded.next_offset() != as_of) {
    return false;
  }
  tree_ = std::move(loaded);
  // Which members there were between the two states is not known.
  history_.Clear();
  history_.Note(tree_.Members(), now);
  return true;
}

auto config_replica::ApplyProof(log_offset next, time_point as_of) -> void {
  const std::lock_guard lock(mutex_);
  if (tree_.next_offset().value >= next.value) {
    proven_as_of_ = std::max(proven_as_of_, as_of);
  }
}

}  // namespace dogwood
