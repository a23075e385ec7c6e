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

/** Longest pause of the dispatch loop, and how often a kick is looked for. */
constexpr int kIdleTurns = 10;
constexpr std::chrono::milliseconds kTurn{5};
/** An admitter's answer to one ask; it answers "running" before. */
constexpr std::chrono::seconds kAskLimit{5};
/** A run is given up if its admitter cannot be reached for this long. */
constexpr std::chrono::seconds kGiveUp{10};
constexpr std::chrono::milliseconds kAskRetry{200};
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kModelPrefix = "model/";

/** A run and where it is sent. */
struct dispatch {
  partition_slot* slot = nullptr;  ///< Partition of the item.
  item_run run;                    ///< The item.
  backend_server server;           ///< Server.
  run_ask ask;                     ///< What the admitter is asked.
};

/** Path of an item on its server. */
auto ServerPath(const item_request& request) -> std::string {
  if (!request.url.starts_with(kServicePrefix)) {
    return request.url;
  }
  const auto rest = request.url.substr(kServicePrefix.size());
  const auto end = rest.find_first_of("/?");
  auto path = end == std::string::npos ? std::string() : rest.substr(end);
  return path.starts_with('/') ? path : "/" + path;
}

/** Servers for an offer: those of this region if it has any. */
auto Candidates(const batchd& d, const std::string& offer)
    -> std::vector<backend_server> {
  auto all = d.servers.Serving(offer);
  const auto here = std::stable_partition(
      all.begin(), all.end(), [&](const backend_server& server) {
        return server.region == d.settings.region;
      });
  if (here != all.begin()) {
    all.erase(here, all.end());
  }
  return all;
}

/** Asks the admitter once: in this process or over its link. */
auto AskOnce(batchd& d, run_ask ask, region_id region)
    -> asio::awaitable<outcome<run_answer>> {
  const auto admitter =
      d.replica.OwnerHost(owned_kind::kServer, ask.server, region);
  if (!admitter) {
    co_return NotRunFailure(error_code::kUnavailable, "no admitter is known",
                            "find admitter");
  }
  if (admitter->host == d.settings.host) {
    auto answer = co_await RunItem(d, std::move(ask));
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
  call.body = ToJson(ask);
  auto message = MakeMessage(std::move(call));
  auto reply =
      co_await link->Call(std::move(message), clock::now() + kAskLimit);
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

/** Whether a failed ask certainly did not reach the admitter. */
auto CertainlyNotAsked(const failure& error) -> bool {
  return error.step == "connect" || error.step == "handshake" ||
         error.step == "find admitter";
}

/** Asks until the run has ended or the admitter is out of reach. */
auto AskUntilEnded(batchd& d, run_ask ask, backend_server server)
    -> asio::awaitable<run_answer> {
  auto give_up = clock::now() + kGiveUp;
  while (true) {
    auto answer = co_await AskOnce(d, ask, server.region);
    if (answer && answer->outcome != run_outcome::kRunning) {
      co_return *answer;
    }
    if (answer) {
      if (ask.is_first) {
        d.windows.Grow(server.id, server.slots);
        KickDispatch(d);
      }
      ask.is_first = false;
      give_up = clock::now() + kGiveUp;
      continue;
    }
    if (ask.is_first && CertainlyNotAsked(answer.error())) {
      run_answer none;
      none.outcome = run_outcome::kNotAdmitter;
      none.body = answer.error().message;
      co_return none;
    }
    ask.is_first = false;
    if (clock::now() >= give_up) {
      run_answer lost;
      lost.outcome = run_outcome::kLost;
      lost.body = answer.error().message;
      co_return lost;
    }
    co_await Sleep(kAskRetry);
  }
}

/** Result line of an answer; an error line if the log cannot hold it. */
auto LineOf(const item_request& request, const run_answer& answer)
    -> std::string {
  auto line = AnswerLine(request.custom_id, answer.status, answer.body);
  if (!FitsRecord(line)) {
    line = ErrorLine(request.custom_id, "result_too_large",
                     "the answer is too long to be kept");
  }
  return line;
}

/** Hands the outcome of a run to the partition's owner. */
auto EndRun(batchd& d, const dispatch& work, const run_answer& answer) -> void {
  const auto& run = work.run;
  const auto end = [&](attempt_outcome how, const std::string& text,
                       bool failed) {
    work.slot->With([&](partition_owner& owner) {
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

/** Adapts what is sent to the server from now on. */
auto EndWindow(batchd& d, const dispatch& work, run_outcome outcome) -> void {
  const bool had_room =
      outcome == run_outcome::kAnswer || outcome == run_outcome::kFailed;
  d.windows.End(work.server.id, had_room, work.server.slots, clock::now());
  if (outcome == run_outcome::kUnreachable ||
      outcome == run_outcome::kNotAdmitter || outcome == run_outcome::kLost) {
    d.windows.Avoid(work.server.id, clock::now());
  }
}

/** One item from its dispatch to its outcome. */
auto Run(batchd& d, dispatch work) -> asio::awaitable<void> {
  ++d.metrics.dispatched;
  const auto partition = work.slot->partition();
  const auto& id = work.ask.request_id;
  d.flights.Add(partition, work.run.item,
                flight{id, work.server.id, work.server.region});
  const auto answer = co_await AskUntilEnded(d, work.ask, work.server);
  d.flights.Remove(partition, work.run.item, id);
  if (answer.outcome != run_outcome::kAnswer) {
    Log(log_level::kDebug, log_category::kJob,
        {id + ": " + std::string(NameOf(answer.outcome)) + ": " + answer.body,
         "run item", work.server.id.value});
  }
  EndWindow(d, work, answer.outcome);
  EndRun(d, work, answer);
  KickDispatch(d);
}

/** Tells the admitter to end a run. Without an answer the run ends when its
 * lease expires. */
auto Abort(batchd& d, flight to) -> asio::awaitable<void> {
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
    co_await link->Call(std::move(message), clock::now() + kAskLimit);
  }
}

/** What the admitter is asked. */
auto AskOf(batchd& d,
           const partition_slot& slot,
           const item_run& run,
           const backend_server& server) -> run_ask {
  run_ask ask;
  ask.request_id = FormatJobId(slot.partition(), run.item.job).value + "-" +
                   std::to_string(run.item.index) + "-" +
                   d.settings.host.value + "-" + std::to_string(d.start.value) +
                   "-" + std::to_string(++d.last_attempt);
  ask.server = server.id.value;
  ask.method = run.request.method;
  ask.path = ServerPath(run.request);
  ask.body = run.request.body;
  ask.repeatable = run.repeatable;
  return ask;
}

/** Ends items of a target that the configuration does not know. */
auto FailUnknownTarget(partition_slot& slot,
                       const std::string& target,
                       const dispatch_rules& rules) -> void {
  const auto now = clock::now();
  const auto weight = [&](const workspace_id& w) { return rules.WeightOf(w); };
  const auto repeat = [](const item_request&) { return true; };
  slot.With([&](partition_owner& owner) {
    while (const auto run = owner.Next(target, now, weight, repeat)) {
      owner.End(run->item, attempt_outcome::kFailed,
                "the configuration has no " + target, true, now);
    }
  });
}

/** Sends items of one target of one partition while servers may have room. */
auto DispatchTarget(batchd& d,
                    partition_slot& slot,
                    const std::string& target,
                    const dispatch_rules& rules) -> void {
  const auto offer = rules.OfferOf(target);
  if (offer.empty()) {
    FailUnknownTarget(slot, target, rules);
    return;
  }
  const auto weight = [&](const workspace_id& w) { return rules.WeightOf(w); };
  const auto repeat = [&](const item_request& r) { return rules.MayRepeat(r); };
  auto servers = Candidates(d, offer);
  // Partitions begin at different servers.
  const auto turn = servers.empty() ? 0 : d.last_attempt % servers.size();
  std::rotate(servers.begin(),
              servers.begin() + static_cast<std::ptrdiff_t>(turn),
              servers.end());
  for (const auto& server : servers) {
    while (d.windows.Begin(server.id, server.slots, clock::now())) {
      auto run = slot.With([&](partition_owner& owner) {
        return owner.Next(target, clock::now(), weight, repeat);
      });
      if (!run) {
        d.windows.Cancel(server.id);
        return;
      }
      dispatch work;
      work.slot = &slot;
      work.ask = AskOf(d, slot, *run, server);
      work.run = std::move(*run);
      work.server = server;
      asio::co_spawn(asio::make_strand(d.io), Run(d, std::move(work)),
                     LogException);
    }
  }
}

/** Sends items of all partitions; `first` begins. */
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

auto KickDispatch(batchd& d) -> void {
  d.dispatch_due = true;
}

auto DispatchItems(batchd& d) -> asio::awaitable<void> {
  std::size_t first = 0;
  int idle_turns = 0;
  while (true) {
    co_await Sleep(kTurn);
    if (!d.dispatch_due.exchange(false) && ++idle_turns < kIdleTurns) {
      continue;
    }
    idle_turns = 0;
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
