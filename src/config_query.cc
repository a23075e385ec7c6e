#include <algorithm>
#include <boost/json.hpp>
#include <tuple>
#include <utility>

#include "src/config_base.h"
#include "src/config_codec.h"
#include "src/config_func.h"
#include "src/error_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** A refusal of a change. */
auto Refused(error_code code, std::string why) -> failure {
  return {.code = code,
          .message = std::move(why),
          .step = "check change",
          .peer = ""};
}

}  // namespace

auto config_tree::Node(std::string_view path) const -> const config_node* {
  const auto it = nodes_.find(path);
  return it == nodes_.end() ? nullptr : &it->second;
}

auto config_tree::DescendantPaths(std::string_view path) const
    -> std::vector<std::string> {
  const auto prefix = PrefixBelow(path);
  std::vector<std::string> paths;
  for (auto it = nodes_.upper_bound(prefix); it != nodes_.end(); ++it) {
    if (!it->first.starts_with(prefix)) {
      break;
    }
    paths.push_back(it->first);
  }
  return paths;
}

auto config_tree::Lookup(std::string_view path, std::string_view name) const
    -> std::optional<json::value> {
  for (; !path.empty(); path = ParentPath(path)) {
    const auto* node = Node(path);
    if (node == nullptr) {
      continue;
    }
    const auto it = node->values.find(name);
    if (it != node->values.end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

auto config_tree::LookupNumber(std::string_view path,
                               std::string_view name,
                               double fallback) const -> double {
  const auto value = Lookup(path, name);
  return value && value->is_number() ? value->to_number<double>() : fallback;
}

auto config_tree::LookupBoolean(std::string_view path,
                                std::string_view name,
                                bool fallback) const -> bool {
  const auto value = Lookup(path, name);
  return value && value->is_bool() ? value->get_bool() : fallback;
}

auto config_tree::LookupText(std::string_view path,
                             std::string_view name,
                             std::string_view fallback) const -> std::string {
  const auto value = Lookup(path, name);
  return value && value->is_string() ? std::string(value->get_string())
                                     : std::string(fallback);
}

auto config_tree::FindKey(std::string_view hash) const -> const key_entry* {
  const auto it = keys_.find(hash);
  return it == keys_.end() ? nullptr : &it->second;
}

auto config_tree::Members() const -> std::vector<member> {
  std::vector<member> members;
  members.reserve(members_.size());
  for (const auto& item : members_) {
    members.push_back(item.second);
  }
  std::sort(members.begin(), members.end(),
            [](const member& a, const member& b) {
              return std::tie(a.region.value, a.host.value) <
                     std::tie(b.region.value, b.host.value);
            });
  return members;
}

auto config_tree::FindMember(const host_id& host) const -> const member* {
  const auto it = members_.find(host);
  return it == members_.end() ? nullptr : &it->second;
}

auto config_tree::Snapshot(const record_writer& writer) const -> std::string {
  auto record = NewRecord("snapshot", writer);
  record["as_of"] = next_offset_.value;
  record["members_version"] = members_version_;
  // Lists instead of named fields, as the record must fit into one append.
  json::object nodes;
  for (const auto& [path, node] : nodes_) {
    json::object values;
    for (const auto& [name, value] : node.values) {
      values[name] = value;
    }
    nodes[path] = json::array{node.version, std::move(values)};
  }
  record["nodes"] = std::move(nodes);
  json::array members;
  for (const auto& item : members_) {
    members.emplace_back(WriteMember(item.second));
  }
  record["members"] = std::move(members);
  json::object writers;
  for (const auto& [host, mark] : last_seq_) {
    writers[host.value] =
        json::array{mark.start.value, mark.seq, mark.last.value};
  }
  record["writers"] = std::move(writers);
  json::array audit;
  for (const auto& entry : audit_) {
    audit.emplace_back(WriteAudit(entry));
  }
  record["audit"] = std::move(audit);
  return json::serialize(record);
}

auto config_tree::Refusal(const config_change& change) const
    -> std::optional<failure> {
  if (auto wrong = WrongWithChange(change)) {
    return Refused(error_code::kBadRequest, std::move(*wrong));
  }
  const auto* node = Node(change.path);
  const auto version = node == nullptr ? 0 : node->version;
  if (change.expected_version != version) {
    const auto present =
        node == nullptr ? " does not exist"
                        : " exists with version " + std::to_string(version);
    const auto expected =
        change.expected_version == 0
            ? std::string("that it does not")
            : "version " + std::to_string(change.expected_version);
    return Refused(error_code::kConflict,
                   change.path + present + ", the change expects " + expected);
  }
  if (change.remove && node == nullptr) {
    return Refused(error_code::kConflict, change.path + " does not exist");
  }
  const auto key = KeyPathOf(change.path);
  if (!key || change.remove) {
    return std::nullopt;
  }
  // A key that outlived its workspace would still be accepted from callers.
  const auto workspace = "/workspaces/" + key->workspace.value;
  if (Node(workspace) == nullptr) {
    return Refused(error_code::kConflict, workspace + " does not exist");
  }
  const auto* hash = change.set.if_contains("hash");
  const auto* holder =
      hash == nullptr ? nullptr : FindKey(ToLower(hash->get_string()));
  if (holder != nullptr &&
      (holder->workspace != key->workspace || holder->key != key->key)) {
    return Refused(error_code::kConflict,
                   "hash is that of key " + holder->key.value +
                       " of workspace " + holder->workspace.value);
  }
  return std::nullopt;
}

auto config_tree::Test(const config_change& change) const -> result<void> {
  if (auto refusal = Refusal(change)) {
    return Fail(std::move(*refusal));
  }
  return {};
}

}  // namespace dogwood
