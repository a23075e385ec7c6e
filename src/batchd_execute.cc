#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "src/batchd_base.h"
#include "src/batchd_run.h"
#include "src/batchd_stream.h"
#include "src/core.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

using entry_ptr = std::shared_ptr<run_entry>;

/** An ask waits this long for its answer before "running" is answered; a link
 * that has gone silent is noticed soon after. */
constexpr std::chrono::seconds kAnswerWait{2};
/** The first ask waits a little longer than for a slot, so that "running" tells
 * the owner that the item got one. */
constexpr std::chrono::milliseconds kFirstAnswerWait{300};
/** A run ends if its owner has not asked for this long. */
constexpr std::chrono::seconds kLease{10};
/** An ask waits this long for a slot. */
constexpr std::chrono::milliseconds kRoomWait{250};
constexpr std::chrono::milliseconds kRoomPoll{10};
/** An interrupted run waits this long to go on where it stopped, then it is
 * handed back to its owner, who may send it to another server. */
constexpr std::chrono::seconds kParkLimit{2};
constexpr std::chrono::seconds kConnectLimit{1};
constexpr std::chrono::seconds kCancelLimit{1};
constexpr std::chrono::seconds kSweepPeriod{1};
/** Longest answer of a server that is read. */
constexpr std::size_t kMaxAnswerBytes = 4UL << 20;
constexpr unsigned kFirstErrorStatus = 400;

/** An answer without status. */
auto Ended(run_outcome outcome, std::string why) -> run_answer {
  run_answer answer;
  answer.outcome = outcome;
  answer.body = std::move(why);
  return answer;
}

/** Whether this host admits batch on the server now. */
auto IsAdmitter(const batchd& d, const backend_server& server) -> bool {
  return d.replica.IsOwner(owned_kind::kServer, server.id.value, clock::now(),
                           server.region);
}

/** Waits for a slot for up to `limit`. */
auto WaitForRoom(batchd& d, entry_ptr entry, duration limit)
    -> asio::awaitable<bool> {
  const auto until = clock::now() + limit;
  while (!d.runs.Admit(entry, clock::now())) {
    if (clock::now() >= until || d.stopping || d.runs.IsAborted(entry)) {
      co_return false;
    }
    co_await Sleep(kRoomPoll);
  }
  co_return true;
}

/** Tells the server to end a request whose stream was closed. */
auto CancelOnServer(backend_server server, std::string request_id)
    -> asio::awaitable<void> {
  http_request request;
  request.method = "POST";
  request.target = "/cancel/" + request_id;
  co_await Fetch(server.endpoint, std::move(request),
                 clock::now() + kCancelLimit);
}

/** What a run has so far. */
struct progress {
  std::string body;        ///< Sent to the server; the same on each resume.
  bool streams = false;    ///< The answer is put together from a stream.
  stream_answer received;  ///< Of the stream.
};

/** The request of an ask; it resumes a stream that has begun. */
auto RequestOf(const run_ask& ask, const progress& p) -> http_request {
  http_request request;
  request.method = ask.method;
  request.target = ask.path;
  request.headers.Set("X-Request-Id", ask.request_id);
  if (p.received.tokens() > 0) {
    request.headers.Set("X-Resume-From", std::to_string(p.received.tokens()));
  }
  if (!p.body.empty()) {
    request.headers.Set("Content-Type", "application/json");
  }
  request.body = p.body;
  return request;
}

/** What a failure of a request that was sent means. */
auto FailedAnswer(const failure& error) -> run_answer {
  return Ended(run_outcome::kFailed, error.step + ": " + error.message);
}

/** The answer that a stream gave; failed if the stream is not whole. */
auto AnswerOf(const stream_answer& received) -> run_answer {
  if (!received.IsWhole() || received.IsMalformed()) {
    return Ended(run_outcome::kFailed, "the stream is not whole");
  }
  run_answer answer;
  answer.outcome = run_outcome::kAnswer;
  answer.status = 200;
  answer.body = received.ToJson();
  return answer;
}

/** Reads the answer to its end; events of a stream go into `p`. */
auto ReadAnswer(const batchd& d,
                http_connection& connection,
                const std::string& request_id,
                progress& p) -> asio::awaitable<run_answer> {
  const auto until = clock::now() + d.settings.item_deadline;
  const auto silence = d.settings.silence_limit;
  auto head = co_await connection.ReadHead(until);
  if (!head) {
    co_return FailedAnswer(head.error());
  }
  if (!ResponseMatchesRequest(head.value(), request_id)) {
    co_return Ended(run_outcome::kFailed, "the answer names another request");
  }
  const bool is_stream =
      p.streams && head->status == 200 &&
      head->headers.Get("Content-Type").starts_with("text/event-stream");
  run_answer answer;
  answer.outcome = run_outcome::kAnswer;
  answer.status = head->status;
  std::size_t size = 0;
  while (true) {
    const auto deadline = std::min<time_point>(until, clock::now() + silence);
    auto part = co_await connection.ReadSome(deadline);
    if (!part) {
      co_return FailedAnswer(part.error());
    }
    if (part->empty()) {
      break;
    }
    size += part->size();
    if (size > kMaxAnswerBytes) {
      co_return Ended(run_outcome::kFailed, "the answer is too long");
    }
    if (is_stream) {
      p.received.Feed(part.value());
    } else {
      answer.body += part.value();
    }
  }
  if (is_stream) {
    answer = AnswerOf(p.received);
  }
  co_return answer;
}

/** Sends the request and reads the answer. */
auto Exchange(batchd& d, entry_ptr entry, backend_server server, progress& p)
    -> asio::awaitable<run_answer> {
  const auto connect_until = clock::now() + kConnectLimit;
  auto connected =
      co_await http_connection::Connect(server.endpoint, connect_until);
  if (!connected) {
    co_return Ended(run_outcome::kUnreachable, connected.error().message);
  }
  std::shared_ptr<http_connection> connection(std::move(connected.value()));
  if (!d.runs.SetConnection(entry, connection)) {
    co_return Ended(run_outcome::kPreempted, "ended before it was sent");
  }
  const auto request = RequestOf(entry->ask, p);
  const auto send_until = clock::now() + d.settings.silence_limit;
  auto sent = co_await connection->Send(request, send_until);
  // g++ 12 copies the bytes of an awaited value in a conditional expression.
  run_answer answer;
  if (sent) {
    answer = co_await ReadAnswer(d, *connection, entry->ask.request_id, p);
  } else {
    answer = FailedAnswer(sent.error());
  }
  const bool is_complete = answer.outcome == run_outcome::kAnswer &&
                           answer.status < kFirstErrorStatus;
  if (d.runs.IsInterrupted(entry) && !is_complete) {
    co_await CancelOnServer(server, entry->ask.request_id);
    co_return Ended(run_outcome::kPreempted, "ended for online requests");
  }
  const bool refused =
      entry->ask.repeatable && (answer.status == 429 || answer.status == 503);
  if (answer.outcome == run_outcome::kAnswer && refused) {
    answer.outcome = run_outcome::kUnreachable;
  }
  co_return answer;
}

/** Runs an admitted item; waits and goes on after each interruption. */
auto RunAdmitted(batchd& d, entry_ptr entry, backend_server server)
    -> asio::awaitable<run_answer> {
  progress p;
  p.body = entry->ask.body;
  if (entry->ask.path.starts_with("/v1/")) {
    if (auto body = StreamBody(p.body)) {
      p.body = std::move(*body);
      p.streams = true;
    }
  }
  while (true) {
    const bool is_resume = p.received.tokens() > 0;
    auto answer = co_await Exchange(d, entry, server, p);
    if (is_resume && answer.outcome == run_outcome::kAnswer) {
      // 409: the server does not keep the stream any more.
      if (answer.status == HttpStatusOf(error_code::kConflict)) {
        p.received = stream_answer();
        continue;
      }
      ++d.metrics.resumed;
    }
    if (answer.outcome != run_outcome::kPreempted) {
      co_return answer;
    }
    p.received.CutOff();
    d.runs.Release(entry);
    const bool goes_on = co_await WaitForRoom(d, entry, kParkLimit);
    if (!goes_on || d.runs.IsAborted(entry)) {
      co_return answer;
    }
  }
}

/** One run from its slot to its answer. */
auto Execute(batchd& d, entry_ptr entry) -> asio::awaitable<void> {
  const auto server = d.servers.Find(server_id(entry->ask.server));
  if (!server || server->leaving || d.stopping || !IsAdmitter(d, *server)) {
    d.runs.Finish(entry, Ended(run_outcome::kNotAdmitter, "not the admitter"));
    co_return;
  }
  const bool admitted = co_await WaitForRoom(d, entry, kRoomWait);
  if (!admitted) {
    d.runs.Finish(entry, Ended(run_outcome::kNoCapacity, "no slot is free"));
    co_return;
  }
  auto answer = co_await RunAdmitted(d, entry, *server);
  d.runs.Finish(entry, std::move(answer));
}

}  // namespace

auto RunItem(batchd& d, run_ask ask) -> asio::awaitable<run_answer> {
  bool is_new = false;
  auto entry = d.runs.Find(ask, clock::now() + kLease, is_new);
  if (!entry) {
    co_return Ended(run_outcome::kLost, "the run is not known here");
  }
  if (is_new) {
    asio::co_spawn(asio::make_strand(d.io), Execute(d, entry), LogException);
  }
  const wake_signal signal(co_await asio::this_coro::executor);
  signal.timer().expires_after(ask.is_first ? duration(kFirstAnswerWait)
                                            : duration(kAnswerWait));
  auto answer = d.runs.AnswerOrWait(entry, signal);
  if (!answer) {
    co_await signal.timer().async_wait(asio::as_tuple(asio::use_awaitable));
    answer = d.runs.AnswerOrWait(entry, signal);
  }
  co_return answer.value_or(run_answer());
}

auto SweepRuns(batchd& d) -> asio::awaitable<void> {
  while (true) {
    co_await Sleep(kSweepPeriod);
    d.runs.Sweep(clock::now());
  }
}

auto PreemptOn(batchd& d, const std::vector<server_id>& servers) -> void {
  const auto now = clock::now();
  for (const auto& server : servers) {
    d.metrics.preempted += d.runs.Preempt(server, now);
  }
}

}  // namespace dogwood
