#include "src/hostd_front.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <optional>
#include <utility>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/hostd_caller.h"
#include "src/hostd_failover.h"
#include "src/hostd_placement.h"
#include "src/hostd_relay.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

/** Timeout of a request whose caller sent none. */
constexpr milliseconds kDefaultTimeout{10000};
/** A host that has just started delays requests until it knows the declared
 * state and the servers, at most this long after its start. The store delivers
 * them within 0.1 s, and a caller whose first host died retries only once. */
constexpr milliseconds kStartupTimeout{250};
/** Retry-After for callers while the host knows no declared state. */
constexpr milliseconds kUnreadyRetryAfter{500};
/** Retry-After for callers that should ask another host. */
constexpr milliseconds kElsewhereRetryAfter{1};
/** Maximum number of servers per request that may decline to run it. */
constexpr unsigned kMaxNotRun = 6;
/** Weight of the newest run in the smoothed duration of complete runs. */
constexpr double kRunWeight = 0.05;
/** Longest Retry-After that callers honour, as a fraction of their remaining
 * time. */
constexpr double kRetryAfterShare = 0.3;

/** Forwards a stream to a caller. */
class caller_sink : public answer_sink {
 public:
  caller_sink(http_exchange& exchange,
              caller_watch::entry& watch,
              failover_search& failover)
      : exchange_(exchange), watch_(watch), failover_(failover) {}

  auto HandleHead(const http_head& head) -> asio::awaitable<bool> override {
    auto sent = co_await exchange_.BeginStream(head);
    co_return RecordSent(sent);
  }

  auto HandleEvents(std::string events) -> asio::awaitable<bool> override {
    failover_.Cancel();
    last_event_at_ = clock::now();
    auto sent = co_await exchange_.WriteChunk(events);
    co_return RecordSent(sent);
  }

  /** When the latest events arrived; the epoch before the first. */
  auto last_event_at() const -> time_point { return last_event_at_; }

 private:
  auto RecordSent(const outcome<void>& sent) -> bool {
    if (!sent) {
      watch_.MarkDisconnected();
    }
    return sent.has_value();
  }

  http_exchange& exchange_;
  caller_watch::entry& watch_;
  failover_search& failover_;
  time_point last_event_at_;
};

/** Returns why a placement request was refused. */
auto ReasonOf(placement_verdict verdict) -> std::string {
  using enum placement_verdict;
  switch (verdict) {
    case kOverLimit:
      return "workspace is at its limit";
    case kNoServer:
      return "service has no server";
    case kQuarantined:
      return "the request or a part of its prompt crashes servers";
    default:
      return "no slot is free in time";
  }
}

/** Returns a number of seconds as a duration. */
auto ToDuration(double seconds) -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

/** Returns a duration in whole milliseconds. */
auto Millis(duration d) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

/** Returns the failure of a request that this host is too near its stop to
 * finish. */
auto StopFailure() -> failure {
  return NotRunFailure(error_code::kUnavailable,
                       "this host stops before the request could be finished",
                       "place request");
}

/** Returns the hash of a request of a workspace. */
auto HashOf(const http_request& request, const workspace_id& workspace)
    -> request_hash {
  return request_hash(StableHash(workspace.value + "\n" + request.target +
                                 "\n" +
                                 std::to_string(StableHash(request.body))));
}

/** Serves one request: placement, attempts at servers, retries and the answer.
 */
class request_run {
 public:
  request_run(host_state& host,
              http_exchange& exchange,
              const caller_request& caller,
              std::shared_ptr<const deployment_index> deployment,
              const route_rule& route,
              workspace_id workspace,
              time_point arrived)
      : host_(host),
        exchange_(exchange),
        caller_(caller),
        deployment_(std::move(deployment)),
        route_(route),
        workspace_(std::move(workspace)),
        regions_(RegionsOf(route, deployment_->FindWorkspace(workspace_))),
        content_(HashOf(exchange.Request(), workspace_)),
        service_(PickService(route, host.RandomUnit())),
        watch_(*host.callers, exchange),
        failover_(host,
                  [this](ticket_id ticket, const placement_answer& granted) {
                    return MoveOn(ticket, granted);
                  }),
        sink_(exchange, watch_, failover_),
        arrived_(arrived) {
    const auto remaining = caller.time_remaining.value_or(kDefaultTimeout);
    const auto limit = route.answer_timeout.count() > 0
                           ? std::min(remaining, route.answer_timeout)
                           : remaining;
    deadline_ = arrived_ + limit;
    progress_.last_event = caller.resume_after;
    watch_.OnExit([this] { LogCut(); });
    is_retry_ = caller.time_remaining &&
                host.history[route.id].detector.RecordAndCheckRetry(
                    route, remaining, caller.resume_after);
  }

  auto Run() -> asio::awaitable<void> {
    if (regions_.AllowsNone()) {
      co_await Fail(NotRunFailure(error_code::kUnavailable,
                                  "route \"" + route_.id.value +
                                      "\" and workspace \"" + workspace_.value +
                                      "\" have no allowed region in common",
                                  "place request"));
      co_return;
    }
    while (MayBegin()) {
      auto placed = co_await NextPlace();
      if (watch_.is_disconnected()) {
        ReleaseUnused(placed);
        co_return Finish("caller left");
      }
      if (!MayBegin()) {
        ReleaseUnused(placed);
        break;
      }
      if (placed.verdict != placement_verdict::kGranted) {
        co_await Refuse(placed);
        co_return;
      }
      const auto* found = host_.placement->FindServer(placed.server);
      if (found == nullptr || found->service != service_ || found->leaving) {
        ReleaseUnused(placed);
        AvoidServer(placed.server, {});
        if (++not_run_count_ > kMaxNotRun) {
          co_await Fail(NotRunFailure(error_code::kUnavailable,
                                      "no server could be used",
                                      "place request"));
          co_return;
        }
        continue;
      }
      // Copied because the registrations may change while the server answers.
      const auto server = *found;
      auto result = co_await Attempt(server);
      if (watch_.is_disconnected()) {
        co_return Finish("caller left");
      }
      const bool is_over = co_await HandleResult(std::move(result), server);
      if (is_over) {
        co_return;
      }
    }
    co_await Fail(StopFailure(), kElsewhereRetryAfter);
  }

 private:
  /** Returns the expected times of the remaining run of this request at a
   * server. */
  auto ExpectedTimes() const -> run_times {
    const auto first = ToDuration(host_.times[service_].first_event_s);
    // A run that resumes after an event is shorter than a complete one.
    const bool is_complete = progress_.last_event == 0;
    const auto complete_run = ToDuration(host_.history[route_.id].run_s);
    return {first, is_complete ? std::max(first, complete_run) : first};
  }

  /** Returns a request for a slot on a server that is not in `avoided`. */
  auto MakeRequest(std::vector<server_id> avoided) const -> placement_request {
    const auto last_event = sink_.last_event_at();
    const auto limits =
        last_event == time_point()
            ? StartLimits(route_, arrived_, deadline_, ExpectedTimes())
            : ContinuationLimits(route_, last_event, deadline_,
                                 ExpectedTimes());
    return {
        .host = {},
        .ticket = host_.placement->NewTicket(),
        .service = service_,
        .workspace = workspace_,
        .work = work_class::kOnline,
        .priority = route_.priority,
        .takes_token = !has_token_,
        .is_retry = is_retry_ || attempts_ > 0,
        .place = {host_.options.data_centre, host_.options.region},
        .regions = regions_,
        .latest_on_time_start = limits.latest_on_time_start,
        .latest_start = std::min(limits.latest_start, LatestStartBeforeStop()),
        .avoided = std::move(avoided),
        .connected = ConnectedServers(host_, service_, IsRepeatable()),
        .prompt = caller_.prompt,
        .content = content_,
        .objectives = {route_.objective, route_.event_gap_objective}};
  }

  /** Returns the latest start at a server that a planned stop of this host
   * allows. */
  auto LatestStartBeforeStop() const -> time_point {
    const bool has_begun = sink_.last_event_at() != time_point();
    return has_begun
               ? time_point::max()
               : LatestDrainStart(host_.drain, deadline_,
                                  ToDuration(host_.history[route_.id].run_s));
  }

  /** Whether a planned stop of this host leaves time for an attempt. A begun
   * stream goes on as long as the process runs. */
  auto MayBegin() const -> bool {
    return clock::now() <= LatestStartBeforeStop();
  }

  /** Withdraws the placement request of a request that can no longer be
   * finished. */
  auto CheckWaiting() -> void {
    if (!MayBegin()) {
      watch_.OnDrainCheck({});
      host_.placement->Withdraw(ticket_);
    }
  }

  /** Ends an attempt shortly before the process exits, so that its caller gets
   * an answer. */
  auto CheckRunning(attempt_handle& handle) -> void {
    if (clock::now() >= host_.drain.ends && !exchange_.HasStartedResponse()) {
      watch_.OnDrainCheck({});
      handle.Abort();
    }
  }

  /** Returns the slot on which the request moves on, or asks for one. */
  auto NextPlace() -> asio::awaitable<placement_answer> {
    if (next_slot_) {
      ticket_ = next_slot_->ticket;
      last_answer_ = std::exchange(next_slot_, {})->answer;
      placed_at_ = clock::now();
      co_return last_answer_;
    }
    auto answer = co_await Place();
    co_return answer;
  }

  auto Place() -> asio::awaitable<placement_answer> {
    auto request = MakeRequest(avoided_);
    ticket_ = request.ticket;
    watch_.OnDisconnect([this] { host_.placement->Withdraw(ticket_); });
    watch_.OnDrainCheck([this] { CheckWaiting(); });
    auto answer = co_await host_.placement->Place(std::move(request));
    watch_.OnDrainCheck({});
    watch_.OnDisconnect({});
    placed_at_ = clock::now();
    last_answer_ = answer;
    has_token_ = has_token_ || answer.verdict == placement_verdict::kGranted;
    co_return answer;
  }

  auto ReleaseUnused(const placement_answer& placed) -> void {
    if (placed.verdict == placement_verdict::kGranted) {
      host_.placement->End({ticket_, run_outcome::kUnused});
    }
  }

  /** Looks for another server than the silent one. */
  auto SeekServer(const server_id& silent) -> void {
    if (!MayBegin()) {
      return;
    }
    ++silences_;
    auto avoided = avoided_;
    avoided.push_back(silent);
    failover_.Start(MakeRequest(std::move(avoided)));
  }

  /** Leaves the silent server for the one on which a slot was granted. Returns
   * false if the request can't. */
  auto MoveOn(ticket_id ticket, const placement_answer& granted) -> bool {
    const auto* found = host_.placement->FindServer(granted.server);
    if (running_ == nullptr || running_->aborted || found == nullptr ||
        found->leaving) {
      return false;
    }
    next_slot_ = {ticket, granted};
    running_->MoveOn();
    return true;
  }

  auto IsRepeatable() const -> bool {
    return route_.kind == request_kind::kIdempotent ||
           (route_.kind == request_kind::kStream && route_.resumable);
  }

  auto Attempt(const registered_server& server)
      -> asio::awaitable<attempt_result> {
    const bool may_move_on =
        IsRepeatable() && attempts_ + 1 < route_.max_attempts;
    attempt_spec spec{.request = &exchange_.Request(),
                      .attempt = caller_.attempt,
                      .server = server,
                      .workspace = workspace_,
                      .service = service_,
                      .deadline = deadline_,
                      .is_repeatable = IsRepeatable(),
                      .is_batch = false,
                      .on_silence = {},
                      .first_event_objective = route_.objective,
                      .event_gap_objective = route_.event_gap_objective};
    if (may_move_on) {
      spec.on_silence = [this, &server] { SeekServer(server.id); };
    }
    last_server_ = server.id;
    attempt_handle handle;
    running_ = &handle;
    watch_.OnDisconnect([&handle] { handle.Abort(); });
    watch_.OnDrainCheck([this, &handle] { CheckRunning(handle); });
    auto result = co_await RunAttempt(host_, spec, progress_, handle, sink_);
    running_ = nullptr;
    failover_.Cancel();
    watch_.OnDrainCheck({});
    watch_.OnDisconnect({});
    host_.placement->End(
        {ticket_, result.outcome, result.may_have_crashed, result.times});
    if (result.may_have_crashed) {
      LogEvent(log_level::kInfo, log_category::kRoute, "server_broke_off",
               {{"request", caller_.attempt.value},
                {"server", server.id.value},
                {"content", content_.value},
                {"prompt_own", caller_.prompt.own.value}});
    }
    if (result.is_complete && attempts_ == 0 && caller_.resume_after == 0) {
      RecordRunTime();
    }
    if (result.may_have_run) {
      ++attempts_;
      may_have_run_ = true;
    } else {
      ++not_run_count_;
    }
    if (result.first_event != time_point() && first_event_ == time_point()) {
      first_event_ = result.first_event;
      host_.metrics.RecordFirstToken(route_.id.value, first_event_ - arrived_);
    }
    co_return result;
  }

  /** Updates the smoothed duration of complete runs. */
  auto RecordRunTime() -> void {
    auto& average = host_.history[route_.id].run_s;
    const auto seconds =
        std::chrono::duration<double>(clock::now() - placed_at_).count();
    average =
        average == 0 ? seconds : average + kRunWeight * (seconds - average);
  }

  /** Handles the result of an attempt. Returns true if the request is finished.
   */
  auto HandleResult(attempt_result result, const registered_server& server)
      -> asio::awaitable<bool> {
    if (result.is_complete && !result.answer && progress_.has_head) {
      co_await exchange_.EndStream();
      Finish("answered");
      co_return true;
    }
    const bool is_final_answer =
        result.answer && (result.answer->status / 100 != 5 || !MayRetry());
    if (is_final_answer && !exchange_.HasStartedResponse()) {
      const auto status = result.answer->status;
      host_.metrics.CountAnswer(status);
      co_await exchange_.Respond(std::move(*result.answer));
      Finish("answered", status);
      co_return true;
    }
    if (result.may_have_run && !MayRetry()) {
      co_await Fail(result.error);
      co_return true;
    }
    if (!result.may_have_run && not_run_count_ > kMaxNotRun) {
      co_await Fail(result.error);
      co_return true;
    }
    if (clock::now() >= deadline_) {
      co_await Fail(result.error);
      co_return true;
    }
    host_.metrics.CountRetry();
    AvoidServer(server.id, result);
    Log(log_level::kInfo, log_category::kRoute,
        {"request " + caller_.attempt.value +
             " goes on elsewhere after event " +
             std::to_string(progress_.last_event) + ": " + result.error.message,
         result.error.step, server.id.value});
    co_return false;
  }

  /** Keeps the next placement requests away from a server. */
  auto AvoidServer(const server_id& server, const attempt_result& result)
      -> void {
    avoided_.push_back(server);
    if (result.was_left_silent) {
      left_silent_.push_back(server);
    } else if (!result.may_have_run) {
      // The servers that were left may be sound, and this one has not replaced
      // them.
      std::erase_if(avoided_, [this](const server_id& id) {
        return std::ranges::find(left_silent_, id) != left_silent_.end();
      });
      left_silent_.clear();
    }
  }

  /** Whether the request may be sent to another server although one may have
   * run it. */
  auto MayRetry() const -> bool {
    return IsRepeatable() && attempts_ < route_.max_attempts &&
           clock::now() < deadline_;
  }

  auto Refuse(const placement_answer& placed) -> asio::awaitable<void> {
    using enum placement_verdict;
    const bool is_over = placed.verdict == kOverLimit;
    auto error = NotRunFailure(
        is_over ? error_code::kTooManyRequests : error_code::kUnavailable,
        ReasonOf(placed.verdict), "place request");
    error.message += "; " + std::to_string(placed.waiting) + " wait, " +
                     std::to_string(placed.free) + " slots free";
    const auto now = clock::now();
    const auto wanted =
        std::chrono::duration_cast<milliseconds>(placed.retry_at - now);
    const auto longest = std::chrono::duration_cast<milliseconds>(
        (deadline_ - now) * kRetryAfterShare);
    co_await Fail(std::move(error),
                  std::clamp(wanted, milliseconds(1),
                             std::max(longest, milliseconds(1))));
  }

  /** Ends the request without a complete answer. */
  auto Fail(failure error, milliseconds retry_after = milliseconds(0))
      -> asio::awaitable<void> {
    if (exchange_.HasStartedResponse()) {
      // Returning closes the connection, so that the caller cannot mistake the
      // partial answer for a complete one.
      Finish("broken off: " + error.message);
      co_return;
    }
    if (may_have_run_) {
      error.ran = ran_state::kMaybe;
      error.code = clock::now() >= deadline_ ? error_code::kDeadlineExceeded
                                             : error_code::kBadGateway;
    } else {
      error.ran = ran_state::kNo;
      if (error.code != error_code::kTooManyRequests) {
        error.code = error_code::kUnavailable;
      }
    }
    host_.metrics.CountFailure(error.step, NameOf(error.code));
    const auto status = HttpStatusOf(error.code);
    Finish("refused or failed: " + error.message, status);
    co_await RespondRefusal(exchange_, error, retry_after);
  }

  /** Logs that the process exits in the middle of the request. */
  auto LogCut() const -> void {
    const auto now = clock::now();
    LogEvent(log_level::kWarning, log_category::kRoute, "request_cut",
             {{"request", caller_.attempt.value},
              {"route", route_.id.value},
              {"ms", Millis(now - arrived_)},
              {"arrived_after_stop_ms", Millis(arrived_ - host_.drain.begun)},
              {"time_left_ms", Millis(deadline_ - now)},
              {"attempts", attempts_},
              {"is_running", running_ != nullptr},
              {"last_event", progress_.last_event},
              {"server", last_server_.value}});
  }

  /** Logs the end of the request and records its total time. Called once for
   * each request. */
  auto Finish(std::string what, unsigned status = 200) -> void {
    if (next_slot_) {
      host_.placement->End({next_slot_->ticket, run_outcome::kUnused});
      next_slot_.reset();
    }
    const auto now = clock::now();
    host_.metrics.RecordTotal(route_.id.value, now - arrived_);
    json::object fields{
        {"request", caller_.attempt.value},
        {"workspace", workspace_.value},
        {"route", route_.id.value},
        {"state_version", deployment_->state().version.value},
        {"outcome", std::move(what)},
        {"status", status},
        {"ms", Millis(now - arrived_)},
        {"first_event_ms",
         first_event_ == time_point() ? -1 : Millis(first_event_ - arrived_)},
        {"time_left_ms", Millis(deadline_ - now)},
        {"attempts", attempts_},
        {"not_run", not_run_count_},
        {"last_event", progress_.last_event},
        {"silences", silences_},
        {"placed_ms", Millis(placed_at_ - arrived_)},
        {"asks_waiting", last_answer_.waiting},
        {"slots_free", last_answer_.free},
        {"returning", is_retry_},
        {"server", last_server_.value},
        {"dispatcher", host_.placement->HasDispatcher()}};
    LogEvent(log_level::kInfo, log_category::kRoute, "request_end",
             std::move(fields));
  }

  host_state& host_;
  http_exchange& exchange_;
  const caller_request& caller_;
  std::shared_ptr<const deployment_index> deployment_;  // Owns route_.
  const route_rule& route_;
  workspace_id workspace_;
  region_bound regions_;  // Of the servers that may run the request.
  request_hash content_;
  service_id service_;
  caller_watch::entry watch_;
  failover_search failover_;
  caller_sink sink_;
  time_point arrived_;
  time_point deadline_;
  time_point first_event_;
  stream_progress progress_;
  std::vector<server_id> avoided_;
  std::vector<server_id> left_silent_;  // Those of avoided_ that were silent.
  attempt_handle* running_ = nullptr;   // The attempt in progress.
  /** Slot that was granted while the server was silent. */
  struct granted_slot {
    ticket_id ticket;
    placement_answer answer;
  };
  std::optional<granted_slot> next_slot_;
  ticket_id ticket_;
  placement_answer last_answer_;  // Answer to the newest placement request.
  time_point placed_at_;          // When last_answer_ arrived.
  server_id last_server_;
  unsigned attempts_ = 0;  // Number of servers that may have run the request.
  unsigned not_run_count_ = 0;  // Number of servers that certainly did not.
  unsigned silences_ = 0;       // Times that another server was looked for.
  bool may_have_run_ = false;
  bool has_token_ = false;
  bool is_retry_ = false;
};

/** Refuses a request before its route and workspace are known, and logs it. */
auto RefuseEarly(host_state& host,
                 http_exchange& exchange,
                 const caller_request& caller,
                 failure error,
                 milliseconds retry_after = milliseconds(0))
    -> asio::awaitable<void> {
  host.metrics.CountFailure(error.step, NameOf(error.code));
  const auto version =
      host.deployment == nullptr ? 0 : host.deployment->state().version.value;
  LogEvent(log_level::kInfo, log_category::kRoute, "request_refused",
           {{"request", caller.attempt.value},
            {"host_name", caller.host},
            {"path", caller.path},
            {"state_version", version},
            {"status", HttpStatusOf(error.code)},
            {"outcome", error.message}});
  co_await RespondRefusal(exchange, error, retry_after);
}

/** Waits, after a start of the host, for the declared state and the servers. */
auto AwaitStartup(host_state& host) -> asio::awaitable<void> {
  const auto until = host.started + kStartupTimeout;
  while (!host.CanPlace() && clock::now() < until) {
    co_await host.readiness_changed.Wait(until);
  }
}

}  // namespace

auto RespondRefusal(http_exchange& exchange,
                    const failure& error,
                    milliseconds retry_after) -> asio::awaitable<void> {
  auto response = FailureResponse(error);
  if (retry_after.count() > 0) {
    adapter::SetRetryAfter(response.headers, retry_after);
  }
  auto sent = co_await exchange.Respond(std::move(response));
  if (!sent) {
    Log(log_level::kDebug, log_category::kHttp,
        {sent.error().message, sent.error().step, sent.error().peer});
  }
}

auto HandleCaller(host_state& host, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto arrived = clock::now();
  co_await AwaitStartup(host);
  const auto caller = adapter::DecodeRequest(exchange.Request());
  const auto deployment = host.deployment;
  if (deployment == nullptr) {
    co_await RefuseEarly(
        host, exchange, caller,
        NotRunFailure(error_code::kUnavailable,
                      "no declared state is known yet", "find route"),
        kUnreadyRetryAfter);
    co_return;
  }
  const bool is_job_call = caller.call != caller_call::kServe;
  const auto* route =
      is_job_call ? nullptr : deployment->FindRoute(caller.host, caller.path);
  if (route == nullptr && !is_job_call) {
    co_await RefuseEarly(
        host, exchange, caller,
        NotRunFailure(error_code::kNotFound, "no route", "find route"));
    co_return;
  }
  workspace_id workspace;
  const bool needs_key =
      deployment->state().has_workspaces && (route == nullptr || !route->open);
  bool lacks_key = false;
  if (needs_key) {
    const auto* owner = deployment->FindWorkspaceByKey(caller.key_hash);
    lacks_key = owner == nullptr;
    // A job call names no route: the job's owner knows whether it needs a key.
    if (lacks_key && !is_job_call) {
      co_await RefuseEarly(
          host, exchange, caller,
          NotRunFailure(error_code::kUnauthorized, "unknown key", "check key"));
      co_return;
    }
    if (owner != nullptr) {
      workspace = owner->id;
    }
  }
  if (is_job_call || route->kind == request_kind::kBatch) {
    co_await HandleBatchCall(host, exchange, caller, workspace, lacks_key);
    co_return;
  }
  request_run run(host, exchange, caller, deployment, *route, workspace,
                  arrived);
  co_await run.Run();
}

auto HandleReady(host_state& host, http_exchange& exchange)
    -> asio::awaitable<void> {
  const bool is_ready =
      adapter::IsReadyCall(exchange.Request()) && host.IsReady();
  co_await exchange.Respond(JsonResponse(is_ready ? 200 : 503, "{}"));
}

auto HandleDirectory(host_state& host, http_exchange& exchange)
    -> asio::awaitable<void> {
  if (!adapter::IsAddressesCall(exchange.Request())) {
    co_await exchange.Respond(JsonResponse(404, "{}"));
    co_return;
  }
  const auto query = adapter::DecodeAddressQuery(exchange.Request());
  const auto port = ":" + std::to_string(host.options.front.port());
  std::vector<std::string> addresses;
  for (const auto* member : MembersNear(host.view, host.options.data_centres,
                                        query.data_centre, query.region)) {
    if (member->name != host.self.name || host.IsReady()) {
      addresses.push_back(member->ip + port);
    }
  }
  if (addresses.empty() && host.IsReady()) {
    addresses.push_back(host.self.ip + port);
  }
  if (addresses.empty()) {
    co_await exchange.Respond(JsonResponse(503, "{}"));
    co_return;
  }
  co_await exchange.Respond(JsonResponse(
      200, adapter::EncodeAddresses(addresses, host.options.address_keep)));
}

}  // namespace dogwood
