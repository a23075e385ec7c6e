#include "src/freshness_base.h"

#include <algorithm>
#include <utility>

namespace dogwood {
namespace {

constexpr std::size_t kWordBits = 64;

/** Members of one region, in member order. */
auto InRegion(std::span<const member> members, const region_id& region)
    -> std::vector<const member*> {
  std::vector<const member*> found;
  for (const auto& m : members) {
    if (m.region == region) {
      found.push_back(&m);
    }
  }
  return found;
}

/** Region of the root. */
auto RootRegion(std::span<const member> members, const region_id& wanted)
    -> region_id {
  const bool has_any =
      std::any_of(members.begin(), members.end(),
                  [&wanted](const member& m) { return m.region == wanted; });
  return has_any ? wanted : members.front().region;
}

/** First hosts of the regions other than `root_region`. */
auto OtherHeads(std::span<const member> members, const region_id& root_region)
    -> std::vector<host_id> {
  std::vector<host_id> heads;
  const region_id* last = nullptr;
  for (const auto& m : members) {
    if (m.region != root_region && (last == nullptr || m.region != *last)) {
      heads.push_back(m.host);
    }
    last = &m.region;
  }
  return heads;
}

/** `a` - `b`, where time_point::min() stays so. */
auto Earlier(time_point a, duration b) -> time_point {
  return a < time_point::min() + b ? time_point::min() : a - b;
}

}  // namespace

auto rank_set::Add(std::size_t rank) -> void {
  if (words_.size() <= rank / kWordBits) {
    words_.resize(rank / kWordBits + 1);
  }
  words_[rank / kWordBits] |= std::uint64_t{1} << (rank % kWordBits);
}

auto rank_set::Unite(const rank_set& other) -> void {
  words_.resize(std::max(words_.size(), other.words_.size()));
  for (std::size_t i = 0; i < other.words_.size(); ++i) {
    words_[i] |= other.words_[i];
  }
}

auto rank_set::Has(std::size_t rank) const -> bool {
  return rank / kWordBits < words_.size() &&
         (words_[rank / kWordBits] >> (rank % kWordBits) & 1) != 0;
}

auto rank_set::HasAll(const rank_set& other) const -> bool {
  for (std::size_t i = 0; i < other.words_.size(); ++i) {
    const auto mine = i < words_.size() ? words_[i] : 0;
    if ((other.words_[i] & ~mine) != 0) {
      return false;
    }
  }
  return true;
}

auto rank_set::Covers(std::size_t count) const -> bool {
  for (std::size_t rank = 0; rank < count; ++rank) {
    if (!Has(rank)) {
      return false;
    }
  }
  return count > 0;
}

auto TreePosition(std::span<const member> members,
                  const host_id& self,
                  const region_id& root_region) -> tree_position {
  tree_position position;
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&self](const member& m) { return m.host == self; });
  if (found == members.end()) {
    return position;
  }
  const auto top_region = RootRegion(members, root_region);
  const auto local = InRegion(members, found->region);
  const auto at = static_cast<std::size_t>(
      std::find(local.begin(), local.end(), &*found) - local.begin());
  for (auto i = at; i > 0;) {
    i = (i - 1) / kTreeFanOut;
    position.ancestors.push_back(local[i]->host);
  }
  if (found->region != top_region) {
    position.ancestors.push_back(InRegion(members, top_region).front()->host);
  } else if (at == 0) {
    position.children = OtherHeads(members, top_region);
  }
  const auto first = at * kTreeFanOut + 1;
  for (auto i = first; i < first + kTreeFanOut && i < local.size(); ++i) {
    position.children.push_back(local[i]->host);
  }
  return position;
}

auto attestation_table::Take(const host_id& child, attestation given) -> void {
  vouches_[child] = std::move(given);
}

auto attestation_table::Merge(attestation own, time_point now) -> attestation {
  const auto oldest = Earlier(now, limit_);
  std::erase_if(vouches_,
                [&](const auto& entry) { return entry.second.as_of < oldest; });
  std::vector<const attestation*> usable;
  for (const auto& [child, given] : vouches_) {
    if (given.known_offset == own.known_offset) {
      usable.push_back(&given);
    }
  }
  std::sort(usable.begin(), usable.end(),
            [](const attestation* a, const attestation* b) {
              return a->as_of > b->as_of;
            });
  for (const auto* given : usable) {
    if (!own.covered.HasAll(given->covered)) {
      own.covered.Unite(given->covered);
      own.as_of = std::min(own.as_of, given->as_of);
    }
  }
  return own;
}

freshness_tracker::freshness_tracker(incarnation start,
                                     duration limit,
                                     time_point now)
    : start_(start),
      limit_(limit),
      vouch_from_(now + WithDrift(limit)),
      vouches_(limit) {}

auto freshness_tracker::RecordSeen(log_offset end) -> void {
  const std::lock_guard lock(mutex_);
  seen_ = std::max(seen_, end);
}

auto freshness_tracker::SetApplied(log_offset next,
                                   std::size_t rank,
                                   std::size_t members) -> void {
  const std::lock_guard lock(mutex_);
  applied_ = next;
  seen_ = std::max(seen_, next);
  rank_ = rank;
  members_ = members;
  if (rank == kNoRank) {
    joined_.reset();
    confirmed_ = false;
  }
}

auto freshness_tracker::SetJoined(log_offset join) -> void {
  const std::lock_guard lock(mutex_);
  joined_ = join;
  confirmed_ = false;
}

auto freshness_tracker::Confirm(log_offset peer_next) -> bool {
  const std::lock_guard lock(mutex_);
  if (joined_ && peer_next > *joined_) {
    confirmed_ = true;
  }
  return confirmed_;
}

auto freshness_tracker::ConfirmAlone() -> void {
  const std::lock_guard lock(mutex_);
  confirmed_ = joined_.has_value();
}

auto freshness_tracker::ApplyProof(const freshness_proof& proof) -> void {
  const std::lock_guard lock(mutex_);
  ApplyProofLocked(proof);
}

auto freshness_tracker::ApplyProofLocked(const freshness_proof& proof) -> void {
  if (proof.next <= applied_) {
    as_of_ = std::max(as_of_, proof.as_of);
  }
}

auto freshness_tracker::ApplyFleetAttestation(const attestation& fleet)
    -> void {
  const std::lock_guard lock(mutex_);
  ApplyFleetAttestationLocked(fleet);
}

auto freshness_tracker::ApplyFleetAttestationLocked(const attestation& fleet)
    -> void {
  applied_everywhere_ = std::max(applied_everywhere_, fleet.known_offset);
  if (!fleet_ || std::pair(fleet_->known_offset, fleet_->as_of) <
                     std::pair(fleet.known_offset, fleet.as_of)) {
    fleet_ = fleet;
  }
  ApplyProofLocked({fleet.known_offset, fleet.as_of});
}

auto freshness_tracker::RecordDaemonPull(const std::string& daemon,
                                         daemon_place place,
                                         log_offset from,
                                         time_point now) -> void {
  const std::lock_guard lock(mutex_);
  std::erase_if(daemons_, [now](const auto& entry) {
    return entry.second.place == daemon_place::kOtherHost &&
           entry.second.active_until < now;
  });
  daemons_[daemon] = {place, from, now + WithDrift(limit_)};
}

auto freshness_tracker::HandleChildAttestation(const host_id& child,
                                               log_offset known_offset,
                                               rank_set covered,
                                               duration age,
                                               const reply_echo& echo,
                                               time_point now) -> void {
  if (echo.start != start_ || echo.stamp > now || age > limit_ ||
      age < duration::zero() || echo.elapsed < duration::zero()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  const auto sent =
      std::min(now, echo.stamp + std::chrono::duration_cast<duration>(
                                     echo.elapsed / kDriftFactor));
  attestation given;
  given.known_offset = known_offset;
  given.covered = std::move(covered);
  given.as_of = sent - age;
  vouches_.Take(child, std::move(given));
}

auto freshness_tracker::MayAttest(time_point now) const -> bool {
  if (now < vouch_from_ || rank_ == kNoRank || seen_ > applied_ || !joined_) {
    return false;
  }
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
    const auto& pull = entry.second;
    return pull.from >= applied_ || pull.active_until < now;
  });
}

auto freshness_tracker::MergeAttestations(time_point now)
    -> std::optional<attestation> {
  const std::lock_guard lock(mutex_);
  if (!MayAttest(now)) {
    return std::nullopt;
  }
  attestation own;
  own.known_offset = applied_;
  own.covered.Add(rank_);
  own.as_of = now;
  auto merged = vouches_.Merge(std::move(own), now);
  if (merged.covered.Covers(members_)) {
    ApplyFleetAttestationLocked(merged);
  }
  return merged;
}

auto freshness_tracker::Proof() const -> freshness_proof {
  const std::lock_guard lock(mutex_);
  return {applied_, as_of_};
}

auto freshness_tracker::IsFresh(time_point now) const -> bool {
  const std::lock_guard lock(mutex_);
  return confirmed_ && as_of_ > Earlier(now, limit_);
}

auto freshness_tracker::IsConfirmed() const -> bool {
  const std::lock_guard lock(mutex_);
  return confirmed_;
}

auto freshness_tracker::FleetAttestation() const -> std::optional<attestation> {
  const std::lock_guard lock(mutex_);
  return fleet_;
}

auto freshness_tracker::AppliedEverywhere(log_offset offset) const -> bool {
  const std::lock_guard lock(mutex_);
  return applied_everywhere_ > offset;
}

auto freshness_tracker::AcceptedAt(time_point acknowledged) const
    -> time_point {
  return acknowledged + WithDrift(limit_);
}

auto freshness_tracker::HasActiveDaemon(time_point now) const -> bool {
  const std::lock_guard lock(mutex_);
  return std::any_of(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
    return entry.second.place == daemon_place::kOwnHost &&
           entry.second.active_until >= now;
  });
}

}  // namespace dogwood
