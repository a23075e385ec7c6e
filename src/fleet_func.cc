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
/** Followed by the name of a region. */
constexpr std::string_view kRegionTopicPrefix = "region-jobs-";
/** Separator of the fields in a member's name. */
constexpr char kSeparator = '|';
/** Processor cores are encoded in thousandths. */
constexpr double kShareScale = 1000;
/** Minimum number of addresses in an answer if there are more members
 * elsewhere: a caller with a single address cannot fail over. */
constexpr std::size_t kMinAddresses = 2;

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

auto MakeLayout(std::uint32_t per_topic,
                const std::map<data_centre_id, region_id>& data_centres,
                bool is_regional) -> partition_layout {
  partition_layout layout{
      .per_topic = per_topic, .regions = {}, .data_centres = {}};
  if (!is_regional) {
    return layout;
  }
  layout.data_centres = data_centres;
  std::set<region_id> regions;
  for (const auto& [data_centre, region] : data_centres) {
    regions.insert(region);
  }
  layout.regions.assign(regions.begin(), regions.end());
  return layout;
}

auto GroupPartitionCount(const partition_layout& layout) -> std::size_t {
  return std::size_t{kJobTopics} * layout.per_topic;
}

auto PartitionCount(const partition_layout& layout) -> std::size_t {
  return (kJobTopics + layout.regions.size()) * layout.per_topic;
}

auto RegionOf(partition_id partition, const partition_layout& layout)
    -> std::optional<region_id> {
  const auto topic = partition.value / layout.per_topic;
  if (topic < kJobTopics || topic - kJobTopics >= layout.regions.size()) {
    return std::nullopt;
  }
  return layout.regions[topic - kJobTopics];
}

auto LocatePartition(partition_id partition, const partition_layout& layout)
    -> log_partition {
  const auto number = partition.value % layout.per_topic;
  if (const auto region = RegionOf(partition, layout)) {
    return {std::string(kRegionTopicPrefix) + region->value, number};
  }
  return {std::string(kTopicPrefix) +
              std::to_string(partition.value / layout.per_topic),
          number};
}

auto PartitionAt(const log_partition& where, const partition_layout& layout)
    -> std::optional<partition_id> {
  const std::string_view name(where.topic);
  if (where.number >= layout.per_topic) {
    return std::nullopt;
  }
  if (name.starts_with(kRegionTopicPrefix)) {
    const region_id region(std::string(name.substr(kRegionTopicPrefix.size())));
    const auto found = std::ranges::find(layout.regions, region);
    if (found == layout.regions.end()) {
      return std::nullopt;
    }
    const auto index =
        static_cast<std::uint32_t>(found - layout.regions.begin());
    return partition_id((kJobTopics + index) * layout.per_topic + where.number);
  }
  if (!name.starts_with(kTopicPrefix)) {
    return std::nullopt;
  }
  const auto topic = ParseNumber(name.substr(kTopicPrefix.size()));
  if (!topic || *topic >= kJobTopics) {
    return std::nullopt;
  }
  return partition_id(*topic * layout.per_topic + where.number);
}

auto PartitionOf(const batch_id& job, const partition_layout& layout)
    -> partition_id {
  return partition_id(static_cast<std::uint32_t>(StableHash(job.value) %
                                                 GroupPartitionCount(layout)));
}

auto RegionalPartitionOf(const batch_id& job,
                         const region_id& region,
                         const partition_layout& layout) -> partition_id {
  const auto found = std::ranges::find(layout.regions, region);
  const auto index = static_cast<std::uint32_t>(found - layout.regions.begin());
  const auto number =
      static_cast<std::uint32_t>(StableHash(job.value) % layout.per_topic);
  return partition_id((kJobTopics + index) * layout.per_topic + number);
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
               const partition_layout& layout) -> fleet_view {
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
  view.owners.assign(GroupPartitionCount(layout),
                     static_cast<std::uint32_t>(view.members.size()));
  for (const auto& row : rows) {
    const auto partition = PartitionAt(row.partition, layout);
    const auto member =
        std::ranges::find(view.members, row.member, &fleet_member::name);
    if (partition && partition->value < view.owners.size() &&
        member != view.members.end()) {
      view.owners[partition->value] =
          static_cast<std::uint32_t>(member - view.members.begin());
    }
  }
  AssignRegionalOwners(view, layout);
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

auto AssignRegionalOwners(fleet_view& view, const partition_layout& layout)
    -> void {
  if (!layout.IsRegional()) {
    return;
  }
  const auto none = static_cast<std::uint32_t>(view.members.size());
  const auto group_count = GroupPartitionCount(layout);
  view.owners.resize(group_count, none);
  view.owners.resize(PartitionCount(layout), none);
  std::map<region_id, std::vector<std::uint32_t>> members;
  for (std::uint32_t i = 0; i < none; ++i) {
    if (const auto region = layout.RegionOf(view.members[i])) {
      members[*region].push_back(i);
    }
  }
  for (auto i = group_count; i < view.owners.size(); ++i) {
    const partition_id partition(static_cast<std::uint32_t>(i));
    const auto where = LocatePartition(partition, layout);
    const auto place = where.topic + "/" + std::to_string(where.number);
    std::uint64_t highest = 0;
    for (const auto member : members[*RegionOf(partition, layout)]) {
      const auto& name = view.members[member].name;
      const auto hash = StableHash(name + "/" + place);
      if (view.owners[i] == none || hash > highest) {
        highest = hash;
        view.owners[i] = member;
      }
    }
  }
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
