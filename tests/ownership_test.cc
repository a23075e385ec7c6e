/** Tests of the assignment of owners. */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "src/config.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using dogwood::host_id;
using dogwood::member;
using dogwood::owned_kind;
using dogwood::OwnerOf;
using dogwood::region_id;

/** Returns `count` live members, every third one in region "b", the others in
 * "a". */
auto MakeMembers(int count) -> std::vector<member> {
  std::vector<member> members;
  for (int i = 0; i < count; ++i) {
    member m;
    m.host = host_id("host-" + std::to_string(i));
    m.region = region_id(i % 3 == 0 ? "b" : "a");
    members.push_back(std::move(m));
  }
  return members;
}

/** Property: the owner does not depend on the order of the members, and
 * draining a member moves only what it owned. */
auto CheckMinimalMoves() -> void {
  auto members = MakeMembers(*rc::gen::inRange(2, 40));
  const auto name = *rc::gen::string<std::string>();
  const auto kind = *rc::gen::element(owned_kind::kLimit, owned_kind::kServer);
  const auto region = region_id(*rc::gen::element<std::string>("", "a", "b"));
  const auto owner = OwnerOf(members, kind, name, region);
  std::reverse(members.begin(), members.end());
  RC_ASSERT(OwnerOf(members, kind, name, region) == owner);
  auto& changed = members[*rc::gen::inRange<std::size_t>(0, members.size())];
  const auto drained = changed.host;
  changed.state = dogwood::member_state::kDraining;
  const auto next = OwnerOf(members, kind, name, region);
  RC_ASSERT(next != drained);
  RC_ASSERT(drained == owner || next == owner);
}

}  // namespace

// Guards against hosts that disagree on the owner, and against a change of a
// member that moves resources of other members.
Test(ownership, a_member_change_moves_only_what_it_must) {
  cr_assert(rc::check(CheckMinimalMoves));
}

// Guards against an owner that is draining, or in another region although the
// region has live members, and against no owner although a member is live.
Test(ownership, only_live_members_own_and_those_of_the_region_first) {
  auto members = MakeMembers(6);
  for (int i = 0; i < 50; ++i) {
    const auto owner = OwnerOf(members, owned_kind::kServer, std::to_string(i),
                               region_id("b"));
    cr_assert(owner == host_id("host-0") || owner == host_id("host-3"));
  }
  members[0].state = members[3].state = dogwood::member_state::kDraining;
  cr_assert(OwnerOf(members, owned_kind::kServer, "s", region_id("b")));
  for (auto& m : members) {
    m.state = dogwood::member_state::kDraining;
  }
  cr_assert_not(OwnerOf(members, owned_kind::kServer, "s"));
}

// Guards against a hash that assigns far more resources to some hosts than to
// others. The result is deterministic, since names and hash are fixed.
Test(ownership, resources_are_balanced_over_the_hosts) {
  constexpr int kHosts = 11;
  constexpr int kResources = 11000;
  const auto members = MakeMembers(kHosts);
  std::map<host_id, int> owned;
  for (int i = 0; i < kResources; ++i) {
    ++owned[*OwnerOf(members, owned_kind::kLimit, std::to_string(i))];
  }
  for (const auto& m : members) {
    cr_assert_gt(owned[m.host], kResources / kHosts * 8 / 10);
    cr_assert_lt(owned[m.host], kResources / kHosts * 12 / 10);
  }
}

// Guards against TopOwners() returning a host twice or omitting the best one.
Test(ownership, top_owners_are_distinct_and_ranked) {
  const auto members = MakeMembers(9);
  const auto top = dogwood::TopOwners(members, "thing", 4);
  cr_assert_eq(top.size(), 4);
  cr_assert(dogwood::TopOwners(members, "thing", 1).front() == top.front());
  std::set<std::string> names;
  for (const auto& host : top) {
    names.insert(host.value);
  }
  cr_assert_eq(names.size(), top.size());
  cr_assert_eq(dogwood::TopOwners(members, "thing", 20).size(), 9);
}
