#include "src/ctl_session.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <fstream>
#include <sstream>
#include <utility>

#include "src/error_func.h"
#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Maximum number of attempts of a change whose outcome is unknown. */
constexpr int kMaxChangeAttempts = 4;
/** Maximum number of bytes of an unexpected response quoted in a message. */
constexpr std::size_t kMaxQuotedBytes = 200;

/** Reads a token or key: the first line of a file, without surrounding
 * whitespace. `what` names it in error messages. */
auto ReadSecret(const std::string& path, std::string_view what)
    -> outcome<std::string> {
  std::ifstream file(path);
  std::string line;
  if (!file || !std::getline(file, line)) {
    return UsageFailure(std::string(what) + " file \"" + path +
                        "\" cannot be read");
  }
  const auto first = line.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return UsageFailure(std::string(what) + " file \"" + path + "\" is empty");
  }
  const auto last = line.find_last_not_of(" \t\r");
  return line.substr(first, last - first + 1);
}

/** Parses a body as a JSON object; returns nothing if it is not one. */
auto BodyObject(const std::string& body) -> std::optional<json::object> {
  json::error_code ec;
  auto value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

/** Converts a response with an error status to a failure. Without the details
 * that the host sends, a request with a status below 500 counts as not run. */
auto FailureOf(const http_response& response, const std::string& address)
    -> failure {
  failure error;
  error.code = ErrorCodeOf(response.status);
  error.peer = address;
  error.step = "request";
  error.message = "HTTP status " + std::to_string(response.status) + ": " +
                  response.body.substr(0, kMaxQuotedBytes);
  error.ran = response.status >= 500 ? ran_state::kMaybe : ran_state::kNo;
  const auto body = BodyObject(response.body);
  const auto* detail = body ? body->if_contains("error") : nullptr;
  if (detail == nullptr || !detail->is_object()) {
    return error;
  }
  const auto& object = detail->get_object();
  error.message = TextField(object, "message");
  error.step = TextField(object, "step");
  const auto ran = TextField(object, "ran");
  if (!ran.empty()) {
    error.ran = ran == "no" ? ran_state::kNo : ran_state::kMaybe;
  }
  return error;
}

/** Parses the body of a response with status 2xx as a JSON object. */
auto ParseResponse(const outcome<http_response>& response)
    -> outcome<json::object> {
  if (!response) {
    return response.error();
  }
  auto object = BodyObject(response->body);
  if (!object) {
    return failure{.code = error_code::kBadGateway,
                   .message = "the response is not a JSON object: " +
                              response->body.substr(0, kMaxQuotedBytes),
                   .ran = ran_state::kMaybe,
                   .step = "read answer",
                   .peer = ""};
  }
  return std::move(*object);
}

/** Returns whether the request may be sent to another address: it did not run,
 * and its host was unreachable or unavailable. */
auto MayUseNextAddress(const failure& error) -> bool {
  return error.ran == ran_state::kNo &&
         ExitCodeOf(error) == ctl_exit::kUnreachable;
}

/** Returns the request body for a change. */
auto ChangeBody(const config_change& change) -> json::object {
  json::object body;
  body["path"] = change.path;
  body["expected_version"] = change.expected_version;
  if (change.remove) {
    body["delete"] = true;
    return body;
  }
  body["set"] = change.set;
  body["unset"] = json::array(change.unset.begin(), change.unset.end());
  return body;
}

/** Returns the version of a node in a response of /v1/tree, 0 if it has none.
 */
auto VersionOf(const json::object& node) -> std::uint64_t {
  const auto* version = node.if_contains("version");
  json::error_code ec;
  return version != nullptr && version->is_number()
             ? version->to_number<std::uint64_t>(ec)
             : 0;
}

/** Parses the value of --expected-version. */
auto ReadVersion(const std::string& text) -> outcome<std::uint64_t> {
  json::error_code ec;
  const auto value = json::parse(text, ec);
  if (ec || !value.is_int64() || value.get_int64() < 0) {
    return UsageFailure("--expected-version \"" + text +
                        "\" is not a non-negative integer");
  }
  return static_cast<std::uint64_t>(value.get_int64());
}

}  // namespace

ctl_session::ctl_session(ctl_globals globals,
                         ctl_transport transport,
                         std::function<void()> pause)
    : globals_(std::move(globals)),
      transport_(std::move(transport)),
      pause_(std::move(pause)) {}

auto ctl_session::Send(http_request request) -> outcome<http_response> {
  if (globals_.addresses.empty()) {
    return UsageFailure("--address IP:PORT or DOGWOOD_ADDRESS is required");
  }
  if (globals_.token_file.empty()) {
    return UsageFailure("--token-file FILE or DOGWOOD_TOKEN_FILE is required");
  }
  if (token_.empty()) {
    auto token = ReadSecret(globals_.token_file, "token");
    if (!token) {
      return token.error();
    }
    token_ = std::move(token.value());
  }
  request.headers.Set("Authorization", "Bearer " + token_);
  outcome<http_response> response = UsageFailure("no address");
  for (auto& address : globals_.addresses) {
    response = transport_(address, request);
    if (response && response->status >= 300) {
      response = FailureOf(*response, address);
    }
    if (response || !MayUseNextAddress(response.error())) {
      // Later requests of this run go to the same host first, so that they see
      // the effect of this one.
      std::swap(address, globals_.addresses.front());
      return response;
    }
  }
  return response;
}

auto ctl_session::Get(const std::string& target) -> outcome<json::object> {
  http_request request;
  request.method = "GET";
  request.target = target;
  auto response = Send(std::move(request));
  // A GET has no effect, even if it may have run.
  if (!response && response.error().ran == ran_state::kMaybe) {
    auto error = response.error();
    error.ran = ran_state::kNo;
    return error;
  }
  return ParseResponse(response);
}

auto ctl_session::Post(const std::string& target, const json::object& body)
    -> outcome<json::object> {
  http_request request;
  request.method = "POST";
  request.target = target;
  request.headers.Set("Content-Type", "application/json");
  request.body = json::serialize(body);
  return ParseResponse(Send(std::move(request)));
}

auto ctl_session::Node(const std::string& path) -> outcome<json::object> {
  return Get("/v1/tree?path=" + EncodeQuery(path));
}

auto ctl_session::ExistingNode(const std::string& path)
    -> outcome<json::object> {
  auto node = Node(path);
  if (node && VersionOf(node.value()) == 0) {
    return failure{.code = error_code::kNotFound,
                   .message = path + " does not exist",
                   .step = "read node",
                   .peer = globals_.addresses.front()};
  }
  return node;
}

auto ctl_session::IsApplied(const config_change& change) -> bool {
  const auto node = Node(change.path);
  if (!node || change.remove) {
    return node && VersionOf(node.value()) == 0;
  }
  const auto* values = node->if_contains("values");
  if (VersionOf(node.value()) <= change.expected_version || values == nullptr ||
      !values->is_object()) {
    return false;
  }
  const auto& own = values->get_object();
  const auto has = [&](const json::key_value_pair& item) {
    const auto* value = own.if_contains(item.key());
    return value != nullptr && *value == item.value();
  };
  return std::all_of(change.set.begin(), change.set.end(), has) &&
         std::none_of(change.unset.begin(), change.unset.end(),
                      [&](const auto& name) { return own.contains(name); });
}

auto ctl_session::Change(config_change change,
                         const std::optional<std::string>& version)
    -> outcome<json::object> {
  if (version) {
    auto given = ReadVersion(*version);
    if (!given) {
      return given.error();
    }
    change.expected_version = given.value();
  } else {
    auto node = Node(change.path);
    if (!node) {
      return node.error();
    }
    change.expected_version = VersionOf(node.value());
  }
  const auto body = ChangeBody(change);
  outcome<json::object> response = Post("/v1/changes", body);
  bool may_have_run = false;
  for (int i = 1; i < kMaxChangeAttempts && !response; ++i) {
    if (response.error().ran == ran_state::kNo) {
      break;
    }
    may_have_run = true;
    pause_();
    response = Post("/v1/changes", body);
  }
  if (response || !may_have_run) {
    return response;
  }
  if (response.error().code == error_code::kConflict && IsApplied(change)) {
    json::object done;
    done["state"] = "accepted";
    done["note"] = "by an earlier try, whose answer was lost";
    return done;
  }
  if (response.error().code != error_code::kConflict) {
    auto error = response.error();
    error.ran = ran_state::kMaybe;
    error.message += " (the change may have been made; see history)";
    return error;
  }
  return response;
}

auto ctl_session::CallerRequest(const std::string& address,
                                const std::string& key_file,
                                const std::string& method,
                                const std::string& target)
    -> outcome<std::string> {
  auto key = ReadSecret(key_file, "key");
  if (!key) {
    return key.error();
  }
  http_request request;
  request.method = method;
  request.target = target;
  request.headers.Set("Authorization", "Bearer " + key.value());
  auto response = transport_(address, request);
  if (response && response->status >= 300) {
    return FailureOf(*response, address);
  }
  if (!response) {
    return response.error();
  }
  return std::move(response->body);
}

auto EncodeQuery(std::string_view text) -> std::string {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

auto ExitCodeOf(const failure& error) -> ctl_exit {
  if (error.step == kUsageStep) {
    return ctl_exit::kUsage;
  }
  switch (error.code) {
    case error_code::kUnavailable:
    case error_code::kDeadlineExceeded:
    case error_code::kBadGateway:
      return ctl_exit::kUnreachable;
    default:
      return ctl_exit::kRefused;
  }
}

}  // namespace dogwood
