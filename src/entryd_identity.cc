#include "src/entryd_identity.h"

#include "src/entryd_base.h"
#include "src/proxy.h"

namespace dogwood {
namespace {

/** Class, in metrics, of workspaces whose configuration sets none. */
constexpr std::string_view kDefaultClass = "standard";
/** Class, in metrics, of callers without a key. */
constexpr std::string_view kOpenClass = "open";

/** Creates the failure for a key that is refused. */
auto Unauthorized(std::string message) -> failure {
  return {.code = error_code::kUnauthorized,
          .message = std::move(message),
          .ran = ran_state::kNo,
          .step = "check key",
          .peer = ""};
}

/** Copy of the configuration's data on a key. */
struct key_state {
  bool known = false;           ///< The configuration has the key.
  bool withdrawn = false;       ///< The key is no longer valid.
  workspace_id workspace;       ///< Workspace that the key belongs to.
  std::string workspace_class;  ///< The workspace's "class", for metrics.
};

/** Looks up a key by its SHA-256 in hex. */
auto FindKey(const entry_state& state, const std::string& hash) -> key_state {
  return state.replica.Read([&](const config_tree& tree) {
    key_state found;
    const auto* key = tree.FindKey(hash);
    if (key == nullptr) {
      return found;
    }
    found.known = true;
    found.withdrawn = key->withdrawn;
    found.workspace = key->workspace;
    found.workspace_class = tree.LookupText(
        "/workspaces/" + key->workspace.value, "class", kDefaultClass);
    return found;
  });
}

/** Fails with kUnauthorized if the key is unknown or withdrawn. */
auto CheckKey(const key_state& key) -> outcome<void> {
  if (!key.known) {
    return Unauthorized("the key is unknown");
  }
  if (key.withdrawn) {
    return Unauthorized("the key has been withdrawn");
  }
  return {};
}

}  // namespace

auto Identify(const entry_state& state,
              const http_request& request,
              bool may_be_open) -> outcome<caller> {
  // Without a fresh proof this host may have missed that keys were withdrawn
  // or routes closed.
  auto fresh = state.replica.RequireFresh(clock::now());
  if (!fresh) {
    return fresh.error();
  }
  caller who;
  const auto has_credentials = !request.headers.Get("Authorization").empty();
  who.key = BearerKey(request.headers);
  if (who.key.empty()) {
    if (may_be_open && !has_credentials) {
      who.workspace_class = kOpenClass;
      return who;
    }
    return Unauthorized("a key is required: Authorization: Bearer KEY");
  }
  who.key_hash = Sha256Hex(who.key);
  const auto key = FindKey(state, who.key_hash);
  if (auto valid = CheckKey(key); !valid) {
    return valid.error();
  }
  who.workspace = key.workspace;
  who.workspace_class = key.workspace_class;
  return who;
}

auto CheckStillValid(const entry_state& state, const caller& who)
    -> outcome<void> {
  auto fresh = state.replica.RequireFresh(clock::now());
  if (!fresh) {
    return fresh.error();
  }
  if (who.key_hash.empty()) {
    return {};
  }
  const auto key = FindKey(state, who.key_hash);
  if (auto valid = CheckKey(key); !valid) {
    return valid.error();
  }
  if (key.workspace != who.workspace) {
    return Unauthorized("the key now stands for another workspace");
  }
  return {};
}

}  // namespace dogwood
