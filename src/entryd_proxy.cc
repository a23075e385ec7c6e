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

/** Longest wait for a server to take a cancel. */
constexpr std::chrono::seconds kCancelLimit{2};
/** Longest answer to a cancel. */
constexpr std::size_t kMaxCancelBytes = 64UL << 10;
/** Random bytes of a request id. */
constexpr std::size_t kRequestIdBytes = 12;

/** Counts a request as in flight on a server while it lives. */
class server_lease {
 public:
  server_lease(entry_state& state, server_id server)
      : state_(state), server_(std::move(server)) {
    state_.reports->NoteChange(server_);
  }
  server_lease(const server_lease&) = delete;
  auto operator=(const server_lease&) -> server_lease& = delete;
  ~server_lease() {
    state_.servers.Release(server_);
    state_.reports->NoteChange(server_);
  }

 private:
  entry_state& state_;
  server_id server_;
};

/** Tells an engine that nobody waits for a request any more. */
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
                               clock::now() + kCancelLimit, kMaxCancelBytes);
  if (!answer) {
    Log(log_level::kDebug, log_category::kRoute,
        {answer.error().message, "cancel request", address});
  }
}

/** A connection for one attempt. */
struct attempt_connection {
  std::shared_ptr<backend_connection> connection;  ///< Connection.
  bool reused = false;                             ///< Was idle before.
};

/** An idle connection where that is allowed, else a new one. */
auto OpenConnection(entry_state& state,
                    const proxy_plan& plan,
                    const route_choice& choice)
    -> asio::awaitable<outcome<attempt_connection>> {
  const auto now = clock::now();
  attempt_connection opened;
  if (plan.idempotent && plan.may_reuse) {
    opened.connection = state.pool.Take(choice.address, now);
    opened.reused = opened.connection != nullptr;
  }
  if (opened.reused) {
    co_return opened;
  }
  const auto deadline =
      std::min<time_point>(plan.deadline, now + state.options.connect);
  auto connected =
      co_await backend_connection::Connect(state.io, choice.address, deadline);
  if (!connected) {
    state.servers.RecordConnectFailure(choice.server, clock::now());
    co_return connected.error();
  }
  opened.connection = std::move(connected.value());
  co_return opened;
}

/** Names the next attempt of a model request anew, so that a cancel of the one
 * before does not end it. Services may tell repeated calls by the id. */
auto RenameAttempt(proxy_plan& plan, const std::string& id, unsigned count)
    -> void {
  if (plan.route.kind == offer_kind::kModel) {
    plan.request_id = id + "-" + std::to_string(count);
    plan.request.headers.Set("X-Request-Id", plan.request_id);
  }
}

/** Ends an attempt that failed after the request may have been sent. */
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

/** What the attempts of one request have come to. */
struct attempt_log {
  unsigned count = 0;                  ///< Attempts so far.
  ran_state ran = ran_state::kNo;      ///< Over all attempts.
  std::vector<server_id> tried;        ///< Failed after a request was sent.
  std::vector<server_id> unreachable;  ///< Could not be connected.
  relay_progress progress;             ///< What the caller has.
};

/** A failure of a server's answer. */
auto BadAnswer(std::string message,
               std::string step,
               const backend_connection& connection) -> failure {
  return {.code = error_code::kBadGateway,
          .message = std::move(message),
          .ran = ran_state::kMaybe,
          .step = std::move(step),
          .peer = connection.address()};
}

/** Sends the request and passes the answer on. */
auto Exchange(entry_state& state,
              http_exchange& exchange,
              const proxy_plan& plan,
              const attempt_connection& opened,
              attempt_log& log) -> asio::awaitable<outcome<void>> {
  auto& connection = *opened.connection;
  const auto limit =
      opened.reused
          ? std::min<duration>(plan.first_byte, state.options.reused_first_byte)
          : plan.first_byte;
  const auto first_byte =
      std::min<time_point>(plan.deadline, clock::now() + limit);
  log.progress.first_part_deadline = first_byte;
  auto sent = co_await connection.Send(plan.request, first_byte);
  if (!sent) {
    co_return sent.error();
  }
  auto head = co_await connection.ReadHead(first_byte);
  if (!head) {
    co_return head.error();
  }
  if (!ResponseMatchesRequest(head.value(), plan.request_id)) {
    co_return BadAnswer("the answer names another request", "match answer",
                        connection);
  }
  const bool last = log.count >= state.options.max_attempts;
  if (head->status == 503 && plan.idempotent && !last) {
    auto error = BadAnswer("the server answered with status 503", "read head",
                           connection);
    error.code = error_code::kUnavailable;
    co_return error;
  }
  co_return co_await Relay(state, exchange, plan, connection,
                           std::move(head.value()), log.progress);
}

/** One attempt on one server. */
auto Attempt(entry_state& state,
             http_exchange& exchange,
             const proxy_plan& plan,
             request_watch& watch,
             attempt_log& log) -> asio::awaitable<outcome<void>> {
  auto route = plan.route;
  route.tried = log.tried;
  route.excluded = log.unreachable;
  auto choice =
      ToOutcome([&] { return state.servers.Acquire(route, clock::now()); });
  if (!choice) {
    co_return choice.error();
  }
  const server_lease lease(state, choice->server);
  ++log.count;
  if (choice->remote) {
    state.metrics.CountRemote();
  }
  auto opened = co_await OpenConnection(state, plan, choice.value());
  if (!opened) {
    log.unreachable.push_back(choice->server);
    co_return opened.error();
  }
  // An idle connection that fails says nothing of new ones to the server.
  if (!opened->reused) {
    log.tried.push_back(choice->server);
  }
  watch.SetConnection(opened->connection);
  if (watch.reason()) {
    co_return *watch.reason();
  }
  auto done = co_await Exchange(state, exchange, plan, opened.value(), log);
  watch.SetConnection(nullptr);
  if (!done) {
    log.ran = ran_state::kMaybe;
    AbandonAttempt(state, plan, opened.value());
  } else if (!watch.reason()) {
    // With a reason the watch has aborted the connection.
    state.pool.Put(opened->connection, clock::now());
  }
  co_return done;
}

/** Attempts until one succeeds or no further one is allowed. */
auto AttemptAll(entry_state& state,
                http_exchange& exchange,
                proxy_plan& plan,
                request_watch& watch,
                attempt_log& log) -> asio::awaitable<outcome<void>> {
  state.retries.RecordRequest();
  const auto id = plan.request_id;
  std::optional<failure> last;
  while (true) {
    auto done = co_await Attempt(state, exchange, plan, watch, log);
    if (done) {
      co_return done;
    }
    auto error = done.error();
    // A failure to find another server says less than the attempt before it.
    const bool no_server = error.step == "choose server";
    if (no_server && last) {
      error = *last;
    }
    if (watch.reason()) {
      error = *watch.reason();
    }
    if (log.ran == ran_state::kMaybe) {
      error.ran = ran_state::kMaybe;
    }
    last = error;
    retry_state question;
    question.idempotent = plan.idempotent;
    question.ran = log.ran;
    question.bytes_sent_to_caller = exchange.HasStartedResponse() ? 1 : 0;
    question.attempts = log.count;
    question.max_attempts = state.options.max_attempts;
    question.deadline = plan.deadline;
    if (no_server || watch.reason() ||
        !state.retries.TryRetry(question, clock::now())) {
      co_return error;
    }
    state.metrics.CountRetry();
    RenameAttempt(plan, id, log.count + 1);
    Log(log_level::kInfo, log_category::kRoute,
        {"retrying: " + error.message, error.step, error.peer});
  }
}

/** Whether a running request may go on: the caller is there, its key is valid
 * or its route still open, and the proof is fresh. */
auto MayGoOn(entry_state& state,
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
    return MayGoOn(state, exchange, plan.who, plan.open_route);
  };
  const watch_guard watch(executor, state.options.recheck, std::move(check));
  attempt_log log;
  auto done = co_await AttemptAll(state, exchange, plan, watch.get(), log);
  watch.get().Stop();
  if (done) {
    state.metrics.RecordTotal(plan.who.workspace_class,
                              clock::now() - plan.begin);
    co_return;
  }
  auto error = done.error();
  co_await EndBrokenStream(exchange, log.progress, error);
  co_await Refuse(state, exchange, std::move(error));
}

}  // namespace dogwood
