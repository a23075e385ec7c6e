#include "src/controld_http.h"

#include <array>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "src/controld_change.h"
#include "src/controld_member.h"
#include "src/controld_query.h"
#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

/** Builds the failure for a malformed operator request. */
auto BadRequest(std::string why) -> failure {
  return {.code = error_code::kBadRequest,
          .message = std::move(why),
          .ran = ran_state::kNo,
          .step = "read operator request",
          .peer = ""};
}

/** The name of the operator whose token the request carries, nothing if there
 * is none. All hashes are compared, each in constant time, so that the response
 * time reveals nothing about them. */
auto AuthenticateOperator(const controld& c, const http_request& request)
    -> std::optional<std::string> {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = request.headers.Get("Authorization");
  if (!header.starts_with(kScheme)) {
    return std::nullopt;
  }
  const auto hash = Sha256Hex(header.substr(kScheme.size()));
  std::optional<std::string> name;
  for (const auto& entry : c.settings.operator_entries) {
    if (EqualInConstantTime(hash, entry.token_hash)) {
      name = entry.name;
    }
  }
  return name;
}

/** Parses the body as a JSON object; fails on fields that are not in
 * `permitted`. */
auto ReadBody(const http_request& request,
              std::initializer_list<std::string_view> permitted)
    -> outcome<json::object> {
  json::error_code ec;
  auto value = json::parse(request.body, ec);
  if (ec || !value.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  for (const auto& field : value.get_object()) {
    if (std::find(permitted.begin(), permitted.end(),
                  std::string_view(field.key())) == permitted.end()) {
      return BadRequest("unknown field \"" + std::string(field.key()) + "\"");
    }
  }
  return std::move(value.get_object());
}

/** Reads the names to unset; false if `value` is not a list of strings. */
auto ReadUnset(const json::value& value, config_change& change) -> bool {
  if (!value.is_array()) {
    return false;
  }
  for (const auto& name : value.get_array()) {
    if (!name.is_string()) {
      return false;
    }
    change.unset.emplace_back(name.get_string());
  }
  return true;
}

/** Reads one field of a change; false if it is of the wrong type. */
auto ReadField(std::string_view name,
               const json::value& value,
               config_change& change) -> bool {
  if (name == "path" && value.is_string()) {
    change.path = value.get_string();
    return true;
  }
  if (name == "expected_version" && value.is_number()) {
    json::error_code ec;
    change.expected_version = value.to_number<std::uint64_t>(ec);
    return !ec;
  }
  if (name == "set" && value.is_object()) {
    change.set = value.get_object();
    return true;
  }
  if (name == "delete" && value.is_bool()) {
    change.remove = value.get_bool();
    return true;
  }
  return name == "unset" && ReadUnset(value, change);
}

/** Parses the body of POST /v1/changes. */
auto ReadChange(const http_request& request, std::string operator_name)
    -> outcome<config_change> {
  auto body =
      ReadBody(request, {"path", "expected_version", "set", "unset", "delete"});
  if (!body) {
    return body.error();
  }
  if (!body->contains("path") || !body->contains("expected_version")) {
    return BadRequest("path and expected_version are required");
  }
  config_change change;
  change.operator_name = std::move(operator_name);
  for (const auto& field : *body) {
    if (!ReadField(field.key(), field.value(), change)) {
      return BadRequest("field \"" + std::string(field.key()) +
                        "\" has the wrong type");
    }
  }
  return change;
}

/** Responds with status 200 and a JSON object. */
auto RespondJson(http_exchange& exchange, json::object body)
    -> asio::awaitable<void> {
  co_await exchange.Respond(JsonResponse(200, json::serialize(body)));
}

/** Handles POST /v1/changes. */
auto ServeChange(controld& c, http_exchange& exchange, std::string name)
    -> asio::awaitable<void> {
  auto change = ReadChange(exchange.Request(), std::move(name));
  if (!change) {
    co_await exchange.RespondFailure(change.error());
    co_return;
  }
  auto accepted = co_await MakeChange(c, std::move(change.value()));
  if (!accepted) {
    co_await exchange.RespondFailure(accepted.error());
    co_return;
  }
  json::object body;
  body["offset"] = accepted->offset.value;
  body["version"] = accepted->version;
  body["state"] = "accepted";
  body["early"] = accepted->early;
  co_await RespondJson(exchange, std::move(body));
}

/** Drains a host by appending a member record. */
auto DrainHost(controld& c, http_exchange& exchange, std::string host)
    -> asio::awaitable<void> {
  const auto start = c.replica.Read([&host](const config_tree& tree) {
    const auto* found = tree.FindMember(host_id(host));
    return found == nullptr ? std::optional<incarnation>() : found->start;
  });
  if (!start) {
    failure unknown{.code = error_code::kNotFound,
                    .message = "host \"" + host + "\" is no member",
                    .step = "drain",
                    .peer = ""};
    co_await exchange.RespondFailure(std::move(unknown));
    co_return;
  }
  const auto deadline = clock::now() + c.settings.change_timeout;
  auto appended = co_await AppendMemberRecord(c, "member_drain", host_id(host),
                                              *start, deadline);
  if (!appended) {
    co_await exchange.RespondFailure(appended.error());
    co_return;
  }
  json::object body;
  body["host"] = host;
  body["state"] = "draining";
  co_await RespondJson(exchange, std::move(body));
}

/** Drains a backend server by setting `draining` at its node. */
auto DrainServer(controld& c,
                 http_exchange& exchange,
                 std::string server,
                 std::string name) -> asio::awaitable<void> {
  config_change change;
  change.path = "/servers/" + server;
  change.operator_name = std::move(name);
  change.set["draining"] = true;
  change.expected_version = c.replica.Read([&](const config_tree& tree) {
    const auto* node = tree.Node(change.path);
    return node == nullptr ? 0 : node->version;
  });
  auto accepted = co_await MakeChange(c, std::move(change));
  if (!accepted) {
    co_await exchange.RespondFailure(accepted.error());
    co_return;
  }
  json::object body;
  body["server"] = server;
  body["offset"] = accepted->offset.value;
  body["state"] = "draining";
  co_await RespondJson(exchange, std::move(body));
}

/** Handles POST /v1/drain. */
auto ServeDrain(controld& c, http_exchange& exchange, std::string name)
    -> asio::awaitable<void> {
  auto body = ReadBody(exchange.Request(), {"host", "server"});
  if (!body) {
    co_await exchange.RespondFailure(body.error());
    co_return;
  }
  const auto* host = body->if_contains("host");
  const auto* server = body->if_contains("server");
  const auto* value = host != nullptr ? host : server;
  if (body->size() != 1 || !value->is_string()) {
    auto bad = BadRequest("give either host or server, as a string");
    co_await exchange.RespondFailure(std::move(bad));
    co_return;
  }
  std::string target(value->get_string());
  if (host != nullptr) {
    co_await DrainHost(c, exchange, std::move(target));
  } else {
    co_await DrainServer(c, exchange, std::move(target), std::move(name));
  }
}

/** Handles GET /v1/audit. */
auto ServeAudit(controld& c, http_exchange& exchange) -> asio::awaitable<void> {
  const auto text = exchange.Request().Query("from").value_or("0");
  std::uint64_t from = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, from);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    auto bad = BadRequest("from is not an offset");
    co_await exchange.RespondFailure(std::move(bad));
    co_return;
  }
  auto body = DescribeAudit(c, log_offset(from));
  co_await RespondJson(exchange, std::move(body));
}

/** Handles GET /v1/status. */
auto ServeStatus(controld& c, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto deadline = clock::now() + c.settings.pull_timeout;
  auto hosts = co_await c.platform.Hosts(deadline);
  auto body = DescribeStatus(c, hosts);
  co_await RespondJson(exchange, std::move(body));
}

/** Routes the request of an authenticated operator. */
auto ServeAuthorized(controld& c, http_exchange& exchange, std::string name)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const auto path = request.Path();
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (is_post && path == "/v1/changes") {
    co_await ServeChange(c, exchange, std::move(name));
  } else if (is_post && path == "/v1/drain") {
    co_await ServeDrain(c, exchange, std::move(name));
  } else if (is_get && path == "/v1/tree") {
    auto body = DescribeNode(c, request.Query("path").value_or("/"));
    co_await RespondJson(exchange, std::move(body));
  } else if (is_get && path == "/v1/history") {
    auto body = DescribeHistory(c, request.Query("path").value_or("/"));
    co_await RespondJson(exchange, std::move(body));
  } else if (is_get && path == "/v1/audit") {
    co_await ServeAudit(c, exchange);
  } else if (is_get && path == "/v1/status") {
    co_await ServeStatus(c, exchange);
  } else {
    failure unknown{.code = error_code::kNotFound,
                    .message = "no such operation: " + request.method + " " +
                               std::string(path),
                    .step = "route operator request",
                    .peer = request.peer};
    co_await exchange.RespondFailure(std::move(unknown));
  }
}

/** Responds to a health check: 200 if `ok`, else 503. */
auto RespondHealth(http_exchange& exchange, bool ok) -> asio::awaitable<void> {
  json::object body;
  body["ok"] = ok;
  co_await exchange.Respond(
      JsonResponse(ok ? 200 : 503, json::serialize(body)));
}

/** Responds with the metrics of the daemon and its links. */
auto RespondMetrics(const controld& c, http_exchange& exchange)
    -> asio::awaitable<void> {
  http_response response;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = DescribeMetrics(c) + PrintLinkTotals();
  co_await exchange.Respond(std::move(response));
}

}  // namespace

auto ServeOperator(controld& c, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const auto path = request.Path();
  if (request.method == "GET" && path == "/healthz") {
    co_await RespondHealth(exchange, true);
    co_return;
  }
  if (request.method == "GET" && path == "/readyz") {
    const bool ready =
        c.tracker.IsFresh(clock::now()) && c.state == serve_state::kServing;
    co_await RespondHealth(exchange, ready);
    co_return;
  }
  if (request.method == "GET" && path == "/metrics") {
    co_await RespondMetrics(c, exchange);
    co_return;
  }
  auto name = AuthenticateOperator(c, request);
  if (!name) {
    ++c.metrics.unauthorized;
    failure unknown{.code = error_code::kUnauthorized,
                    .message = "an operator token is required",
                    .step = "authorise operator",
                    .peer = request.peer};
    co_await exchange.RespondFailure(std::move(unknown));
    co_return;
  }
  co_await ServeAuthorized(c, exchange, std::move(*name));
}

}  // namespace dogwood
