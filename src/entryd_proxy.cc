#include "src/entryd_proxy.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/entryd_base.h"
#include "src/entryd_fleet.h"
#include "src/entryd_relay.h"
#include "src/entryd_watch.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

/** Timeout of a cancel request to a server. */
constexpr std::chrono::seconds kCancelTimeout{2};
/** Maximum size of the response to a cancel request. */
constexpr std::size_t kMaxCancelBytes = 64UL << 10;
/** Number of random bytes in a request id. */
constexpr std::size_t kRequestIdBytes = 12;

/** Keeps a request counted as in flight on a server for its lifetime. The count
 * was raised by server_table::Acquire(). */
class in_flight_guard {
 public:
  in_flight_guard(entry_state& state, server_id server)
      : state_(state), server_(std::move(server)) {
    state_.reports->RecordChange(server_);
  }
  in_flight_guard(const in_flight_guard&) = delete;
  auto operator=(const in_flight_guard&) -> in_flight_guard& = delete;
  ~in_flight_guard() {
    state_.servers.Release(server_);
    state_.reports->RecordChange(server_);
  }

 private:
  entry_state& state_;
  server_id server_;
};

/** Asks an engine to cancel a request whose response is no longer needed. */
auto SendCancel(std::string address, std::string request_id)
    -> asio::awaitable<void> {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return;
  }
  http_request request;
  request.method = "POST";
  request.target = "/cancel/" + request_id;
  auto answer = co_await Fetch(endpoint.value(), std::move(request),
                               clock::now() + kCancelTimeout, kMaxCancelBytes);
  if (!answer) {
    Log(log_level::kDebug, log_category::kRoute,
        {answer.error().message, "cancel request", address});
  }
}

/** A connection for one attempt. */
struct attempt_connection {
  std::shared_ptr<backend_connection> connection;
  bool reused = false;  ///< The connection came from the pool.
};

/** Takes an idle connection from the pool if the plan allows it and there is
 * one, otherwise opens a new one. */
auto OpenConnection(entry_state& state,
                    const proxy_plan& plan,
                    const route_choice& choice)
    -> asio::awaitable<outcome<attempt_connection>> {
  const auto now = clock::now();
  attempt_connection opened;
  if (plan.idempotent && plan.may_reuse) {
    opened.connection = state.pool.Acquire(choice.address, now);
    opened.reused = opened.connection != nullptr;
  }
  if (opened.reused) {
    co_return opened;
  }
  const auto deadline =
      std::min<time_point>(plan.deadline, now + state.options.connect_timeout);
  auto connected =
      co_await backend_connection::Connect(state.io, choice.address, deadline);
  if (!connected) {
    state.servers.RecordConnectFailure(choice.server, clock::now());
    co_return connected.error();
  }
  opened.connection = std::move(connected.value());
  co_return opened;
}

/** Gives the next attempt of a model request a new id, so that a late cancel of
 * the previous attempt does not end it. Service requests keep their id, because
 * a service may use it to detect repeated calls. */
auto AssignAttemptId(proxy_plan& plan, const std::string& id, unsigned count)
    -> void {
  if (plan.route.kind == offer_kind::kModel) {
    plan.request_id = id + "-" + std::to_string(count);
    plan.request.headers.Set("X-Request-Id", plan.request_id);
  }
}

/** Aborts an attempt that failed after the request may have been sent, and
 * cancels it on the engine. */
auto AbandonAttempt(entry_state& state,
                    const proxy_plan& plan,
                    const attempt_connection& opened) -> void {
  opened.connection->Abort();
  if (plan.route.kind == offer_kind::kModel) {
    asio::co_spawn(asio::make_strand(state.io),
                   SendCancel(opened.connection->address(), plan.request_id),
                   LogException);
  }
}

/** Results of the attempts of one request so far. */
struct attempt_history {
  unsigned count = 0;              ///< Number of attempts.
  ran_state ran = ran_state::kNo;  ///< kMaybe if any attempt may have run.
  std::vector<server_id> tried;    ///< Servers tried over a new connection.
  std::vector<server_id>
      unreachable;          ///< Servers that could not be connected to.
  relay_progress progress;  ///< What the caller has been sent already.
};

/** Creates the failure for an invalid response of a server. */
auto BadResponse(std::string message,
                 std::string step,
                 const backend_connection& connection) -> failure {
  return {.code = error_code::kBadGateway,
          .message = std::move(message),
          .ran = ran_state::kMaybe,
          .step = std::move(step),
          .peer = connection.address()};
}

/** Sends the request over an open connection and relays the response. */
auto Exchange(entry_state& state,
              http_exchange& exchange,
              const proxy_plan& plan,
              const attempt_connection& opened,
              attempt_history& history) -> asio::awaitable<outcome<void>> {
  auto& connection = *opened.connection;
  const auto limit =
      opened.reused
          ? std::min<duration>(plan.first_byte_timeout,
                               state.options.reused_first_byte_timeout)
          : plan.first_byte_timeout;
  const auto first_byte_deadline =
      std::min<time_point>(plan.deadline, clock::now() + limit);
  history.progress.first_part_deadline = first_byte_deadline;
  auto sent = co_await connection.Send(plan.request, first_byte_deadline);
  if (!sent) {
    co_return sent.error();
  }
  auto head = co_await connection.ReadHead(first_byte_deadline);
  if (!head) {
    co_return head.error();
  }
  if (!ResponseMatchesRequest(head.value(), plan.request_id)) {
    co_return BadResponse("the answer names another request", "match answer",
                          connection);
  }
  const bool last = history.count >= state.options.max_attempts;
  if (head->status == 503 && plan.idempotent && !last) {
    auto error = BadResponse("the server answered with status 503", "read head",
                             connection);
    error.code = error_code::kUnavailable;
    co_return error;
  }
  co_return co_await Relay(state, exchange, plan, connection,
                           std::move(head.value()), history.progress);
}

/** Makes one attempt: chooses a server, connects, and exchanges the request. */
auto Attempt(entry_state& state,
             http_exchange& exchange,
             const proxy_plan& plan,
             request_watch& watch,
             attempt_history& history) -> asio::awaitable<outcome<void>> {
  auto route = plan.route;
  route.tried = history.tried;
  route.excluded = history.unreachable;
  auto choice =
      ToOutcome([&] { return state.servers.Acquire(route, clock::now()); });
  if (!choice) {
    co_return choice.error();
  }
  const in_flight_guard in_flight(state, choice->server);
  ++history.count;
  if (choice->remote) {
    state.metrics.CountRemote();
  }
  auto opened = co_await OpenConnection(state, plan, choice.value());
  if (!opened) {
    history.unreachable.push_back(choice->server);
    co_return opened.error();
  }
  // A failure on a reused connection does not mean that the server itself
  // fails: the connection may have died while it was idle.
  if (!opened->reused) {
    history.tried.push_back(choice->server);
  }
  watch.SetConnection(opened->connection);
  if (watch.reason()) {
    co_return *watch.reason();
  }
  auto done = co_await Exchange(state, exchange, plan, opened.value(), history);
  watch.SetConnection(nullptr);
  if (!done) {
    history.ran = ran_state::kMaybe;
    AbandonAttempt(state, plan, opened.value());
  } else if (!watch.reason()) {
    // If the watch has a reason it has aborted the connection.
    state.pool.Release(opened->connection, clock::now());
  }
  co_return done;
}

/** Makes attempts until one succeeds or no further retry is allowed. */
auto RunWithRetries(entry_state& state,
                    http_exchange& exchange,
                    proxy_plan& plan,
                    request_watch& watch,
                    attempt_history& history)
    -> asio::awaitable<outcome<void>> {
  state.retries.RecordRequest();
  const auto id = plan.request_id;
  std::optional<failure> last;
  while (true) {
    auto done = co_await Attempt(state, exchange, plan, watch, history);
    if (done) {
      co_return done;
    }
    auto error = done.error();
    // If no other server can be chosen, the failure of the previous attempt is
    // more informative.
    const bool no_server = error.step == "choose server";
    if (no_server && last) {
      error = *last;
    }
    if (watch.reason()) {
      error = *watch.reason();
    }
    if (history.ran == ran_state::kMaybe) {
      error.ran = ran_state::kMaybe;
    }
    last = error;
    retry_state retry;
    retry.idempotent = plan.idempotent;
    retry.ran = history.ran;
    retry.bytes_sent_to_caller = exchange.HasStartedResponse() ? 1 : 0;
    retry.attempts = history.count;
    retry.max_attempts = state.options.max_attempts;
    retry.deadline = plan.deadline;
    if (no_server || watch.reason() ||
        !state.retries.TryRetry(retry, clock::now())) {
      co_return error;
    }
    state.metrics.CountRetry();
    AssignAttemptId(plan, id, history.count + 1);
    Log(log_level::kInfo, log_category::kRoute,
        {"retrying: " + error.message, error.step, error.peer});
  }
}

/** Checks whether a running request may continue: the caller is still
 * connected, its key is valid or its route still open, and the proof is fresh.
 */
auto CheckMayContinue(entry_state& state,
                      http_exchange& exchange,
                      const caller& who,
                      const std::string& open_route) -> outcome<void> {
  if (exchange.IsCallerDisconnected()) {
    return failure{.code = error_code::kUnavailable,
                   .message = "the caller has closed its connection",
                   .ran = ran_state::kMaybe,
                   .step = "watch caller",
                   .peer = exchange.Request().peer};
  }
  if (!open_route.empty()) {
    const bool is_open = state.replica.Read([&](const config_tree& tree) {
      return tree.LookupBoolean("/routes/" + open_route, "open", false);
    });
    if (!is_open) {
      return failure{.code = error_code::kUnauthorized,
                     .message = "the route is not open any more",
                     .ran = ran_state::kMaybe,
                     .step = "check key",
                     .peer = ""};
    }
  }
  return CheckStillValid(state, who);
}

}  // namespace

auto NewRequestId(const entry_state& state) -> std::string {
  return state.options.host.value + "-" + ToHex(RandomBytes(kRequestIdBytes));
}

auto Refuse(entry_state& state,
            http_exchange& exchange,
            failure error,
            unsigned retry_after_s) -> asio::awaitable<void> {
  state.metrics.CountFailure(error.step, NameOf(error.code));
  const bool expected = HttpStatusOf(error.code) < 500;
  Log(expected ? log_level::kDebug : log_level::kWarning, log_category::kHttp,
      {error.message, error.step, error.peer});
  if (exchange.HasStartedResponse()) {
    co_return;
  }
  state.metrics.CountAnswer(HttpStatusOf(error.code));
  co_await exchange.RespondFailure(std::move(error), retry_after_s);
}

auto RunOnBackend(entry_state& state, http_exchange& exchange, proxy_plan plan)
    -> asio::awaitable<void> {
  auto executor = co_await asio::this_coro::executor;
  auto check = [&state, &exchange, &plan] {
    return CheckMayContinue(state, exchange, plan.who, plan.open_route);
  };
  const watch_guard watch(executor, state.options.recheck_interval,
                          std::move(check));
  attempt_history history;
  auto done =
      co_await RunWithRetries(state, exchange, plan, watch.get(), history);
  watch.get().Stop();
  if (done) {
    state.metrics.RecordTotal(plan.who.workspace_class,
                              clock::now() - plan.begin);
    co_return;
  }
  auto error = done.error();
  co_await EndBrokenStream(exchange, history.progress, error);
  co_await Refuse(state, exchange, std::move(error));
}

}  // namespace dogwood
