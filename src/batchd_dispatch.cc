#include "src/batchd_dispatch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <chrono>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Polls of `dispatch_due` after which the dispatch loop runs a pass without a
 * trigger, and the poll interval. */
constexpr int kMaxIdlePolls = 10;
constexpr std::chrono::milliseconds kPollInterval{5};
/** Timeout of one run request. The admitter answers "running" well before. */
constexpr std::chrono::seconds kRunRequestTimeout{5};
/** A run counts as lost if its admitter cannot be reached for this long. */
constexpr std::chrono::seconds kAdmitterTimeout{10};
constexpr std::chrono::milliseconds kRunRequestRetryDelay{200};
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kModelPrefix = "model/";

/** An item that is dispatched to a server. */
struct dispatch_task {
  partition_slot* slot = nullptr;  ///< Partition of the item.
  item_run run;                    ///< The item.
  backend_server server;           ///< Server.
  run_request request;             ///< Sent to the admitter.
};

/** Returns the request path of an item on its server. */
auto ServerPath(const item_request& request) -> std::string {
  if (!request.url.starts_with(kServicePrefix)) {
    return request.url;
  }
  const auto rest = request.url.substr(kServicePrefix.size());
  const auto end = rest.find_first_of("/?");
  auto path = end == std::string::npos ? std::string() : rest.substr(end);
  return path.starts_with('/') ? path : "/" + path;
}

/** Returns the servers for a server target. Only those in this host's region if
 * there are any. */
auto Candidates(const batchd& d, const std::string& server_target)
    -> std::vector<backend_server> {
  auto all = d.servers.Serving(server_target);
  const auto here = std::stable_partition(
      all.begin(), all.end(), [&](const backend_server& server) {
        return server.region == d.settings.region;
      });
  if (here != all.begin()) {
    all.erase(here, all.end());
  }
  return all;
}

/** Sends a run request once to the admitter, which may be this process. */
auto SendRunRequest(batchd& d, run_request request, region_id region)
    -> asio::awaitable<outcome<run_answer>> {
  const auto admitter =
      d.replica.OwnerHost(owned_kind::kServer, request.server, region);
  if (!admitter) {
    co_return NotRunFailure(error_code::kUnavailable, "no admitter is known",
                            "find admitter");
  }
  if (admitter->host == d.settings.host) {
    auto answer = co_await RunItem(d, std::move(request));
    co_return answer;
  }
  auto link = d.peers.Get(admitter->batch_link);
  if (!link) {
    co_return NotRunFailure(error_code::kUnavailable,
                            "the admitter has no link", "find admitter");
  }
  wire::http_callT call;
  call.method = "POST";
  call.path = "/internal/run";
  call.body = ToJson(request);
  auto message = MakeMessage(std::move(call));
  auto reply = co_await link->Call(std::move(message),
                                   clock::now() + kRunRequestTimeout);
  if (!reply) {
    co_return reply.error();
  }
  const auto* http = reply->Ashttp_reply();
  auto answer = http != nullptr ? ParseRunAnswer(http->body) : std::nullopt;
  if (!answer) {
    co_return NotRunFailure(error_code::kBadGateway, "malformed answer", "ask");
  }
  co_return *answer;
}

/** Returns whether a failed request certainly did not reach the admitter. */
auto WasCertainlyNotSent(const failure& error) -> bool {
  return error.step == "connect" || error.step == "handshake" ||
         error.step == "find admitter";
}

/** Repeats a run request until the run has ended or the admitter has been
 * unreachable for kAdmitterTimeout. */
auto PollUntilEnded(batchd& d, run_request request, backend_server server)
    -> asio::awaitable<run_answer> {
  auto timeout_at = clock::now() + kAdmitterTimeout;
  while (true) {
    auto answer = co_await SendRunRequest(d, request, server.region);
    if (answer && answer->outcome != run_outcome::kRunning) {
      co_return *answer;
    }
    if (answer) {
      if (request.is_first) {
        d.windows.Grow(server.id, server.slots);
        TriggerDispatch(d);
      }
      request.is_first = false;
      timeout_at = clock::now() + kAdmitterTimeout;
      continue;
    }
    if (request.is_first && WasCertainlyNotSent(answer.error())) {
      run_answer none;
      none.outcome = run_outcome::kNotAdmitter;
      none.body = answer.error().message;
      co_return none;
    }
    request.is_first = false;
    if (clock::now() >= timeout_at) {
      run_answer lost;
      lost.outcome = run_outcome::kLost;
      lost.body = answer.error().message;
      co_return lost;
    }
    co_await Sleep(kRunRequestRetryDelay);
  }
}

/** Returns the result line of an answer, or an error line if it exceeds the
 * record size. */
auto LineOf(const item_request& request, const run_answer& answer)
    -> std::string {
  auto line = AnswerLine(request.custom_id, answer.status, answer.body);
  if (!FitsRecord(line)) {
    line = ErrorLine(request.custom_id, "result_too_large",
                     "the answer is too long to be kept");
  }
  return line;
}

/** Reports the outcome of a run to the partition's owner. */
auto ReportOutcome(batchd& d,
                   const dispatch_task& task,
                   const run_answer& answer) -> void {
  const auto& run = task.run;
  const auto end = [&](attempt_outcome how, const std::string& text,
                       bool failed) {
    task.slot->With([&](partition_owner& owner) {
      owner.End(run.item, how, text, failed, clock::now());
    });
  };
  switch (answer.outcome) {
    case run_outcome::kAnswer:
      if (answer.status >= 500 && run.repeatable) {
        ++d.metrics.failed;
        return end(attempt_outcome::kFailed,
                   "status " + std::to_string(answer.status), true);
      }
      ++d.metrics.answered;
      return end(attempt_outcome::kResult, LineOf(run.request, answer),
                 answer.status >= 400);
    case run_outcome::kFailed:
      ++(run.repeatable ? d.metrics.failed : d.metrics.unknown);
      return end(
          run.repeatable ? attempt_outcome::kFailed : attempt_outcome::kUnknown,
          answer.body, true);
    case run_outcome::kLost:
      ++(run.repeatable ? d.metrics.returned : d.metrics.unknown);
      return end(run.repeatable ? attempt_outcome::kReturned
                                : attempt_outcome::kUnknown,
                 answer.body, true);
    default:
      ++d.metrics.returned;
      return end(attempt_outcome::kReturned, answer.body, false);
  }
}

/** Adjusts the server's window to the outcome of a run. */
auto UpdateWindow(batchd& d, const dispatch_task& task, run_outcome outcome)
    -> void {
  const bool had_room =
      outcome == run_outcome::kAnswer || outcome == run_outcome::kFailed;
  d.windows.End(task.server.id, had_room, task.server.slots, clock::now());
  if (outcome == run_outcome::kUnreachable ||
      outcome == run_outcome::kNotAdmitter || outcome == run_outcome::kLost) {
    d.windows.BackOff(task.server.id, clock::now());
  }
}

/** Runs one item from its dispatch to its outcome. */
auto RunTask(batchd& d, dispatch_task task) -> asio::awaitable<void> {
  ++d.metrics.dispatched;
  const auto partition = task.slot->partition();
  const auto& id = task.request.request_id;
  d.flights.Add(partition, task.run.item,
                in_flight_item{id, task.server.id, task.server.region});
  const auto answer = co_await PollUntilEnded(d, task.request, task.server);
  d.flights.Remove(partition, task.run.item, id);
  if (answer.outcome != run_outcome::kAnswer) {
    Log(log_level::kDebug, log_category::kJob,
        {id + ": " + std::string(NameOf(answer.outcome)) + ": " + answer.body,
         "run item", task.server.id.value});
  }
  UpdateWindow(d, task, answer.outcome);
  ReportOutcome(d, task, answer);
  TriggerDispatch(d);
}

/** Requests the admitter to abort a run. If the request fails, the run ends
 * when its lease expires. */
auto Abort(batchd& d, in_flight_item to) -> asio::awaitable<void> {
  const auto admitter =
      d.replica.OwnerHost(owned_kind::kServer, to.server.value, to.region);
  if (!admitter) {
    co_return;
  }
  if (admitter->host == d.settings.host) {
    d.runs.Abort(to.request_id);
    co_return;
  }
  if (auto link = d.peers.Get(admitter->batch_link)) {
    wire::http_callT call;
    call.method = "POST";
    call.path = "/internal/abort";
    call.body = to.request_id;
    auto message = MakeMessage(std::move(call));
    co_await link->Call(std::move(message), clock::now() + kRunRequestTimeout);
  }
}

/** Builds the run request for an attempt. Its id is unique for each attempt. */
auto MakeRunRequest(batchd& d,
                    const partition_slot& slot,
                    const item_run& run,
                    const backend_server& server) -> run_request {
  run_request request;
  request.request_id =
      FormatJobId(slot.partition(), run.item.job).value + "-" +
      std::to_string(run.item.index) + "-" + d.settings.host.value + "-" +
      std::to_string(d.start.value) + "-" + std::to_string(++d.last_attempt);
  request.server = server.id.value;
  request.method = run.request.method;
  request.path = ServerPath(run.request);
  request.body = run.request.body;
  request.repeatable = run.repeatable;
  return request;
}

/** Fails the queued items of a target that is not in the configuration. */
auto FailUnknownTarget(partition_slot& slot,
                       const std::string& target,
                       const dispatch_rules& rules) -> void {
  const auto now = clock::now();
  const auto weight = [&](const workspace_id& w) { return rules.WeightOf(w); };
  const auto may_repeat = [](const item_request&) { return true; };
  slot.With([&](partition_owner& owner) {
    while (const auto run = owner.Next(target, now, weight, may_repeat)) {
      owner.End(run->item, attempt_outcome::kFailed,
                "the configuration has no " + target, true, now);
    }
  });
}

/** Sends items of one target of one partition while server windows allow it. */
auto DispatchTarget(batchd& d,
                    partition_slot& slot,
                    const std::string& target,
                    const dispatch_rules& rules) -> void {
  const auto server_target = rules.ServerTargetOf(target);
  if (server_target.empty()) {
    FailUnknownTarget(slot, target, rules);
    return;
  }
  const auto weight = [&](const workspace_id& w) { return rules.WeightOf(w); };
  const auto may_repeat = [&](const item_request& r) {
    return rules.MayRepeat(r);
  };
  auto servers = Candidates(d, server_target);
  // Rotates the servers, so that partitions do not all start with the same one.
  const auto rotation = servers.empty() ? 0 : d.last_attempt % servers.size();
  std::rotate(servers.begin(),
              servers.begin() + static_cast<std::ptrdiff_t>(rotation),
              servers.end());
  for (const auto& server : servers) {
    while (d.windows.Begin(server.id, server.slots, clock::now())) {
      auto run = slot.With([&](partition_owner& owner) {
        return owner.Next(target, clock::now(), weight, may_repeat);
      });
      if (!run) {
        d.windows.Cancel(server.id);
        return;
      }
      dispatch_task task;
      task.slot = &slot;
      task.request = MakeRunRequest(d, slot, *run, server);
      task.run = std::move(*run);
      task.server = server;
      asio::co_spawn(asio::make_strand(d.io), RunTask(d, std::move(task)),
                     LogException);
    }
  }
}

/** Sends items of all owned partitions, starting with partition `first`. */
auto DispatchAll(batchd& d, std::size_t first) -> void {
  const auto rules = d.Rules();
  for (std::size_t i = 0; i < d.partitions.size(); ++i) {
    auto& slot = *d.partitions[(first + i) % d.partitions.size()];
    const auto targets = slot.With([](partition_owner& owner) {
      return owner.stage() == owner_stage::kOwning ? owner.Targets(clock::now())
                                                   : std::vector<std::string>();
    });
    if (targets.empty() || !d.Owns(slot.partition(), clock::now())) {
      continue;
    }
    for (const auto& target : targets) {
      DispatchTarget(d, slot, target, *rules);
    }
  }
}

}  // namespace

auto TriggerDispatch(batchd& d) -> void {
  d.dispatch_due = true;
}

auto DispatchItems(batchd& d) -> asio::awaitable<void> {
  std::size_t first = 0;
  int idle_polls = 0;
  while (true) {
    co_await Sleep(kPollInterval);
    if (!d.dispatch_due.exchange(false) && ++idle_polls < kMaxIdlePolls) {
      continue;
    }
    idle_polls = 0;
    if (!d.stopping) {
      DispatchAll(d, first++);
    }
  }
}

auto AbortItems(batchd& d,
                partition_slot& slot,
                const std::vector<item_ref>& items) -> void {
  for (const auto& item : items) {
    if (auto to = d.flights.Find(slot.partition(), item)) {
      asio::co_spawn(asio::make_strand(d.io), Abort(d, std::move(*to)),
                     LogException);
    }
  }
}

auto ItemsInFlight(batchd& d) -> std::size_t {
  std::size_t count = 0;
  for (const auto& slot : d.partitions) {
    count +=
        slot->With([](partition_owner& owner) { return owner.in_flight(); });
  }
  return count;
}

}  // namespace dogwood
