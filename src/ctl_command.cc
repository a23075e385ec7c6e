#include "src/ctl_command.h"

#include <array>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <utility>

#include "src/ctl_explain.h"
#include "src/ctl_session.h"
#include "src/text_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

using ctl_result = outcome<json::value>;

/** Random bytes in an issued caller key. */
constexpr std::size_t kKeyBytes = 32;

constexpr std::string_view kWorkspaces = "/workspaces";
constexpr std::string_view kModels = "/models";
constexpr std::string_view kRoutes = "/routes";

/** Converts the response to an operator request into the result of a command.
 */
auto ToValue(outcome<json::object> response) -> ctl_result {
  if (!response) {
    return response.error();
  }
  return json::value(std::move(response.value()));
}

/** Returns the path of an entry of a collection. */
auto EntryPath(std::string_view collection, const std::string& name)
    -> std::string {
  return std::string(collection) + "/" + name;
}

/** Returns the path of the collection of a workspace's keys. */
auto KeysPath(const std::string& workspace) -> std::string {
  return EntryPath(kWorkspaces, workspace) + "/keys";
}

/** Parses an assignment NAME=JSON and adds it to `set`. */
auto AddAssignment(const std::string& text, json::object& set)
    -> outcome<void> {
  const auto equals = text.find('=');
  if (equals == std::string::npos || equals == 0) {
    return UsageFailure("\"" + text + "\" is not NAME=JSON");
  }
  json::error_code ec;
  auto value = json::parse(text.substr(equals + 1), ec);
  if (ec) {
    return UsageFailure("the value in \"" + text +
                        "\" is not JSON; put text in quotes: NAME='\"text\"'");
  }
  set[text.substr(0, equals)] = std::move(value);
  return {};
}

/** Adds the value of `option`, if given, to `set` under `name`. The value is
 * taken as a string if `is_text`, and parsed as JSON otherwise. */
auto AddOption(const ctl_input& input,
               const std::string& option,
               std::string_view name,
               bool is_text,
               json::object& set) -> outcome<void> {
  const auto given = input.Option(option);
  if (!given) {
    return {};
  }
  json::error_code ec;
  auto value = is_text ? json::value(*given) : json::parse(*given, ec);
  if (ec) {
    return UsageFailure("--" + option + " \"" + *given +
                        "\" is neither a number nor true or false");
  }
  set[name] = std::move(value);
  return {};
}

/** Sets values at `path`, based on --expected-version or else on the node's
 * current version. */
auto SetValues(ctl_session& session,
               const ctl_input& input,
               std::string path,
               json::object set) -> ctl_result {
  config_change change;
  change.path = std::move(path);
  change.set = std::move(set);
  return ToValue(
      session.Change(std::move(change), input.Option("expected-version")));
}

/** Deletes a node and its descendants. */
auto DeleteNode(ctl_session& session, const ctl_input& input, std::string path)
    -> ctl_result {
  if (!input.Option("expected-version")) {
    auto node = session.ExistingNode(path);
    if (!node) {
      return node.error();
    }
  }
  config_change change;
  change.path = std::move(path);
  change.remove = true;
  return ToValue(
      session.Change(std::move(change), input.Option("expected-version")));
}

/** Reads a node and returns it as a row: name, version and effective values. */
auto NodeRow(ctl_session& session, const std::string& path) -> ctl_result {
  auto node = session.Node(path);
  if (!node) {
    return node.error();
  }
  json::object row;
  row["name"] = path.substr(path.rfind('/') + 1);
  row["version"] = (*node)["version"];
  if (const auto* values = node->if_contains("effective")) {
    if (values->is_object()) {
      for (const auto& item : values->get_object()) {
        row[item.key()] = item.value();
      }
    }
  }
  return json::value(std::move(row));
}

/** Returns one row for each direct child of a collection. */
auto ListEntries(ctl_session& session, const std::string& collection)
    -> ctl_result {
  auto node = session.Node(collection);
  if (!node) {
    return node.error();
  }
  json::array rows;
  const auto* children = node->if_contains("children");
  if (children == nullptr || !children->is_array()) {
    return json::value(std::move(rows));
  }
  for (const auto& child : children->get_array()) {
    if (!child.is_string()) {
      continue;
    }
    const std::string path(child.get_string());
    const bool is_direct =
        path.find('/', collection.size() + 1) == std::string::npos;
    if (!is_direct) {
      continue;
    }
    auto row = NodeRow(session, path);
    if (!row) {
      return row.error();
    }
    rows.push_back(std::move(row.value()));
  }
  return json::value(std::move(rows));
}

/** Returns a node as the operator interface describes it. With `must_exist`, an
 * absent node is kNotFound. */
auto ShowNode(ctl_session& session, const std::string& path, bool must_exist)
    -> ctl_result {
  auto node = must_exist ? session.ExistingNode(path) : session.Node(path);
  if (!node) {
    return node.error();
  }
  return ToValue(std::move(node));
}

auto RunWorkspaceCreate(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  json::object set;
  for (const auto& [option, name] :
       {std::pair{"rate", "rate_per_s"}, std::pair{"burst", "burst"},
        std::pair{"weight", "weight"}}) {
    auto added = AddOption(input, option, name, false, set);
    if (!added) {
      return added.error();
    }
  }
  config_change change;
  change.path = EntryPath(kWorkspaces, input.arguments[0]);
  change.set = std::move(set);
  // Expected version 0: the change is refused if the workspace exists.
  return ToValue(session.Change(std::move(change), "0"));
}

auto RunWorkspaceList(ctl_session& session, const ctl_input&) -> ctl_result {
  return ListEntries(session, std::string(kWorkspaces));
}

auto RunWorkspaceShow(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  return ShowNode(session, EntryPath(kWorkspaces, input.arguments[0]), true);
}

auto RunWorkspaceDelete(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  return DeleteNode(session, input, EntryPath(kWorkspaces, input.arguments[0]));
}

auto RunKeyIssue(ctl_session& session, const ctl_input& input) -> ctl_result {
  const auto& workspace = input.arguments[0];
  const auto secret = "dw-" + ToHex(RandomBytes(kKeyBytes));
  config_change change;
  change.path = EntryPath(KeysPath(workspace), input.arguments[1]);
  change.set["hash"] = Sha256Hex(secret);
  auto response = session.Change(std::move(change), "0");
  if (!response) {
    return response.error();
  }
  json::object body;
  body["workspace"] = workspace;
  body["key"] = input.arguments[1];
  body["secret"] = secret;
  body["note"] = "the secret is shown this once; only its SHA-256 is kept";
  return json::value(std::move(body));
}

auto RunKeyWithdraw(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  auto path = EntryPath(KeysPath(input.arguments[0]), input.arguments[1]);
  auto node = session.ExistingNode(path);
  if (!node) {
    return node.error();
  }
  return SetValues(session, input, std::move(path), {{"withdrawn", true}});
}

auto RunKeyList(ctl_session& session, const ctl_input& input) -> ctl_result {
  auto rows = ListEntries(session, KeysPath(input.arguments[0]));
  if (!rows) {
    return rows.error();
  }
  json::array shown;
  for (const auto& row : rows->get_array()) {
    const auto& entry = row.get_object();
    const auto* withdrawn = entry.if_contains("withdrawn");
    json::object line;
    line["key"] = entry.at("name");
    line["version"] = entry.at("version");
    line["withdrawn"] = withdrawn != nullptr && *withdrawn == json::value(true);
    if (const auto* hash = entry.if_contains("hash")) {
      line["hash"] = *hash;
    }
    shown.emplace_back(std::move(line));
  }
  return json::value(std::move(shown));
}

auto RunRouteSet(ctl_session& session, const ctl_input& input) -> ctl_result {
  json::object set;
  auto service = AddOption(input, "service", "service", true, set);
  auto open = AddOption(input, "open", "open", false, set);
  auto idempotent = AddOption(input, "idempotent", "idempotent", false, set);
  for (const auto* added : {&service, &open, &idempotent}) {
    if (!*added) {
      return added->error();
    }
  }
  return SetValues(session, input, EntryPath(kRoutes, input.arguments[0]),
                   std::move(set));
}

auto RunRouteList(ctl_session& session, const ctl_input&) -> ctl_result {
  return ListEntries(session, std::string(kRoutes));
}

auto RunRouteShow(ctl_session& session, const ctl_input& input) -> ctl_result {
  return ShowNode(session, EntryPath(kRoutes, input.arguments[0]), true);
}

auto RunRouteDelete(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  return DeleteNode(session, input, EntryPath(kRoutes, input.arguments[0]));
}

/** Sets values at `path` from the arguments NAME=JSON after the first one. */
auto SetAssignments(ctl_session& session,
                    const ctl_input& input,
                    std::string path) -> ctl_result {
  json::object set;
  for (std::size_t i = 1; i < input.arguments.size(); ++i) {
    auto added = AddAssignment(input.arguments[i], set);
    if (!added) {
      return added.error();
    }
  }
  return SetValues(session, input, std::move(path), std::move(set));
}

auto RunModelSet(ctl_session& session, const ctl_input& input) -> ctl_result {
  return SetAssignments(session, input, EntryPath(kModels, input.arguments[0]));
}

auto RunModelList(ctl_session& session, const ctl_input&) -> ctl_result {
  return ListEntries(session, std::string(kModels));
}

auto RunModelShow(ctl_session& session, const ctl_input& input) -> ctl_result {
  return ShowNode(session, EntryPath(kModels, input.arguments[0]), true);
}

auto RunModelDelete(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  return DeleteNode(session, input, EntryPath(kModels, input.arguments[0]));
}

auto RunSet(ctl_session& session, const ctl_input& input) -> ctl_result {
  return SetAssignments(session, input, input.arguments[0]);
}

auto RunUnset(ctl_session& session, const ctl_input& input) -> ctl_result {
  config_change change;
  change.path = input.arguments[0];
  change.unset.assign(input.arguments.begin() + 1, input.arguments.end());
  return ToValue(
      session.Change(std::move(change), input.Option("expected-version")));
}

auto RunGet(ctl_session& session, const ctl_input& input) -> ctl_result {
  return ShowNode(session, input.arguments[0], false);
}

auto RunDiff(ctl_session& session, const ctl_input& input) -> ctl_result {
  std::array<json::object, 2> values;
  for (std::size_t i = 0; i < values.size(); ++i) {
    auto node = session.Node(input.arguments[i]);
    if (!node) {
      return node.error();
    }
    const auto* effective = node->if_contains("effective");
    if (effective != nullptr && effective->is_object()) {
      values[i] = effective->get_object();
    }
  }
  auto names = values[0];
  names.insert(values[1].begin(), values[1].end());
  json::array rows;
  for (const auto& item : names) {
    const auto* left = values[0].if_contains(item.key());
    const auto* right = values[1].if_contains(item.key());
    if (left != nullptr && right != nullptr && *left == *right) {
      continue;
    }
    json::object row;
    row["name"] = item.key();
    row[input.arguments[0]] = left == nullptr ? json::value() : *left;
    row[input.arguments[1]] = right == nullptr ? json::value() : *right;
    rows.emplace_back(std::move(row));
  }
  return json::value(std::move(rows));
}

/** Returns the "entries" of a response; an empty list if it has none. */
auto EntriesOf(outcome<json::object> response) -> ctl_result {
  if (!response) {
    return response.error();
  }
  const auto* entries = response->if_contains("entries");
  return entries == nullptr ? json::value(json::array()) : *entries;
}

auto RunHistory(ctl_session& session, const ctl_input& input) -> ctl_result {
  return EntriesOf(
      session.Get("/v1/history?path=" + EncodeQuery(input.arguments[0])));
}

auto RunAudit(ctl_session& session, const ctl_input& input) -> ctl_result {
  const auto from = input.Option("from").value_or("0");
  return EntriesOf(session.Get("/v1/audit?from=" + EncodeQuery(from)));
}

auto RunStatus(ctl_session& session, const ctl_input&) -> ctl_result {
  return ToValue(session.Get("/v1/status"));
}

auto RunDrainHost(ctl_session& session, const ctl_input& input) -> ctl_result {
  return ToValue(session.Post("/v1/drain", {{"host", input.arguments[0]}}));
}

auto RunDrainServer(ctl_session& session, const ctl_input& input)
    -> ctl_result {
  return ToValue(session.Post("/v1/drain", {{"server", input.arguments[0]}}));
}

/** Sends a request of the caller interface for the job named by the first
 * argument and returns the body of the response. */
auto JobRequest(ctl_session& session,
                const ctl_input& input,
                const std::string& method,
                const std::string& suffix) -> outcome<std::string> {
  const auto entry = input.Option("entry");
  const auto key_file = input.Option("key-file");
  if (!entry || !key_file) {
    return UsageFailure("--entry IP:PORT and --key-file FILE are required");
  }
  const auto target = "/v1/batches/" + EncodeQuery(input.arguments[0]) + suffix;
  return session.CallerRequest(*entry, *key_file, method, target);
}

/** Parses a response body as JSON; returns it as a string if it is not JSON. */
auto JsonOrText(const outcome<std::string>& body) -> ctl_result {
  if (!body) {
    return body.error();
  }
  json::error_code ec;
  auto value = json::parse(body.value(), ec);
  return ec ? json::value(body.value()) : value;
}

auto RunJobShow(ctl_session& session, const ctl_input& input) -> ctl_result {
  return JsonOrText(JobRequest(session, input, "GET", ""));
}

auto RunJobCancel(ctl_session& session, const ctl_input& input) -> ctl_result {
  return JsonOrText(JobRequest(session, input, "POST", "/cancel"));
}

auto RunJobResults(ctl_session& session, const ctl_input& input) -> ctl_result {
  auto body = JobRequest(session, input, "GET", "/results");
  if (!body) {
    return body.error();
  }
  return json::value(body.value());
}

/** Reads log files and returns the timeline of a request, job or item. */
auto RunExplain(ctl_session&, const ctl_input& input) -> ctl_result {
  std::vector<json::object> lines;
  for (std::size_t i = 1; i < input.arguments.size(); ++i) {
    const auto& path = input.arguments[i];
    if (path == "-") {
      ReadLogLines(std::cin, lines);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      return UsageFailure("file \"" + path + "\" cannot be read");
    }
    ReadLogLines(file, lines);
  }
  const auto& id = input.arguments.front();
  auto rows = ExplainLog(std::move(lines), id);
  if (rows.empty()) {
    return failure{.code = error_code::kNotFound,
                   .message = "no log line contains " + id,
                   .step = "explain",
                   .peer = ""};
  }
  return json::value(std::move(rows));
}

auto RunCompletionBash(ctl_session&, const ctl_input&) -> ctl_result {
  return json::value(BashCompletion());
}

constexpr std::string_view kVersionOption = "expected-version";
constexpr std::string_view kJobOptions = "entry key-file";

constexpr std::array kCommands{
    ctl_command{"workspace create", "NAME", "rate burst weight",
                "Creates a workspace; refused if it exists.",
                RunWorkspaceCreate},
    ctl_command{"workspace list", "", "", "Lists the workspaces.",
                RunWorkspaceList},
    ctl_command{"workspace show", "NAME", "", "Shows a workspace.",
                RunWorkspaceShow},
    ctl_command{"workspace delete", "NAME", kVersionOption,
                "Deletes a workspace with its keys.", RunWorkspaceDelete},
    ctl_command{"key issue", "WORKSPACE KEY", "",
                "Makes a random key and prints its secret once.", RunKeyIssue},
    ctl_command{"key withdraw", "WORKSPACE KEY", kVersionOption,
                "Withdraws a key; it stops working within seconds.",
                RunKeyWithdraw},
    ctl_command{"key list", "WORKSPACE", "", "Lists the keys of a workspace.",
                RunKeyList},
    ctl_command{"route set", "NAME", "service open idempotent expected-version",
                "Creates or changes a route to a plain service.", RunRouteSet},
    ctl_command{"route list", "", "", "Lists the routes.", RunRouteList},
    ctl_command{"route show", "NAME", "", "Shows a route.", RunRouteShow},
    ctl_command{"route delete", "NAME", kVersionOption, "Deletes a route.",
                RunRouteDelete},
    ctl_command{"model set", "NAME NAME=JSON...", kVersionOption,
                "Creates or changes a model's node.", RunModelSet},
    ctl_command{"model list", "", "", "Lists the models' nodes.", RunModelList},
    ctl_command{"model show", "NAME", "", "Shows a model's node.",
                RunModelShow},
    ctl_command{"model delete", "NAME", kVersionOption,
                "Deletes a model's node.", RunModelDelete},
    ctl_command{"set", "PATH NAME=JSON...", kVersionOption,
                "Sets values at a node; creates it if absent.", RunSet},
    ctl_command{"unset", "PATH NAME...", kVersionOption,
                "Removes values, so that the parent's apply.", RunUnset},
    ctl_command{"get", "PATH", "", "Shows a node's own and inherited values.",
                RunGet},
    ctl_command{"diff", "PATH OTHER", "",
                "Shows the values in which two nodes differ.", RunDiff},
    ctl_command{"history", "PATH", "",
                "Shows the changes of a node and its descendants.", RunHistory},
    ctl_command{"audit", "", "from", "Shows all changes.", RunAudit},
    ctl_command{"status", "", "",
                "Shows hosts, applied offsets, proof ages and servers.",
                RunStatus},
    ctl_command{"drain host", "NAME", "",
                "Removes a host from the addresses given to callers.",
                RunDrainHost},
    ctl_command{"drain server", "NAME", "",
                "Stops sending new work to a backend server.", RunDrainServer},
    ctl_command{"job show", "ID", kJobOptions, "Shows a batch job.",
                RunJobShow},
    ctl_command{"job cancel", "ID", kJobOptions, "Cancels a batch job.",
                RunJobCancel},
    ctl_command{"job results", "ID", kJobOptions,
                "Prints the results of a batch job as JSON lines.",
                RunJobResults},
    ctl_command{"explain", "ID FILE...", "",
                "Shows the timeline of a request, job or item from log files "
                "(-: standard input).",
                RunExplain},
    ctl_command{"completion bash", "", "",
                "Prints the completion script for bash.", RunCompletionBash},
};

constexpr std::array kOptions{
    ctl_option{"expected-version", "N",
               "Refuse the change unless the node has this version (0: absent)"
               "; default: the version it has now."},
    ctl_option{"rate", "N", "Requests per second over all hosts (rate_per_s)."},
    ctl_option{"burst", "N", "Burst of requests over all hosts."},
    ctl_option{"weight", "N", "Weight for the share of batch work."},
    ctl_option{"service", "NAME", "Plain service that the route targets."},
    ctl_option{"open", "BOOL", "true: callers need no key."},
    ctl_option{"idempotent", "BOOL", "true: calls may be repeated."},
    ctl_option{"from", "OFFSET", "First offset shown; default 0."},
    ctl_option{"entry", "IP:PORT", "Address of the caller interface."},
    ctl_option{"key-file", "FILE", "File with the caller's key."},
};

}  // namespace

auto CtlCommands() -> std::span<const ctl_command> {
  return kCommands;
}

auto CtlOptions() -> std::span<const ctl_option> {
  return kOptions;
}

}  // namespace dogwood
