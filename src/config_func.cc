#include "src/config_func.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <vector>

namespace dogwood {
namespace json = boost::json;
namespace {

/** Maximum length of the name of a node or value, in bytes. */
constexpr std::size_t kMaxNameBytes = 128;
/** Maximum length of a value as JSON, in bytes. Keeps a snapshot within the
 * size of one append. */
constexpr std::size_t kMaxValueBytes = 4096;
/** Maximum number of names that one change sets and unsets. */
constexpr std::size_t kMaxNames = 64;

/** Kinds of nodes, by their path. */
enum class node_kind {
  kDefaults,   ///< "/" and collections; their values are inherited.
  kWorkspace,  ///< /workspaces/{w}
  kKey,        ///< /workspaces/{w}/keys/{id}
  kEntry,      ///< Entry of another collection.
};

/** Permitted type and range of a value. */
enum class value_kind {
  kPositive,    ///< Number above 0.
  kAtLeastOne,  ///< Number of at least 1.
  kBoolean,     ///< true or false.
  kText,        ///< Non-empty string.
  kDigest,      ///< SHA-256 as 64 hex digits.
};

/** A value whose type is checked. */
struct value_row {
  std::string_view name;
  value_kind kind;
  std::string_view permitted;  ///< Description of `kind` in error messages.
};

constexpr std::array kValueTable{
    value_row{"rate_per_s", value_kind::kPositive, "a number above 0"},
    value_row{"burst", value_kind::kAtLeastOne, "a number of at least 1"},
    value_row{"weight", value_kind::kPositive, "a number above 0"},
    value_row{"hash", value_kind::kDigest, "64 hex digits"},
    value_row{"withdrawn", value_kind::kBoolean, "true or false"},
    value_row{"open", value_kind::kBoolean, "true or false"},
    value_row{"idempotent", value_kind::kBoolean, "true or false"},
    value_row{"draining", value_kind::kBoolean, "true or false"},
    value_row{"service", value_kind::kText, "a non-empty string"},
};

constexpr std::array<std::string_view, 4> kCollections{"workspaces", "models",
                                                       "routes", "servers"};

/** Whether `c` is permitted in the name of a node. */
auto IsNameCharacter(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == ':' || c == '@' || c == '+';
}

/** Whether `name` is a valid name of a node. */
auto IsNodeName(std::string_view name) -> bool {
  return !name.empty() && name.size() <= kMaxNameBytes && name != "." &&
         name != ".." && std::all_of(name.begin(), name.end(), IsNameCharacter);
}

/** Whether `name` is a valid name of a value. */
auto IsValueName(std::string_view name) -> bool {
  const auto permitted = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), permitted);
}

/** The components of an absolute path; none for "/". */
auto SplitPath(std::string_view path) -> std::vector<std::string_view> {
  std::vector<std::string_view> parts;
  path.remove_prefix(1);
  while (!path.empty()) {
    const auto slash = path.find('/');
    parts.push_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  }
  return parts;
}

/** `text` as a quoted and escaped JSON string. */
auto Quoted(std::string_view text) -> std::string {
  return json::serialize(json::value(text));
}

/** Kind of the node at a path without empty components; nothing if the tree has
 * no node at such a path. */
auto NodeKindAt(std::string_view path) -> std::optional<node_kind> {
  const auto parts = SplitPath(path);
  if (parts.empty()) {
    return node_kind::kDefaults;
  }
  if (std::find(kCollections.begin(), kCollections.end(), parts[0]) ==
      kCollections.end()) {
    return std::nullopt;
  }
  const bool in_workspaces = parts[0] == "workspaces";
  switch (parts.size()) {
    case 1:
      return node_kind::kDefaults;
    case 2:
      return in_workspaces ? node_kind::kWorkspace : node_kind::kEntry;
    case 3:
      return in_workspaces && parts[2] == "keys"
                 ? std::optional(node_kind::kDefaults)
                 : std::nullopt;
    case 4:
      return in_workspaces && parts[2] == "keys"
                 ? std::optional(node_kind::kKey)
                 : std::nullopt;
    default:
      return std::nullopt;
  }
}

/** Whether `text` is a SHA-256 digest in hex. */
auto IsDigest(std::string_view text) -> bool {
  const auto is_hex = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
           (c >= 'A' && c <= 'F');
  };
  return text.size() == 64 && std::all_of(text.begin(), text.end(), is_hex);
}

/** Whether `value` is a finite number >= `min`. */
auto IsNumberAtLeast(const json::value& value, double min) -> bool {
  if (!value.is_number()) {
    return false;
  }
  const auto number = value.to_number<double>();
  return std::isfinite(number) && number >= min;
}

/** Whether `value` has the type and range of `kind`. */
auto HasValueKind(value_kind kind, const json::value& value) -> bool {
  switch (kind) {
    case value_kind::kPositive:
      return IsNumberAtLeast(value, 0) && value.to_number<double>() > 0;
    case value_kind::kAtLeastOne:
      return IsNumberAtLeast(value, 1);
    case value_kind::kBoolean:
      return value.is_bool();
    case value_kind::kText:
      return value.is_string() && !value.get_string().empty();
    case value_kind::kDigest:
      return value.is_string() && IsDigest(value.get_string());
  }
  return false;
}

/** Why `name` cannot be set to `value`, nothing if it can. */
auto FindValueError(std::string_view name, const json::value& value)
    -> std::optional<std::string> {
  if (!IsValueName(name)) {
    return "name " + Quoted(name) + " is not of a-z, 0-9 and _";
  }
  const auto text = json::serialize(value);
  if (text.size() > kMaxValueBytes) {
    return std::string(name) + " is longer than " +
           std::to_string(kMaxValueBytes) + " bytes";
  }
  if (value.is_null()) {
    return std::string(name) + " is null; unset it instead";
  }
  for (const auto& row : kValueTable) {
    if (row.name == name && !HasValueKind(row.kind, value)) {
      return std::string(name) + " is " + text + ", permitted is " +
             std::string(row.permitted);
    }
  }
  return std::nullopt;
}

/** Why the values that a change sets and unsets are invalid, nothing if they
 * are valid. */
auto FindNameError(const config_change& change) -> std::optional<std::string> {
  if (change.set.size() + change.unset.size() > kMaxNames) {
    return "more than " + std::to_string(kMaxNames) + " names";
  }
  const bool is_key = NodeKindAt(change.path) == node_kind::kKey;
  for (const auto& item : change.set) {
    if (auto error = FindValueError(item.key(), item.value())) {
      return error;
    }
    // A hash at any other node would be inherited by several keys, so that one
    // secret would belong to all of them.
    if (item.key() == "hash" && !is_key) {
      return "hash can be set at /workspaces/{w}/keys/{id} only";
    }
  }
  for (const auto& name : change.unset) {
    if (!IsValueName(name)) {
      return "name " + Quoted(name) + " is not of a-z, 0-9 and _";
    }
    if (change.set.contains(name)) {
      return name + " is both set and unset";
    }
    if (name == "hash" && is_key) {
      return "the hash of a key cannot be unset; withdraw or delete the key";
    }
  }
  return std::nullopt;
}

}  // namespace

auto ParentPath(std::string_view path) -> std::string_view {
  if (path.size() <= 1) {
    return "";
  }
  const auto slash = path.rfind('/');
  return slash == 0 || slash == std::string_view::npos ? "/"
                                                       : path.substr(0, slash);
}

auto DescendantPrefix(std::string_view path) -> std::string {
  return path == "/" ? "/" : std::string(path) + "/";
}

auto ParseKeyPath(std::string_view path) -> std::optional<key_path> {
  if (FindPathError(path) || NodeKindAt(path) != node_kind::kKey) {
    return std::nullopt;
  }
  const auto parts = SplitPath(path);
  return key_path{workspace_id(std::string(parts[1])),
                  key_id(std::string(parts[3]))};
}

auto FindPathError(std::string_view path) -> std::optional<std::string> {
  const auto error = [&](std::string_view why) {
    return "path " + Quoted(path) + " " + std::string(why);
  };
  if (path.empty() || path.front() != '/') {
    return error("does not start with /");
  }
  if (path.size() > 1 && path.back() == '/') {
    return error("ends with /");
  }
  for (const auto part : SplitPath(path)) {
    if (!IsNodeName(part)) {
      return error(
          "has a part that is empty, longer than 128 bytes, or not of "
          "letters, digits and -_.:@+");
    }
  }
  if (!NodeKindAt(path)) {
    return error(
        "is none of /, /workspaces/{w}, /workspaces/{w}/keys/{id}, "
        "/models/{m}, /routes/{r}, /servers/{s} and their parents");
  }
  return std::nullopt;
}

auto FindChangeError(const config_change& change)
    -> std::optional<std::string> {
  if (auto error = FindPathError(change.path)) {
    return error;
  }
  if (auto error = FindNameError(change)) {
    return error;
  }
  const bool has_names = !change.set.empty() || !change.unset.empty();
  if (change.remove && has_names) {
    return "a change that deletes a node can neither set nor unset values";
  }
  if (change.remove && change.path == "/") {
    return "the root cannot be deleted";
  }
  if (!change.remove && !has_names && change.expected_version != 0) {
    return "the change of " + change.path + " sets and unsets nothing";
  }
  const bool creates = !change.remove && change.expected_version == 0;
  if (creates && NodeKindAt(change.path) == node_kind::kKey &&
      !change.set.contains("hash")) {
    return "a new key needs hash, the SHA-256 of its secret";
  }
  return std::nullopt;
}

auto ToLower(std::string_view text) -> std::string {
  std::string lower(text);
  for (auto& c : lower) {
    c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return lower;
}

auto CanonicalValue(json::value value) -> json::value {
  // Each round of writing and parsing changes a number by at most one unit in
  // the last place; the bound only guarantees termination.
  constexpr int kMaxRounds = 16;
  auto text = json::serialize(value);
  for (int round = 0; round < kMaxRounds; ++round) {
    value = json::parse(text);
    auto again = json::serialize(value);
    if (again == text) {
      break;
    }
    text = std::move(again);
  }
  return value;
}

}  // namespace dogwood
