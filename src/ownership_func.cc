#include "src/ownership_func.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/text_func.h"

namespace dogwood {
namespace {

/** Returns the name of a kind in the hashed text. */
auto PrefixOf(owned_kind kind) -> std::string_view {
  switch (kind) {
    case owned_kind::kLimit:
      return "limit";
    case owned_kind::kPartition:
      return "partition";
    case owned_kind::kServer:
      return "server";
  }
  return "";
}

/** Returns the rank of a host for the resource whose name hashes to `name`; the
 * host with the highest rank owns it. The two hashes are mixed by the finaliser
 * of SplitMix64. Hashing both names together took most of the time, since a
 * daemon looks up the owners of thousands of servers each second. */
auto RankOf(const host_id& host, std::uint64_t name) -> std::uint64_t {
  auto rank = StableHash(host.value) ^ (name + 0x9e3779b97f4a7c15);
  rank = (rank ^ (rank >> 30)) * 0xbf58476d1ce4e5b9;
  rank = (rank ^ (rank >> 27)) * 0x94d049bb133111eb;
  return rank ^ (rank >> 31);
}

/** A rank and its host. */
using ranked_host = std::pair<std::uint64_t, const host_id*>;

/** Whether `a` precedes `b`: by rank, then by name, so that all hosts agree. */
auto PrecedesByRank(const ranked_host& a, const ranked_host& b) -> bool {
  return a.first != b.first ? a.first > b.first
                            : a.second->value < b.second->value;
}

/** Returns the live member with the highest rank, in `region` only if given;
 * nullptr if there is none. */
auto FindHighestRanked(std::span<const member> members,
                       std::uint64_t name,
                       const region_id* region) -> const host_id* {
  ranked_host best{0, nullptr};
  for (const auto& m : members) {
    if (m.state != member_state::kLive ||
        (region != nullptr && m.region != *region)) {
      continue;
    }
    const ranked_host candidate{RankOf(m.host, name), &m.host};
    if (best.second == nullptr || PrecedesByRank(candidate, best)) {
      best = candidate;
    }
  }
  return best.second;
}

}  // namespace

auto OwnerOf(std::span<const member> members,
             owned_kind kind,
             std::string_view name,
             const region_id& region) -> std::optional<host_id> {
  const auto name_hash =
      StableHash(std::string(PrefixOf(kind)) + '\n' + std::string(name));
  const host_id* owner = nullptr;
  if (!region.value.empty()) {
    owner = FindHighestRanked(members, name_hash, &region);
  }
  if (owner == nullptr) {
    owner = FindHighestRanked(members, name_hash, nullptr);
  }
  return owner == nullptr ? std::nullopt : std::optional(*owner);
}

auto TopOwners(std::span<const member> members,
               std::string_view name,
               std::size_t count) -> std::vector<host_id> {
  const auto name_hash = StableHash(name);
  std::vector<ranked_host> ranked;
  for (const auto& m : members) {
    if (m.state == member_state::kLive) {
      ranked.emplace_back(RankOf(m.host, name_hash), &m.host);
    }
  }
  const auto kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                    ranked.end(), PrecedesByRank);
  std::vector<host_id> top;
  for (std::size_t i = 0; i < kept; ++i) {
    top.push_back(*ranked[i].second);
  }
  return top;
}

}  // namespace dogwood
