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

/** Time a run request waits for the run to end before it is answered with
 * "running". It bounds the time until an owner detects a dead link. */
constexpr std::chrono::seconds kPollTimeout{2};
/** The same for the first request. Slightly longer than kSlotTimeout, so that
 * "running" implies that the item got a slot. */
constexpr std::chrono::milliseconds kFirstPollTimeout{300};
/** A run is aborted if its owner has sent no request for this long. */
constexpr std::chrono::seconds kLeaseTtl{10};
/** Maximum wait of a new run for a slot. */
constexpr std::chrono::milliseconds kSlotTimeout{250};
constexpr std::chrono::milliseconds kSlotPollInterval{10};
/** Maximum wait of an interrupted run for a slot to resume in. After that it is
 * returned to its owner, who may send it to another server. */
constexpr std::chrono::seconds kResumeTimeout{2};
constexpr std::chrono::seconds kConnectTimeout{1};
constexpr std::chrono::seconds kCancelTimeout{1};
constexpr std::chrono::seconds kSweepInterval{1};
/** Maximum bytes of a server's answer. */
constexpr std::size_t kMaxAnswerBytes = 4UL << 20;
constexpr unsigned kFirstErrorStatus = 400;

/** Returns an answer without HTTP status. */
auto MakeAnswer(run_outcome outcome, std::string reason) -> run_answer {
  run_answer answer;
  answer.outcome = outcome;
  answer.body = std::move(reason);
  return answer;
}

/** Returns whether this host admits batch work on the server now. */
auto IsAdmitter(const batchd& d, const backend_server& server) -> bool {
  return d.replica.IsOwner(owned_kind::kServer, server.id.value, clock::now(),
                           server.region);
}

/** Waits up to `limit` for a slot. Returns whether the run got one. */
auto WaitForSlot(batchd& d, entry_ptr entry, duration limit)
    -> asio::awaitable<bool> {
  const auto until = clock::now() + limit;
  while (!d.runs.Admit(entry, clock::now())) {
    if (clock::now() >= until || d.stopping || d.runs.IsAborted(entry)) {
      co_return false;
    }
    co_await Sleep(kSlotPollInterval);
  }
  co_return true;
}

/** Requests the server to cancel a request whose stream was closed. */
auto CancelOnServer(backend_server server, std::string request_id)
    -> asio::awaitable<void> {
  http_request request;
  request.method = "POST";
  request.target = "/cancel/" + request_id;
  co_await Fetch(server.endpoint, std::move(request),
                 clock::now() + kCancelTimeout);
}

/** Progress of a run. */
struct progress {
  std::string body;           ///< Request body, the same on each resume.
  bool streams = false;       ///< The answer is assembled from a stream.
  stream_assembler received;  ///< Events received so far.
};

/** Builds the HTTP request of a run. It resumes a stream that has started. */
auto RequestOf(const run_request& run, const progress& p) -> http_request {
  http_request request;
  request.method = run.method;
  request.target = run.path;
  request.headers.Set("X-Request-Id", run.request_id);
  if (p.received.tokens() > 0) {
    request.headers.Set("X-Resume-From", std::to_string(p.received.tokens()));
  }
  if (!p.body.empty()) {
    request.headers.Set("Content-Type", "application/json");
  }
  request.body = p.body;
  return request;
}

/** Returns the answer for a failure of a request that was sent. */
auto FailedAnswer(const failure& error) -> run_answer {
  return MakeAnswer(run_outcome::kFailed, error.step + ": " + error.message);
}

/** Returns the answer of a stream, kFailed if the stream is not complete. */
auto AnswerOf(const stream_assembler& received) -> run_answer {
  if (!received.IsComplete() || received.IsMalformed()) {
    return MakeAnswer(run_outcome::kFailed, "the stream is not whole");
  }
  run_answer answer;
  answer.outcome = run_outcome::kAnswer;
  answer.status = 200;
  answer.body = received.ToJson();
  return answer;
}

/** Reads the answer to its end. Events of a stream are stored in `p`. */
auto ReadAnswer(const batchd& d,
                http_connection& connection,
                const std::string& request_id,
                progress& p) -> asio::awaitable<run_answer> {
  const auto until = clock::now() + d.settings.item_deadline;
  const auto silence = d.settings.server_idle_timeout;
  auto head = co_await connection.ReadHead(until);
  if (!head) {
    co_return FailedAnswer(head.error());
  }
  if (!ResponseMatchesRequest(head.value(), request_id)) {
    co_return MakeAnswer(run_outcome::kFailed,
                         "the answer names another request");
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
      co_return MakeAnswer(run_outcome::kFailed, "the answer is too long");
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
  const auto connect_until = clock::now() + kConnectTimeout;
  auto connected =
      co_await http_connection::Connect(server.endpoint, connect_until);
  if (!connected) {
    co_return MakeAnswer(run_outcome::kUnreachable, connected.error().message);
  }
  std::shared_ptr<http_connection> connection(std::move(connected.value()));
  if (!d.runs.SetConnection(entry, connection)) {
    co_return MakeAnswer(run_outcome::kPreempted, "ended before it was sent");
  }
  const auto request = RequestOf(entry->request, p);
  const auto send_until = clock::now() + d.settings.server_idle_timeout;
  auto sent = co_await connection->Send(request, send_until);
  // Not a conditional expression: g++ 12 copies the bytes of an awaited value
  // in one.
  run_answer answer;
  if (sent) {
    answer = co_await ReadAnswer(d, *connection, entry->request.request_id, p);
  } else {
    answer = FailedAnswer(sent.error());
  }
  const bool is_complete = answer.outcome == run_outcome::kAnswer &&
                           answer.status < kFirstErrorStatus;
  if (d.runs.IsInterrupted(entry) && !is_complete) {
    co_await CancelOnServer(server, entry->request.request_id);
    co_return MakeAnswer(run_outcome::kPreempted, "ended for online requests");
  }
  const bool refused = entry->request.repeatable &&
                       (answer.status == 429 || answer.status == 503);
  if (answer.outcome == run_outcome::kAnswer && refused) {
    answer.outcome = run_outcome::kUnreachable;
  }
  co_return answer;
}

/** Runs an admitted item. After an interruption it waits for a slot and
 * resumes. */
auto RunAdmitted(batchd& d, entry_ptr entry, backend_server server)
    -> asio::awaitable<run_answer> {
  progress p;
  p.body = entry->request.body;
  if (entry->request.path.starts_with("/v1/")) {
    if (auto body = ToStreamingBody(p.body)) {
      p.body = std::move(*body);
      p.streams = true;
    }
  }
  while (true) {
    const bool is_resume = p.received.tokens() > 0;
    auto answer = co_await Exchange(d, entry, server, p);
    if (is_resume && answer.outcome == run_outcome::kAnswer) {
      // 409: the server no longer holds the stream.
      if (answer.status == HttpStatusOf(error_code::kConflict)) {
        p.received = stream_assembler();
        continue;
      }
      ++d.metrics.resumed;
    }
    if (answer.outcome != run_outcome::kPreempted) {
      co_return answer;
    }
    p.received.DiscardPartialEvent();
    d.runs.Release(entry);
    const bool can_resume = co_await WaitForSlot(d, entry, kResumeTimeout);
    if (!can_resume || d.runs.IsAborted(entry)) {
      co_return answer;
    }
  }
}

/** Executes one run from its slot to its answer. */
auto Execute(batchd& d, entry_ptr entry) -> asio::awaitable<void> {
  const auto server = d.servers.Find(server_id(entry->request.server));
  if (!server || server->leaving || d.stopping || !IsAdmitter(d, *server)) {
    d.runs.Finish(entry,
                  MakeAnswer(run_outcome::kNotAdmitter, "not the admitter"));
    co_return;
  }
  const bool admitted = co_await WaitForSlot(d, entry, kSlotTimeout);
  if (!admitted) {
    d.runs.Finish(entry,
                  MakeAnswer(run_outcome::kNoCapacity, "no slot is free"));
    co_return;
  }
  auto answer = co_await RunAdmitted(d, entry, *server);
  d.runs.Finish(entry, std::move(answer));
}

}  // namespace

auto RunItem(batchd& d, run_request request) -> asio::awaitable<run_answer> {
  bool is_new = false;
  auto entry = d.runs.Find(request, clock::now() + kLeaseTtl, is_new);
  if (!entry) {
    co_return MakeAnswer(run_outcome::kLost, "the run is not known here");
  }
  if (is_new) {
    asio::co_spawn(asio::make_strand(d.io), Execute(d, entry), LogException);
  }
  const wake_signal signal(co_await asio::this_coro::executor);
  signal.timer().expires_after(request.is_first ? duration(kFirstPollTimeout)
                                                : duration(kPollTimeout));
  auto answer = d.runs.AnswerOrWait(entry, signal);
  if (!answer) {
    co_await signal.timer().async_wait(asio::as_tuple(asio::use_awaitable));
    answer = d.runs.AnswerOrWait(entry, signal);
  }
  co_return answer.value_or(run_answer());
}

auto SweepRuns(batchd& d) -> asio::awaitable<void> {
  while (true) {
    co_await Sleep(kSweepInterval);
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
