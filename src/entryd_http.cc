#include "src/entryd_http.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "src/entryd_address.h"
#include "src/entryd_base.h"
#include "src/entryd_batch.h"
#include "src/entryd_limit.h"
#include "src/entryd_proxy.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kServices = "/services/";
constexpr std::string_view kBatches = "/v1/batches";

/** Whether the daemon should get new callers; else why not. */
auto CheckReady(const entry_state& state) -> outcome<void> {
  if (state.draining) {
    return NotRunFailure(error_code::kUnavailable, "the daemon is stopping",
                         "ready");
  }
  const bool is_draining = state.replica.Read([&](const config_tree& tree) {
    const auto* self = tree.FindMember(state.options.host);
    return self != nullptr && self->state == member_state::kDraining;
  });
  if (is_draining) {
    return NotRunFailure(error_code::kUnavailable, "the host is draining",
                         "ready");
  }
  if (!state.has_servers) {
    return NotRunFailure(error_code::kUnavailable, "no host list has come yet",
                         "ready");
  }
  return state.replica.RequireFresh(clock::now());
}

/** Current values for /metrics. */
auto Gauges(const entry_state& state) -> std::map<std::string, double> {
  double in_flight = 0;
  for (const auto& [server, count] : state.servers.InFlight()) {
    in_flight += count;
  }
  const auto left = state.replica.FreshUntil() - clock::now();
  return {{"dogwood_in_flight", in_flight},
          {"dogwood_draining", state.draining ? 1 : 0},
          {"dogwood_fresh_seconds_left",
           std::chrono::duration<double>(left).count()}};
}

/** Answers the paths that need no key; false if it is none of them. */
auto HandleStatus(entry_state& state, http_exchange& exchange)
    -> asio::awaitable<bool> {
  const auto path = exchange.Request().Path();
  if (path == "/healthz") {
    co_await exchange.Respond(JsonResponse(200, R"({"status":"ok"})"));
    co_return true;
  }
  if (path == "/readyz") {
    auto ready = CheckReady(state);
    if (ready) {
      co_await exchange.Respond(JsonResponse(200, R"({"status":"ready"})"));
    } else {
      co_await exchange.RespondFailure(ready.error());
    }
    co_return true;
  }
  if (path == "/metrics") {
    http_response response;
    response.headers.Set("Content-Type", "text/plain; version=0.0.4");
    response.body = state.metrics.Print(Gauges(state)) + PrintLinkTotals();
    co_await exchange.Respond(std::move(response));
    co_return true;
  }
  co_return false;
}

/** Admits the request or refuses it with Retry-After. */
auto AdmitOrRefuse(entry_state& state,
                   http_exchange& exchange,
                   workspace_id limit) -> asio::awaitable<bool> {
  auto admitted = co_await state.grants->Admit(limit);
  if (admitted) {
    co_return true;
  }
  const auto now = clock::now();
  const auto wait = state.shares.RetryAt(limit, now) - now;
  const auto whole = std::chrono::ceil<std::chrono::seconds>(wait).count();
  const auto seconds = std::max<std::int64_t>(1, whole);
  co_await Refuse(state, exchange, admitted.error(),
                  static_cast<unsigned>(seconds));
  co_return false;
}

/** A plan with what every request to a backend server has. */
auto MakePlan(const entry_state& state, caller who, time_point begin)
    -> proxy_plan {
  proxy_plan plan;
  plan.who = std::move(who);
  plan.request_id = NewRequestId(state);
  plan.begin = begin;
  plan.deadline = begin + state.options.total;
  return plan;
}

/** Fills in the request for the backend server at `target`. */
auto FillRequest(proxy_plan& plan,
                 const http_request& request,
                 std::string_view target) -> outcome<void> {
  const proxy_stamp stamp{plan.request_id, plan.who.workspace, plan.who.key};
  auto passed =
      ToOutcome([&] { return BackendRequest(request, target, stamp); });
  if (!passed) {
    return passed.error();
  }
  plan.request = std::move(passed.value());
  return {};
}

/** POST /v1/completions and /v1/chat/completions. */
auto HandleModel(entry_state& state, http_exchange& exchange, caller who)
    -> asio::awaitable<void> {
  const auto begin = clock::now();
  const auto& request = exchange.Request();
  auto call = ToOutcome([&] { return ParseModelCall(request.body); });
  if (!call) {
    co_await Refuse(state, exchange, call.error());
    co_return;
  }
  auto plan = MakePlan(state, std::move(who), begin);
  auto filled = FillRequest(plan, request, request.target);
  if (!filled) {
    co_await Refuse(state, exchange, filled.error());
    co_return;
  }
  plan.route.kind = offer_kind::kModel;
  plan.route.name = call->model.value;
  plan.route.prefix_hash = PrefixHash(call->prompt, state.options.prefix_bytes);
  // A completion changes nothing outside the engine.
  plan.idempotent = true;
  // On an idle connection that has gone silent only the lack of a first byte
  // tells; without streaming that byte comes too late.
  plan.may_reuse = call->stream;
  plan.first_byte =
      call->stream ? state.options.first_byte : state.options.whole_answer;
  const auto admitted =
      co_await AdmitOrRefuse(state, exchange, plan.who.workspace);
  if (admitted) {
    co_await RunOnBackend(state, exchange, std::move(plan));
  }
}

/** What the configuration says of a route. */
struct service_route {
  bool known = false;              ///< There is such a route.
  std::string service;             ///< Service that it leads to.
  bool open = false;               ///< No key is needed.
  std::optional<bool> idempotent;  ///< Set by the configuration.
};

/** Reads a route. */
auto FindRoute(const entry_state& state, const std::string& name)
    -> service_route {
  return state.replica.Read([&](const config_tree& tree) {
    service_route route;
    const auto path = "/routes/" + name;
    route.known = tree.Node(path) != nullptr;
    route.service = tree.LookupText(path, "service", "");
    route.open = tree.LookupBoolean(path, "open", false);
    const auto idempotent = tree.Lookup(path, "idempotent");
    if (idempotent && idempotent->is_bool()) {
      route.idempotent = idempotent->get_bool();
    }
    return route;
  });
}

/** /services/{route}/... with any method. */
auto HandleService(entry_state& state, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto begin = clock::now();
  const auto& request = exchange.Request();
  const auto rest = std::string_view(request.target).substr(kServices.size());
  const auto name_end = rest.find_first_of("/?");
  const std::string name(rest.substr(0, name_end));
  std::string target(name_end == std::string_view::npos
                         ? std::string_view()
                         : rest.substr(name_end));
  if (!target.starts_with('/')) {
    target.insert(0, "/");
  }
  const auto route = FindRoute(state, name);
  auto who = Identify(state, request, route.known && route.open);
  if (!who) {
    co_await Refuse(state, exchange, who.error());
    co_return;
  }
  if (!route.known || route.service.empty()) {
    auto error =
        NotRunFailure(error_code::kNotFound,
                      "there is no route \"" + name + "\"", "find route");
    co_await Refuse(state, exchange, std::move(error));
    co_return;
  }
  auto plan = MakePlan(state, std::move(who.value()), begin);
  auto filled = FillRequest(plan, request, target);
  if (!filled) {
    co_await Refuse(state, exchange, filled.error());
    co_return;
  }
  const bool has_key = !plan.who.key_hash.empty();
  plan.route.kind = offer_kind::kService;
  plan.route.name = route.service;
  plan.route.prefix_hash = PrefixHash(plan.request_id, plan.request_id.size());
  plan.idempotent =
      route.idempotent.value_or(IsIdempotentMethod(request.method));
  plan.may_reuse = true;
  plan.first_byte = state.options.first_byte;
  plan.open_route = has_key ? "" : name;
  const auto limit =
      has_key ? plan.who.workspace : workspace_id("/routes/" + name);
  const auto admitted = co_await AdmitOrRefuse(state, exchange, limit);
  if (admitted) {
    co_await RunOnBackend(state, exchange, std::move(plan));
  }
}

/** GET /v1/models. */
auto HandleModels(entry_state& state, http_exchange& exchange)
    -> asio::awaitable<void> {
  json::array data;
  for (const auto& model : state.servers.Models()) {
    data.push_back(json::object{
        {"id", model}, {"object", "model"}, {"owned_by", "dogwoodpass"}});
  }
  const json::object list{{"object", "list"}, {"data", std::move(data)}};
  state.metrics.CountAnswer(200);
  co_await exchange.Respond(JsonResponse(200, json::serialize(list)));
}

/** GET /v1/addresses. */
auto HandleAddresses(entry_state& state, http_exchange& exchange, caller who)
    -> asio::awaitable<void> {
  json::array addresses;
  for (const auto& address : EntryAddresses(state, who.workspace)) {
    addresses.push_back(json::value(address));
  }
  const auto keep_until = UnixMs() + state.options.address_keep.count();
  const json::object answer{{"addresses", std::move(addresses)},
                            {"keep_until_unix_ms", keep_until}};
  state.metrics.CountAnswer(200);
  co_await exchange.Respond(JsonResponse(200, json::serialize(answer)));
}

/** Requests that need a key on every path. */
auto HandleKeyed(entry_state& state, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const auto path = request.Path();
  auto identified = Identify(state, request, false);
  if (!identified) {
    co_await Refuse(state, exchange, identified.error());
    co_return;
  }
  auto who = std::move(identified.value());
  const bool is_post = request.method == "POST";
  const bool is_get = request.method == "GET";
  if (is_post &&
      (path == "/v1/completions" || path == "/v1/chat/completions")) {
    co_await HandleModel(state, exchange, std::move(who));
  } else if (is_get && path == "/v1/models") {
    co_await HandleModels(state, exchange);
  } else if (is_get && path == "/v1/addresses") {
    co_await HandleAddresses(state, exchange, std::move(who));
  } else if (path == kBatches ||
             path.starts_with(std::string(kBatches) + "/")) {
    const auto admitted =
        !is_post || co_await AdmitOrRefuse(state, exchange, who.workspace);
    if (admitted) {
      co_await ForwardBatch(state, exchange, std::move(who));
    }
  } else {
    auto error = NotRunFailure(
        error_code::kNotFound,
        "there is no " + request.method + " " + std::string(path), "find path");
    co_await Refuse(state, exchange, std::move(error));
  }
}

}  // namespace

auto HandleCaller(entry_state& state, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto answered = co_await HandleStatus(state, exchange);
  if (answered) {
    co_return;
  }
  if (exchange.Request().target.starts_with(kServices)) {
    co_await HandleService(state, exchange);
  } else {
    co_await HandleKeyed(state, exchange);
  }
}

}  // namespace dogwood
