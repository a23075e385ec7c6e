#include "src/hostd_relay.h"

#include <algorithm>
#include <utility>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Longest time to connect to a server, beyond a round trip between regions. */
constexpr milliseconds kConnectLimit{250};
/** A stream that may go on elsewhere is left after a silence of this many usual
 * times, within these bounds. */
constexpr double kFirstEventFactor = 5;
constexpr double kGapFactor = 6;
constexpr milliseconds kLeastFirstEvent{300};
constexpr milliseconds kMostFirstEvent{1500};
constexpr milliseconds kLeastGap{200};
constexpr milliseconds kMostGap{1000};
/** Batch items have nobody who waits for the next event. */
constexpr int kBatchPatience = 4;
/** Weight of the newest time in the usual ones. */
constexpr double kTimeWeight = 0.05;
/** Answers to other requests that are skipped on a connection. */
constexpr int kMostStrayAnswers = 3;
/** A connection is given up this long before its server closes it. */
constexpr milliseconds kIdleMargin{1000};
constexpr milliseconds kUnknownIdle{3000};
/** A request that may run once only uses no connection that was idle for
 * longer: servers drop idle ones without notice, and what is sent on such a
 * connection may or may not have run. Servers tell idle times of a second and
 * more. */
constexpr milliseconds kOnceIdle{500};
/** Longest answer that is no stream. */
constexpr std::size_t kMostAnswerBytes = 16UL << 20;

/** Length of time of `seconds` times `factor`, within bounds. */
auto Limit(double seconds, double factor, milliseconds least, milliseconds most)
    -> milliseconds {
  const auto wanted =
      milliseconds(static_cast<std::int64_t>(seconds * factor * 1000));
  return std::clamp(wanted, least, most);
}

/** Moves a usual time towards the newest. */
auto Smooth(double& usual, duration newest) -> void {
  usual +=
      kTimeWeight * (std::chrono::duration<double>(newest).count() - usual);
}

/** State of one attempt. */
class attempt {
 public:
  attempt(host_state& host,
          const attempt_order& order,
          stream_progress& progress,
          attempt_handle& handle,
          answer_sink& sink)
      : host_(host),
        order_(order),
        progress_(progress),
        handle_(handle),
        sink_(sink) {}

  auto Run() -> asio::awaitable<attempt_result> {
    co_await RunSteps();
    handle_.connection.reset();
    co_return std::move(result_);
  }

 private:
  /** Notes a failure. */
  auto Fail(const failure& error, run_outcome outcome) -> void {
    result_.error = error;
    result_.outcome = outcome;
    if (handle_.aborted) {
      result_.outcome = run_outcome::kCancelled;
      result_.error.message = "ended by this host";
    }
  }

  /** A failure that this host found. */
  auto Found(std::string message, std::string step) const -> failure {
    return {.code = error_code::kBadGateway,
            .message = std::move(message),
            .ran = ran_state::kMaybe,
            .step = std::move(step),
            .peer = order_.server.id.value};
  }

  /** When to give up waiting for the next bytes. */
  auto SilenceDeadline(bool has_events) const -> time_point {
    if (!order_.may_move && !order_.is_batch) {
      return order_.deadline;
    }
    const auto& usual = host_.times[order_.service];
    auto limit = has_events
                     ? Limit(usual.event_gap_s, kGapFactor, kLeastGap, kMostGap)
                     : Limit(usual.first_event_s, kFirstEventFactor,
                             kLeastFirstEvent, kMostFirstEvent);
    if (order_.is_batch) {
      limit *= kBatchPatience;
    }
    return std::min(order_.deadline, clock::now() + limit);
  }

  /** Gets a connection: an idle one if `use_idle`, or a new one. */
  auto Open(bool use_idle) -> asio::awaitable<bool> {
    const auto now = clock::now();
    is_reused_ = false;
    if (use_idle) {
      handle_.connection = host_.pool.Take(
          order_.server.address, now,
          order_.is_repeatable ? duration::max() : duration(kOnceIdle));
      is_reused_ = handle_.connection != nullptr;
    }
    if (is_reused_) {
      co_return true;
    }
    auto opened = co_await backend_connection::Connect(
        host_.io, order_.server.address,
        std::min(order_.deadline, now + kConnectLimit));
    if (!opened) {
      Fail(opened.error(), run_outcome::kUnreachable);
      co_return false;
    }
    handle_.connection = std::move(opened.value());
    if (handle_.aborted) {
      Fail(Found("", "connect"), run_outcome::kCancelled);
    }
    co_return !handle_.aborted;
  }

  /** Sends the request. */
  auto Send() -> asio::awaitable<bool> {
    const auto left = std::chrono::duration_cast<milliseconds>(order_.deadline -
                                                               clock::now());
    const server_order to{.server = order_.server.id,
                          .workspace = order_.workspace,
                          .time_left = std::max(left, milliseconds(1)),
                          .resume_after = progress_.last_event};
    const auto request = adapter::EncodeForServer(*order_.request, to);
    result_.may_have_run = true;
    sent_at_ = clock::now();
    auto sent = co_await handle_.connection->Send(request, order_.deadline);
    if (!sent) {
      Fail(sent.error(), run_outcome::kUnreachable);
    }
    co_return sent.has_value();
  }

  /** Reads the head of the answer to this request; answers to others, which a
   * server gave late or twice, are skipped. */
  auto ReadHead() -> asio::awaitable<std::optional<http_head>> {
    for (int i = 0; i < kMostStrayAnswers; ++i) {
      auto head = co_await handle_.connection->ReadHead(SilenceDeadline(false));
      if (!head) {
        Fail(head.error(), run_outcome::kUnreachable);
        co_return std::nullopt;
      }
      answer_ = adapter::DecodeAnswer(*head);
      if (answer_.load) {
        host_.placement->RecordLoad(order_.server.id, *answer_.load);
      }
      if (answer_.attempt.value.empty() || answer_.attempt == order_.attempt) {
        co_return std::move(head.value());
      }
      Log(log_level::kWarning, log_category::kRoute,
          {"answer to request " + answer_.attempt.value + " skipped",
           "read head of " + order_.attempt.value, order_.server.id.value});
      const auto skipped = co_await ReadWhole();
      if (!skipped) {
        co_return std::nullopt;
      }
      handle_.connection->PrepareForResponse();
    }
    Fail(Found("only answers to other requests came", "read head"),
         run_outcome::kFailed);
    co_return std::nullopt;
  }

  /** Reads the rest of an answer that is no stream. */
  auto ReadWhole() -> asio::awaitable<std::optional<std::string>> {
    std::string body;
    while (true) {
      auto part = co_await handle_.connection->ReadSome(order_.deadline);
      if (!part) {
        Fail(part.error(), run_outcome::kFailed);
        co_return std::nullopt;
      }
      if (part->empty()) {
        co_return body;
      }
      body += part.value();
      if (body.size() > kMostAnswerBytes) {
        Fail(Found("answer is too long", "read body"), run_outcome::kFailed);
        co_return std::nullopt;
      }
    }
  }

  /** Keeps the connection for other requests if it can be kept. */
  auto Keep() -> void {
    const auto life = answer_.idle_s
                          ? milliseconds(*answer_.idle_s * 1000) - kIdleMargin
                          : kUnknownIdle;
    host_.pool.Put(handle_.connection, clock::now(), life);
  }

  /** Takes an answer that is no stream. */
  auto TakeAnswer(http_head head) -> asio::awaitable<void> {
    auto body = co_await ReadWhole();
    if (!body) {
      co_return;
    }
    Keep();
    if (answer_.not_run) {
      result_.may_have_run = false;
      result_.outcome =
          head.status == 503 ? run_outcome::kFull : run_outcome::kNotRun;
      result_.error = Found("server did not run the request: status " +
                                std::to_string(head.status),
                            "read head");
      result_.error.ran = ran_state::kNo;
      co_return;
    }
    const bool is_success = head.status / 100 == 2;
    if (is_success && !answer_.is_proven) {
      Fail(Found("success without the server's proof", "read head"),
           run_outcome::kFailed);
      co_return;
    }
    result_.is_complete = true;
    result_.outcome =
        head.status / 100 == 5 ? run_outcome::kFailed : run_outcome::kComplete;
    result_.error = Found("status " + std::to_string(head.status), "read head");
    result_.answer = http_response{
        head.status, adapter::FieldsForCaller(head.headers), std::move(*body)};
  }

  /** Passes on the events that are new; false at the first that is missing. */
  auto HandleEvents(const std::vector<std::string>& events, std::string& passed)
      -> bool {
    for (const auto& event : events) {
      const auto fields = ParseEventFields(event);
      if (fields.id && *fields.id <= progress_.last_event) {
        continue;
      }
      if (fields.id && *fields.id != progress_.last_event + 1) {
        Fail(Found("event " + std::to_string(*fields.id) + " follows event " +
                       std::to_string(progress_.last_event),
                   "read event"),
             run_outcome::kFailed);
        return false;
      }
      if (fields.id) {
        progress_.last_event = *fields.id;
      }
      passed += event;
    }
    return true;
  }

  /** Notes the time of an event for the usual ones. */
  auto NoteEvent() -> void {
    const auto now = clock::now();
    auto& usual = host_.times[order_.service];
    if (result_.first_event == time_point()) {
      result_.first_event = now;
      Smooth(usual.first_event_s, now - sent_at_);
    } else {
      Smooth(usual.event_gap_s, now - last_event_at_);
    }
    last_event_at_ = now;
  }

  /** Passes on a stream. */
  auto TakeStream(const http_head& head) -> asio::awaitable<void> {
    sse_parser parser;
    while (true) {
      auto part = co_await handle_.connection->ReadSome(
          SilenceDeadline(result_.first_event != time_point()));
      if (!part) {
        const bool is_silent =
            part.error().code == error_code::kDeadlineExceeded;
        Fail(part.error(),
             is_silent ? run_outcome::kUnreachable : run_outcome::kFailed);
        co_return;
      }
      if (part->empty()) {
        if (parser.HasPartialEvent()) {
          Fail(Found("stream ends within an event", "read event"),
               run_outcome::kFailed);
          co_return;
        }
        result_.is_complete = true;
        Keep();
        co_return;
      }
      auto events = ToOutcome([&] { return parser.Feed(part.value()); });
      if (!events) {
        Fail(events.error(), run_outcome::kFailed);
        co_return;
      }
      if (events->empty()) {
        continue;
      }
      NoteEvent();
      std::string passed;
      const bool in_order = HandleEvents(events.value(), passed);
      bool is_wanted = true;
      if (!passed.empty()) {
        is_wanted = co_await Pass(head, std::move(passed));
      }
      if (!is_wanted) {
        handle_.Abort();
        Fail(Found("nobody wants the answer any more", "pass on events"),
             run_outcome::kCancelled);
        co_return;
      }
      if (!in_order) {
        handle_.connection->Abort();
        co_return;
      }
    }
  }

  /** Hands events to the sink, the head before the first. */
  auto Pass(const http_head& head, std::string events)
      -> asio::awaitable<bool> {
    if (!progress_.has_head) {
      progress_.has_head = true;
      const http_head for_caller{head.status,
                                 adapter::FieldsForCaller(head.headers)};
      const bool is_taken = co_await sink_.HandleHead(for_caller);
      if (!is_taken) {
        co_return false;
      }
    }
    co_return co_await sink_.HandleEvents(std::move(events));
  }

  /** Sends the request on a connection and reads the head of the answer. */
  auto Begin(bool use_idle) -> asio::awaitable<std::optional<http_head>> {
    const bool is_open = co_await Open(use_idle);
    if (!is_open) {
      co_return std::nullopt;
    }
    const bool is_sent = co_await Send();
    if (!is_sent) {
      co_return std::nullopt;
    }
    auto head = co_await ReadHead();
    co_return head;
  }

  /** Whether the attempt failed because its idle connection was closed, which
   * says nothing of new connections to the server. */
  auto WasStale() const -> bool {
    return is_reused_ && !handle_.aborted &&
           result_.outcome == run_outcome::kUnreachable &&
           result_.error.code != error_code::kDeadlineExceeded;
  }

  /** Takes the answer that begins with `head`. */
  auto Take(http_head head) -> asio::awaitable<void> {
    if (answer_.is_stream && head.status == 200 && answer_.is_proven) {
      co_await TakeStream(head);
    } else {
      co_await TakeAnswer(std::move(head));
    }
  }

  auto RunSteps() -> asio::awaitable<void> {
    auto head = co_await Begin(true);
    const bool was_stale = !head && WasStale();
    if (was_stale && order_.is_repeatable) {
      result_ = {};
      head = co_await Begin(false);
    } else if (was_stale) {
      result_.outcome = run_outcome::kFailed;
    }
    if (head) {
      co_await Take(std::move(*head));
    }
    // Whatever came later, the server may have run what the idle connection
    // carried.
    result_.may_have_run = result_.may_have_run || was_stale;
  }

  host_state& host_;
  const attempt_order& order_;
  stream_progress& progress_;
  attempt_handle& handle_;
  answer_sink& sink_;
  attempt_result result_;
  server_answer answer_;
  time_point sent_at_;
  time_point last_event_at_;
  bool is_reused_ = false;  // The connection was idle before.
};

}  // namespace

auto RunAttempt(host_state& host,
                const attempt_order& order,
                stream_progress& progress,
                attempt_handle& handle,
                answer_sink& sink) -> asio::awaitable<attempt_result> {
  attempt running(host, order, progress, handle, sink);
  auto result = co_await running.Run();
  co_return result;
}

}  // namespace dogwood
