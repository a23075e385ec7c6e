#include "src/entryd_address.h"

#include <algorithm>

#include "src/entryd_base.h"
#include "src/ownership_func.h"

namespace dogwood {
namespace {

/** Entry addresses of `hosts`, in their order; hosts that are not in `members`
 * are skipped. */
auto AddressesOf(const std::vector<host_id>& hosts,
                 const std::vector<member>& members)
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& host : hosts) {
    const auto found = std::ranges::find(members, host, &member::host);
    if (found != members.end()) {
      addresses.push_back(found->entry_address);
    }
  }
  return addresses;
}

}  // namespace

auto EntryAddresses(const entry_state& state, const workspace_id& workspace)
    -> std::vector<std::string> {
  const auto& options = state.options;
  auto members = state.replica.Read(
      [](const config_tree& tree) { return tree.Members(); });
  std::erase_if(members, [&](const member& m) {
    // A planned stop of this process is not visible in the configuration.
    const bool is_stopping_self = state.draining && m.host == options.host;
    return m.state != member_state::kLive || is_stopping_self;
  });
  const auto other_regions_begin = std::stable_partition(
      members.begin(), members.end(),
      [&](const member& m) { return m.region == options.place.region; });
  const std::vector<member> same_region(members.begin(), other_regions_begin);
  const std::vector<member> other_regions(other_regions_begin, members.end());
  const auto reserved_count =
      options.address_count > 1 && !other_regions.empty() ? std::size_t{1} : 0;
  const auto same_region_count = options.address_count - reserved_count;
  auto addresses = AddressesOf(
      TopOwners(same_region, workspace.value, same_region_count), same_region);
  const auto other_regions_count = options.address_count - addresses.size();
  const auto others = AddressesOf(
      TopOwners(other_regions, workspace.value, other_regions_count),
      other_regions);
  addresses.insert(addresses.end(), others.begin(), others.end());
  return addresses;
}

}  // namespace dogwood
