/** Tests of the lookups in a deployment's declared state. */
#include "src/deployment.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** Returns a route of `host` and `prefix` with two services, weights 90 and 10.
 */
auto Route(std::string name, std::string host, std::string prefix)
    -> route_rule {
  route_rule route;
  route.id = route_id(std::move(name));
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.services = {{service_id("a"), 90}, {service_id("b"), 10}};
  return route;
}

/** Returns a state with nested prefixes on one host name, and one workspace. */
auto State() -> deployment {
  deployment state;
  state.routes = {Route("short", "one", "/p/"), Route("long", "one", "/p/q/"),
                  Route("other", "two", "/p/")};
  workspace_rule workspace;
  workspace.id = workspace_id("w");
  workspace.hashes = {"h1", "h2"};
  state.workspaces = {workspace};
  state.has_workspaces = true;
  return state;
}

/** Returns the name of the route found, empty if none. */
auto Found(const deployment_index& index,
           std::string_view host,
           std::string_view path) -> std::string {
  const auto* route = index.FindRoute(host, path);
  return route == nullptr ? "" : route->id.value;
}

}  // namespace

// Guards against requests that are routed by a shorter prefix although a longer
// one matches.
Test(deployment, longest_prefix_of_the_host_wins) {
  const deployment_index index(State());
  cr_assert_eq(Found(index, "one", "/p/q/r"), "long");
  cr_assert_eq(Found(index, "one", "/p/x"), "short");
  cr_assert_eq(Found(index, "two", "/p/q/r"), "other");
}

// Guards against prefixes that match only a part of a path segment, and against
// routes of other host names.
Test(deployment, no_route_matches_a_part_of_a_segment) {
  const deployment_index index(State());
  cr_assert_eq(Found(index, "one", "/pq/"), "");
  cr_assert_eq(Found(index, "three", "/p/"), "");
}

// Guards against keys that select the wrong workspace or none.
Test(deployment, each_key_names_its_workspace) {
  const deployment_index index(State());
  cr_assert_eq(index.FindWorkspaceByKey("h2")->id.value, "w");
  cr_assert_null(index.FindWorkspaceByKey("h3"));
  cr_assert_null(index.FindWorkspaceByKey(""));
  cr_assert_null(index.FindWorkspace(workspace_id("x")));
}

// Guards against callers without keys that search the store where no job can be
// submitted without one.
Test(deployment, open_batch_routes_are_found) {
  auto state = State();
  state.routes[0].kind = request_kind::kBatch;
  state.routes[1].open = true;
  cr_assert_not(deployment_index(state).HasOpenBatchRoute());
  state.routes[1].kind = request_kind::kBatch;
  cr_assert(deployment_index(state).HasOpenBatchRoute());
}

// Guards against selecting the wrong service at the bounds of a weighted split.
Test(deployment, shares_follow_their_weights) {
  const auto route = Route("r", "one", "/");
  cr_assert_eq(PickService(route, 0.0).value, "a");
  cr_assert_eq(PickService(route, 0.899).value, "a");
  cr_assert_eq(PickService(route, 0.901).value, "b");
  cr_assert_eq(PickService(route, 0.9999).value, "b");
}

// Guards against passing on each heartbeat of each server, and against a host
// that keeps a server that has left.
Test(deployment, journal_passes_on_changes_only) {
  registration_journal journal;
  journal.Put("s1", "a", true);
  journal.Put("s2", "b", true);
  const auto all = journal.ChangesSince(0);
  cr_assert(all.is_complete);
  cr_assert_eq(all.present.size(), 2);
  journal.Put("s1", "a2", false);
  cr_assert(journal.ChangesSince(all.revision).present.empty());
  cr_assert_eq(journal.ChangesSince(0).present[0].second, "a2");
  journal.Put("s2", "draining", true);
  journal.Remove("s1");
  const auto news = journal.ChangesSince(all.revision);
  cr_assert_not(news.is_complete);
  cr_assert_eq(news.present.size(), 1);
  cr_assert_eq(news.present[0].second, "draining");
  cr_assert_eq(news.removed, std::vector<std::string>{"s1"});
  // A server that is back is not reported as removed.
  journal.Put("s1", "again", false);
  const auto back = journal.ChangesSince(all.revision);
  cr_assert(back.removed.empty());
  cr_assert_eq(back.present.size(), 2);
}

// Guards against removals that are lost on a host that has not asked for long.
Test(deployment, journal_lists_everything_after_many_removals) {
  registration_journal journal;
  journal.Put("first", "x", true);
  const auto revision = journal.revision();
  for (int i = 0; i < 2000; ++i) {
    journal.Put(std::to_string(i), "x", true);
    journal.Remove(std::to_string(i));
  }
  const auto changes = journal.ChangesSince(revision);
  cr_assert(changes.is_complete);
  cr_assert_eq(changes.present.size(), 1);
}

// Guards against a bound of the route or of the workspace that is ignored, and
// against a request that may run anywhere because no region is allowed by both.
Test(deployment, regions_of_route_and_workspace_both_bind) {
  const region_id east("east");
  const region_id west("west");
  route_rule route;
  workspace_rule workspace;
  cr_assert_not(RegionsOf(route, &workspace).IsBound());
  workspace.regions = {east};
  cr_assert(RegionsOf(route, &workspace).Allows(east));
  cr_assert_not(RegionsOf(route, &workspace).Allows(west));
  cr_assert_not(RegionsOf(route, nullptr).IsBound());
  route.regions = {east, west};
  cr_assert_not(RegionsOf(route, &workspace).Allows(west));
  cr_assert(RegionsOf(route, nullptr).Allows(west));
  route.regions = {west};
  cr_assert(RegionsOf(route, &workspace).AllowsNone());
  cr_assert_not(RegionsOf(route, &workspace).Overlaps({}));
}

// Guards against a misspelled region that leaves a route without servers and
// without a message.
Test(deployment, unknown_regions_are_named_with_their_entries) {
  auto state = State();
  state.routes[1].regions = {region_id("east"), region_id("esat")};
  state.workspaces[0].regions = {region_id("nowhere")};
  const auto unknown = FindUnknownRegions(state, {region_id("east")});
  cr_assert_eq(unknown.size(), 2);
  cr_assert_eq(unknown[0].entry, "route \"long\"");
  cr_assert_eq(unknown[0].region.value, "esat");
  cr_assert_eq(unknown[1].entry, "workspace \"w\"");
}

}  // namespace dogwood::testing
