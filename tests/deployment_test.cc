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

// Guards against selecting the wrong service at the bounds of a weighted split.
Test(deployment, shares_follow_their_weights) {
  const auto route = Route("r", "one", "/");
  cr_assert_eq(PickService(route, 0.0).value, "a");
  cr_assert_eq(PickService(route, 0.899).value, "a");
  cr_assert_eq(PickService(route, 0.901).value, "b");
  cr_assert_eq(PickService(route, 0.9999).value, "b");
}

}  // namespace dogwood::testing
