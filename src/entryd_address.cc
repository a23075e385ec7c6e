#include "src/entryd_address.h"

#include <algorithm>

#include "src/entryd_base.h"
#include "src/ownership_func.h"

namespace dogwood {
namespace {

/** Entry address of each of `hosts` among `members`. */
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
    const bool is_stopping_self = state.draining && m.host == options.host;
    return m.state != member_state::kLive || is_stopping_self;
  });
  const auto far_begin = std::stable_partition(
      members.begin(), members.end(),
      [&](const member& m) { return m.region == options.place.region; });
  const std::vector<member> near(members.begin(), far_begin);
  const std::vector<member> far(far_begin, members.end());
  const auto kept_for_far =
      options.address_count > 1 && !far.empty() ? std::size_t{1} : 0;
  const auto near_count = options.address_count - kept_for_far;
  auto addresses =
      AddressesOf(TopOwners(near, workspace.value, near_count), near);
  const auto far_count = options.address_count - addresses.size();
  const auto others =
      AddressesOf(TopOwners(far, workspace.value, far_count), far);
  addresses.insert(addresses.end(), others.begin(), others.end());
  return addresses;
}

}  // namespace dogwood
