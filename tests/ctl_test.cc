/** Tests of dogwoodctl against an in-memory operator interface. */
#include <boost/json.hpp>

#include <fstream>
#include <sstream>

#include "src/config.h"
#include "src/core.h"
#include "src/ctl_command.h"
#include "src/ctl_explain.h"
#include "src/ctl_run.h"

namespace {

using dogwood::config_tree;
using dogwood::ctl_exit;
using dogwood::failure;
using dogwood::http_request;
using dogwood::http_response;
using dogwood::outcome;
namespace json = boost::json;

constexpr const char* kTokenFile = "ctl_test_token";

/** Returns a connection failure. */
auto ConnectionLost(dogwood::ran_state ran) -> failure {
  return {.code = dogwood::error_code::kBadGateway,
          .message = "connection lost",
          .ran = ran,
          .step = "test",
          .peer = ""};
}

/** Operator interface at the address "up", backed by a real config_tree. The
 * address "down" refuses connections. */
class fake_operator {
 public:
  /** Handles one request. */
  auto Serve(const std::string& address, const http_request& request)
      -> outcome<http_response> {
    requests.push_back(request);
    if (address == "down") {
      return ConnectionLost(dogwood::ran_state::kNo);
    }
    if (request.method == "GET") {
      const auto path = request.Query("path").value_or("/");
      return dogwood::JsonResponse(200, json::serialize(DescribeNode(path)));
    }
    auto response = ServeChange(json::parse(request.body).as_object());
    if (lost_responses > 0) {
      --lost_responses;
      return ConnectionLost(dogwood::ran_state::kMaybe);
    }
    return response;
  }

  config_tree tree;
  int lost_responses = 0;  ///< Number of changes whose response is dropped.
  std::vector<http_request> requests;  ///< All requests received.

 private:
  auto DescribeNode(const std::string& path) const -> json::object {
    json::object body;
    const auto* node = tree.Node(path);
    body["version"] = node == nullptr ? 0 : node->version;
    json::object values;
    if (node != nullptr) {
      for (const auto& [name, value] : node->values) {
        values[name] = value;
      }
    }
    body["effective"] = values;
    body["values"] = std::move(values);
    const auto descendants = tree.DescendantPaths(path);
    body["children"] = json::array(descendants.begin(), descendants.end());
    return body;
  }

  auto ServeChange(const json::object& body) -> http_response {
    dogwood::config_change change;
    change.path = body.at("path").as_string();
    change.expected_version = body.at("expected_version").to_number<int>();
    change.remove = body.contains("delete");
    if (!change.remove) {
      change.set = body.at("set").as_object();
      for (const auto& name : body.at("unset").as_array()) {
        change.unset.emplace_back(name.as_string());
      }
    }
    const auto tested = dogwood::ToOutcome([&] { return tree.Test(change); });
    if (!tested) {
      return dogwood::JsonResponse(
          dogwood::HttpStatusOf(tested.error().code),
          json::serialize(dogwood::ToJson(tested.error())));
    }
    const auto offset = tree.next_offset();
    const dogwood::record_writer writer{
        dogwood::host_id("h"), dogwood::incarnation(1), offset.value + 1};
    tree.Apply(offset, dogwood::ChangeRecord(writer, change));
    return dogwood::JsonResponse(200, R"({"state":"accepted"})");
  }
};

/** Exit code and output of a run. */
struct run_result {
  ctl_exit code = ctl_exit::kOk;
  std::string out;  ///< Standard output.
  std::string err;  ///< Standard error.
};

/** Runs the tool with the arguments in `line`, which are split at spaces. */
auto Run(fake_operator& fake,
         std::string_view line,
         const std::string& address = "up") -> run_result {
  std::ofstream(kTokenFile) << "secret-token\n";
  std::ostringstream out;
  std::ostringstream err;
  dogwood::ctl_environment environment;
  environment.address = address;
  environment.token_file = kTokenFile;
  environment.out = &out;
  environment.err = &err;
  environment.pause = [] {};
  environment.transport = [&](const std::string& to, const http_request& r) {
    return fake.Serve(to, r);
  };
  std::vector<std::string> arguments;
  for (const auto word : dogwood::SplitWords(line)) {
    arguments.emplace_back(word);
  }
  run_result result;
  result.code = dogwood::RunCtl(arguments, environment);
  result.out = out.str();
  result.err = err.str();
  return result;
}

}  // namespace

// Included last: its macro Test clashes with config_tree::Test() and Boost
// headers.
#include <criterion/criterion.h>

// Guards against a command without a help text or missing from the completion
// script.
Test(ctl, every_command_has_help_and_completion) {
  fake_operator fake;
  const auto script = dogwood::BashCompletion();
  for (const auto& command : dogwood::CtlCommands()) {
    const auto words = std::string(command.words);
    const auto help = Run(fake, words + " --help");
    cr_assert(help.code == ctl_exit::kOk);
    cr_assert(help.out.find(command.doc) != std::string::npos);
    cr_assert(help.out.find("Usage: dogwoodctl " + words) != std::string::npos);
    cr_assert(script.find('"' + words + '"') != std::string::npos);
    for (const auto option : dogwood::SplitWords(command.options)) {
      cr_assert(help.out.find("--" + std::string(option)) != std::string::npos);
    }
  }
  cr_assert(fake.requests.empty());
}

// Guards against exit codes by which a script cannot tell a refusal from a
// usage error or an unreachable host.
Test(ctl, exit_codes_distinguish_refusal_usage_and_unreachable) {
  fake_operator fake;
  cr_assert(Run(fake, "workspace create a --rate 5").code == ctl_exit::kOk);
  const auto again = Run(fake, "workspace create a");
  cr_assert(again.code == ctl_exit::kRefused);
  cr_assert(again.err.find("version 1") != std::string::npos);
  cr_assert(Run(fake, "set /workspaces/a burst=0").code == ctl_exit::kRefused);
  cr_assert(Run(fake, "workspace show b").code == ctl_exit::kRefused);
  const auto requests = fake.requests.size();
  for (const auto* line :
       {"", "workspace", "workspace create", "workspace create a b", "sett a b",
        "set /workspaces/a burst", "set /workspaces/a note=text",
        "get / --outputt json", "get / --output xml", "get / --timeout 0",
        "unset /workspaces/a", "workspace delete a --expected-version x",
        "job show j-1"}) {
    const auto result = Run(fake, line);
    cr_assert(result.code == ctl_exit::kUsage, "%s", line);
    cr_assert_not(result.err.empty());
  }
  cr_assert_eq(fake.requests.size(), requests);
  cr_assert(Run(fake, "get /", "down").code == ctl_exit::kUnreachable);
  cr_assert(Run(fake, "get /", "").code == ctl_exit::kUsage);
}

// Guards against lost updates: a change overwrites one that was made after the
// operator read the node.
Test(ctl, stale_expected_version_is_refused) {
  fake_operator fake;
  Run(fake, "set /models/m a=1");
  cr_assert(Run(fake, "set /models/m a=2 --expected-version 1").code ==
            ctl_exit::kOk);
  const auto late = Run(fake, "set /models/m a=3 --expected-version 1");
  cr_assert(late.code == ctl_exit::kRefused);
  cr_assert(late.err.find("version 2") != std::string::npos);
  cr_assert(Run(fake, "unset /models/m a").code == ctl_exit::kOk);
  cr_assert(fake.tree.Node("/models/m")->values.empty());
  cr_assert(Run(fake, "model delete m").code == ctl_exit::kOk);
  cr_assert(Run(fake, "model delete m").code == ctl_exit::kRefused);
}

// Guards against a change that is applied twice, or reported as refused
// although it was applied, when its response is lost and it is retried.
Test(ctl, lost_response_neither_repeats_nor_hides_a_change) {
  fake_operator fake;
  fake.lost_responses = 1;
  cr_assert(Run(fake, "workspace create a --burst 4").code == ctl_exit::kOk);
  cr_assert_eq(fake.tree.Node("/workspaces/a")->version, 1);
  fake.lost_responses = 2;
  cr_assert(Run(fake, "workspace delete a").code == ctl_exit::kOk);
  cr_assert_eq(fake.tree.next_offset().value, 2);
  fake.lost_responses = 99;
  const auto unknown = Run(fake, "workspace create b");
  cr_assert(unknown.code == ctl_exit::kUnreachable);
  cr_assert(unknown.err.find("may have been made") != std::string::npos);
}

// Guards against the tool failing because one of several hosts is down.
Test(ctl, next_address_is_used_when_one_is_down) {
  fake_operator fake;
  cr_assert(Run(fake, "workspace create a", "down,up").code == ctl_exit::kOk);
  cr_assert_not_null(fake.tree.Node("/workspaces/a"));
}

// Guards against an issued secret that is sent to the operator interface, and
// against a stored hash that does not match the secret.
Test(ctl, issued_key_works_and_only_its_hash_is_sent) {
  fake_operator fake;
  Run(fake, "workspace create a");
  const auto issued = Run(fake, "key issue a k --output json");
  cr_assert(issued.code == ctl_exit::kOk);
  const std::string secret(
      json::parse(issued.out).as_object().at("secret").as_string());
  cr_assert_gt(secret.size(), 64);
  const auto hash = dogwood::Sha256Hex(secret);
  cr_assert_not(fake.tree.FindKey(hash)->withdrawn);
  for (const auto& request : fake.requests) {
    cr_assert(request.body.find(secret) == std::string::npos);
    cr_assert(request.headers.Get("Authorization") == "Bearer secret-token");
  }
  cr_assert(Run(fake, "key issue a k").code == ctl_exit::kRefused);
  cr_assert(Run(fake, "key withdraw a nope").code == ctl_exit::kRefused);
  cr_assert(Run(fake, "key withdraw a k").code == ctl_exit::kOk);
  cr_assert(fake.tree.FindKey(hash)->withdrawn);
  const auto listed = Run(fake, "key list a");
  cr_assert(listed.out.find("true") != std::string::npos);
}

// Guards against tables that omit columns or values.
Test(ctl, tables_show_every_column) {
  const auto table = dogwood::FormatTable(
      json::parse(R"([{"name":"a","x":1.5},{"name":"bb","y":null}])"));
  cr_assert_str_eq(table.c_str(), "name  x    y\na     1.5  -\nbb    -    -\n");
  cr_assert_str_eq(dogwood::FormatTable(json::array()).c_str(), "none\n");
}

// Guards against a timeline that omits a host, is out of order, or does not
// show the state on which the deciding host acted.
Test(ctl, explain_shows_timeline_of_request_across_hosts) {
  std::istringstream log(
      "not a line of log\n"
      R"(b | {"unix_ms":1030,"event":"request_end","host":"b","id":"r1","status":503})"
      "\n"
      R"({"unix_ms":990,"event":"state_applied","host":"b","version":7})"
      "\n"
      R"({"unix_ms":980,"event":"state_applied","host":"b","version":6})"
      "\n"
      R"({"unix_ms":1000,"event":"placed","host":"a","id":"r1","server":""})"
      "\n"
      R"({"unix_ms":1010,"event":"placed","host":"a","id":"r2"})"
      "\n{\"broken\n");
  std::vector<json::object> lines;
  dogwood::ReadLogLines(log, lines);
  cr_assert_eq(lines.size(), 5);
  const auto rows = dogwood::ExplainLog(lines, "r1");
  cr_assert_eq(rows.size(), 3);
  cr_assert(rows[0].at("event") == "placed" && rows[0].at("ms") == 0);
  cr_assert(rows[1].at("details") == "version=7" && rows[1].at("ms") == -10);
  cr_assert(rows[2].at("decides") == "=>" && rows[2].at("host") == "b");
  cr_assert(dogwood::ExplainLog(lines, "r3").empty());
}
