#include "src/fleet_func.h"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <cmath>
#include <functional>
#include <set>
#include <tuple>

#include "src/core.h"

namespace dogwood {
namespace {

constexpr std::string_view kTopicPrefix = "jobs-";
constexpr std::string_view kMemberTopicPrefix = "hosts-";
/** Separator of the fields in a member's name. */
constexpr char kSeparator = '|';
/** Processor cores are encoded in thousandths. */
constexpr double kShareScale = 1000;
/** Minimum number of addresses in an answer if there are more members
 * elsewhere: a caller with a single address cannot fail over. */
constexpr std::size_t kMinAddresses = 2;

/** Returns the number of partitions of all topics. */
auto PartitionCount(std::uint32_t per_topic) -> std::size_t {
  return std::size_t{kJobTopics} * per_topic;
}

/** Parses `text` as an unsigned integer; nothing if any of it is left over. */
auto ParseNumber(std::string_view text) -> std::optional<std::uint32_t> {
  std::uint32_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

auto GroupTopics() -> std::vector<std::string> {
  std::vector<std::string> topics;
  for (std::uint32_t i = 0; i < kJobTopics; ++i) {
    topics.push_back(std::string(kTopicPrefix) + std::to_string(i));
  }
  for (std::uint32_t i = 0; i < kMemberTopics; ++i) {
    topics.push_back(std::string(kMemberTopicPrefix) + std::to_string(i));
  }
  return topics;
}

auto LocatePartition(partition_id partition, std::uint32_t per_topic)
    -> log_partition {
  return {
      std::string(kTopicPrefix) + std::to_string(partition.value / per_topic),
      partition.value % per_topic};
}

auto PartitionAt(const log_partition& where, std::uint32_t per_topic)
    -> std::optional<partition_id> {
  if (!where.topic.starts_with(kTopicPrefix) || where.number >= per_topic) {
    return std::nullopt;
  }
  const auto topic =
      ParseNumber(std::string_view(where.topic).substr(kTopicPrefix.size()));
  if (!topic || *topic >= kJobTopics) {
    return std::nullopt;
  }
  return partition_id(*topic * per_topic + where.number);
}

auto PartitionOf(const batch_id& job, std::uint32_t per_topic) -> partition_id {
  return partition_id(static_cast<std::uint32_t>(StableHash(job.value) %
                                                 PartitionCount(per_topic)));
}

auto FormatMember(const fleet_member& member) -> std::string {
  const auto share = static_cast<std::uint32_t>(
      std::lround(member.processor_share * kShareScale));
  return member.ip + kSeparator + member.data_centre.value + kSeparator +
         std::to_string(share);
}

auto ParseMember(std::string_view name) -> std::optional<fleet_member> {
  std::vector<std::string> parts;
  boost::split(parts, name, [](char c) { return c == kSeparator; });
  if (parts.size() != 3) {
    return std::nullopt;
  }
  const auto share = ParseNumber(parts[2]);
  if (!share) {
    return std::nullopt;
  }
  return fleet_member{.name = std::string(name),
                      .ip = parts[0],
                      .data_centre = data_centre_id(parts[1]),
                      .processor_share = *share / kShareScale};
}

auto BuildView(std::uint64_t generation,
               std::span<const partition_owner_row> rows,
               std::uint32_t per_topic) -> fleet_view {
  fleet_view view;
  view.generation = generation;
  std::set<std::string> names;
  for (const auto& row : rows) {
    names.insert(row.member);
  }
  for (const auto& name : names) {
    if (auto member = ParseMember(name)) {
      view.members.push_back(std::move(*member));
    }
  }
  view.owners.assign(PartitionCount(per_topic),
                     static_cast<std::uint32_t>(view.members.size()));
  for (const auto& row : rows) {
    const auto partition = PartitionAt(row.partition, per_topic);
    const auto member =
        std::ranges::find(view.members, row.member, &fleet_member::name);
    if (partition && member != view.members.end()) {
      view.owners[partition->value] =
          static_cast<std::uint32_t>(member - view.members.begin());
    }
  }
  return view;
}

auto HashOf(const fleet_view& view) -> std::uint64_t {
  std::string text;
  for (const auto& member : view.members) {
    text += member.name + "\n";
  }
  for (const auto owner : view.owners) {
    text += std::to_string(owner) + ",";
  }
  return StableHash(text);
}

auto DispatcherOf(const fleet_view& view,
                  const std::map<data_centre_id, region_id>& regions)
    -> const fleet_member* {
  const auto region_of = [&regions](const fleet_member& member) {
    const auto found = regions.find(member.data_centre);
    return found == regions.end() ? region_id() : found->second;
  };
  std::map<region_id, std::size_t> sizes;
  for (const auto& member : view.members) {
    ++sizes[region_of(member)];
  }
  const auto rank = [&](const fleet_member& member) {
    return std::tuple(member.processor_share, sizes[region_of(member)],
                      StableHash(member.name));
  };
  const auto best = std::ranges::max_element(
      view.members,
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return best == view.members.end() ? nullptr : &*best;
}

auto OwnsShareOfSmallFleet(std::size_t owned,
                           std::uint32_t per_topic,
                           std::size_t data_centres) -> bool {
  const auto all = std::size_t{kJobTopics + kMemberTopics} * per_topic;
  return owned * kMaxDirectReaders * data_centres >= all;
}

auto IsProvisional(const fleet_view& view, const fleet_member& self) -> bool {
  return view.members.size() == 1 && view.members.front().name != self.name;
}

auto ReadOrderOf(const fleet_view& view, const fleet_member& self)
    -> std::vector<fleet_member> {
  std::vector<fleet_member> near;
  for (const auto& member : view.members) {
    if (member.data_centre == self.data_centre) {
      near.push_back(member);
    }
  }
  if (near.size() <= kMaxDirectReaders) {
    return {};
  }
  std::ranges::sort(near, std::greater(), [](const auto& member) {
    return std::tuple(member.processor_share, StableHash(member.name));
  });
  return near;
}

auto FeedSourcesOf(const fleet_view& view, const fleet_member& self)
    -> std::vector<fleet_member> {
  auto near = ReadOrderOf(view, self);
  if (near.empty()) {
    return {};
  }
  near.resize(kReadersPerDataCentre);
  if (std::ranges::find(near, self.name, &fleet_member::name) != near.end()) {
    return {};
  }
  std::ranges::sort(near, std::greater(), [&self](const auto& reader) {
    return StableHash(reader.name + self.name);
  });
  return near;
}

auto MembersNear(const fleet_view& view,
                 const std::map<data_centre_id, region_id>& regions,
                 const data_centre_id& data_centre,
                 const region_id& region) -> std::vector<const fleet_member*> {
  std::vector<const fleet_member*> same_centre;
  std::vector<const fleet_member*> same_region;
  std::vector<const fleet_member*> all;
  for (const auto& member : view.members) {
    const auto found = regions.find(member.data_centre);
    all.push_back(&member);
    if (member.data_centre == data_centre) {
      same_centre.push_back(&member);
    }
    if (found != regions.end() && found->second == region) {
      same_region.push_back(&member);
    }
  }
  if (same_centre.size() >= kMinAddresses) {
    return same_centre;
  }
  return same_region.size() >= kMinAddresses ? same_region : all;
}

}  // namespace dogwood
