#include "src/hostd_relay.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/hostd_state.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Timeout of a connect to a server; longer than a round trip between regions.
 */
constexpr milliseconds kConnectTimeout{250};
/** A server is silent if nothing has come for this many average times, within
 * these bounds. */
constexpr double kFirstEventFactor = 5;
constexpr double kGapFactor = 6;
constexpr milliseconds kMinFirstEventTimeout{300};
constexpr milliseconds kMaxFirstEventTimeout{1500};
constexpr milliseconds kMinGapTimeout{200};
constexpr milliseconds kMaxGapTimeout{1000};
/** Factor of the silence timeouts for batch items: no caller waits for their
 * next event. */
constexpr int kBatchTimeoutFactor = 4;
/** Weight of the newest time in the smoothed averages. */
constexpr double kTimeWeight = 0.05;
/** Maximum number of answers to other requests that are skipped on a
 * connection. */
constexpr int kMaxUnmatchedAnswers = 3;
/** A pooled connection expires this long before its server closes it. */
constexpr milliseconds kIdleMargin{1000};
constexpr milliseconds kDefaultKeepAlive{3000};
/** A request that may run only once uses no connection that was idle for longer
 * than this: servers drop idle connections without notice, and a request sent
 * on one may or may not have run. Servers announce keep-alive times of one
 * second and more. */
constexpr milliseconds kMaxNonRepeatableIdle{500};
/** Added to the gap that is on time, for the network. */
constexpr milliseconds kGapMargin{150};
/** Maximum size of an answer that is not a stream, and of all such answers that
 * a host reads at the same time: the smallest hosts have 130 MB, and a server
 * in trouble may send bytes without end. */
constexpr std::size_t kMaxAnswerBytes = 4UL << 20;
constexpr std::size_t kMaxBufferedBytes = 24UL << 20;

/** Returns `seconds` times `factor` as a duration, clamped to [least, most]. */
auto BoundedTimeout(double seconds,
                    double factor,
                    milliseconds least,
                    milliseconds most) -> milliseconds {
  const auto wanted =
      milliseconds(static_cast<std::int64_t>(seconds * factor * 1000));
  return std::clamp(wanted, least, most);
}

/** Updates a smoothed average in seconds with the newest time. */
auto Smooth(double& average, duration newest) -> void {
  average +=
      kTimeWeight * (std::chrono::duration<double>(newest).count() - average);
}

/** Body of an answer that is being read; counted in the host's total. */
class body_buffer {
 public:
  explicit body_buffer(std::size_t& total) : total_(total) {}
  body_buffer(const body_buffer&) = delete;
  auto operator=(const body_buffer&) -> body_buffer& = delete;
  ~body_buffer() { total_ -= counted_; }

  /** Appends received bytes. Returns false if that is more than a host has room
   * for. */
  auto Append(const std::string& bytes) -> bool {
    body_ += bytes;
    counted_ += bytes.size();
    total_ += bytes.size();
    return body_.size() <= kMaxAnswerBytes && total_ <= kMaxBufferedBytes;
  }
  auto Size() const -> std::size_t { return body_.size(); }
  auto Take() -> std::string { return std::move(body_); }

 private:
  std::size_t& total_;
  std::size_t counted_ = 0;
  std::string body_;
};

/** Timer that tells when a server has been silent for too long. */
class silence_timer : public std::enable_shared_from_this<silence_timer> {
 public:
  silence_timer(asio::io_context& io, std::function<void()> on_silence)
      : timer_(io), on_silence_(std::move(on_silence)) {}

  /** Calls the handler at `due`, unless the time is moved before. */
  auto Start(time_point due) -> void {
    due_ = due;
    timer_.expires_at(due);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self != nullptr && clock::now() >= self->due_) {
        self->on_silence_();
      }
    });
  }

 private:
  asio::steady_timer timer_;
  std::function<void()> on_silence_;
  time_point due_;
};

/** Runs one attempt and holds its state. */
class attempt {
 public:
  attempt(host_state& host,
          const attempt_spec& spec,
          stream_progress& progress,
          attempt_handle& handle,
          answer_sink& sink)
      : host_(host),
        spec_(spec),
        progress_(progress),
        handle_(handle),
        sink_(sink),
        silence_timer_(std::make_shared<silence_timer>(host.io, [this] {
          HandleSilence();
        })) {}

  auto Run() -> asio::awaitable<attempt_result> {
    co_await RunSteps();
    handle_.connection.reset();
    co_return std::move(result_);
  }

 private:
  /** Records a failure as the result; an aborted attempt has its own outcome.
   */
  auto Fail(const failure& error, run_outcome outcome) -> void {
    result_.error = error;
    result_.outcome = outcome;
    was_cut_ = false;
    if (handle_.has_moved) {
      result_.outcome = run_outcome::kUnreachable;
      result_.error.message = "server is silent and another one has room";
    } else if (handle_.aborted) {
      result_.outcome = run_outcome::kCancelled;
      result_.error.message = "ended by this host";
    }
  }

  /** Returns a failure that this host has detected. */
  auto LocalFailure(std::string message, std::string step) const -> failure {
    return {.code = error_code::kBadGateway,
            .message = std::move(message),
            .ran = ran_state::kMaybe,
            .step = std::move(step),
            .peer = spec_.server.id.value};
  }

  /** Returns when the server counts as silent if it sends nothing. */
  auto SilenceTime(bool has_events) const -> time_point {
    const auto& average = host_.times[spec_.service];
    auto limit = has_events ? BoundedTimeout(average.event_gap_s, kGapFactor,
                                             kMinGapTimeout, kMaxGapTimeout)
                            : BoundedTimeout(
                                  average.first_event_s, kFirstEventFactor,
                                  kMinFirstEventTimeout, kMaxFirstEventTimeout);
    if (spec_.is_batch) {
      limit *= kBatchTimeoutFactor;
    }
    if (has_events && spec_.event_gap_objective > duration()) {
      limit = std::max(limit, std::chrono::duration_cast<milliseconds>(
                                  spec_.event_gap_objective + kGapMargin));
    } else if (!has_events) {
      limit = std::max(limit, std::chrono::duration_cast<milliseconds>(
                                  spec_.first_event_objective));
    }
    return std::min(spec_.deadline, clock::now() + limit);
  }

  /** Returns the deadline for the next bytes from the server. */
  auto ReadDeadline(bool has_events) -> time_point {
    if (spec_.is_batch) {
      return SilenceTime(has_events);
    }
    has_events_ = has_events;
    if (spec_.on_silence) {
      silence_timer_->Start(SilenceTime(has_events));
    }
    return spec_.deadline;
  }

  auto HandleSilence() -> void {
    spec_.on_silence();
    if (clock::now() < spec_.deadline && !handle_.aborted) {
      silence_timer_->Start(SilenceTime(has_events_));
    }
  }

  /** Acquires a connection: a pooled one if `use_idle` and available, else a
   * new one. Returns false on failure. */
  auto Open(bool use_idle) -> asio::awaitable<bool> {
    const auto now = clock::now();
    is_reused_ = false;
    if (use_idle) {
      handle_.connection = host_.pool.Acquire(
          spec_.server.address, now,
          spec_.is_repeatable ? duration::max()
                              : duration(kMaxNonRepeatableIdle));
      is_reused_ = handle_.connection != nullptr;
    }
    if (is_reused_) {
      co_return true;
    }
    auto opened = co_await backend_connection::Connect(
        host_.io, spec_.server.address,
        std::min(spec_.deadline, now + kConnectTimeout));
    if (!opened) {
      Fail(opened.error(), run_outcome::kUnreachable);
      co_return false;
    }
    handle_.connection = std::move(opened.value());
    if (handle_.aborted) {
      Fail(LocalFailure("", "connect"), run_outcome::kCancelled);
    }
    co_return !handle_.aborted;
  }

  /** Sends the request. Returns false on failure. */
  auto Send() -> asio::awaitable<bool> {
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(spec_.deadline - clock::now());
    const forward_spec to{
        .server = spec_.server.id,
        .workspace = spec_.workspace,
        .time_remaining = std::max(remaining, milliseconds(1)),
        .resume_after = progress_.last_event};
    const auto request = adapter::EncodeForServer(*spec_.request, to);
    result_.may_have_run = true;
    sent_at_ = clock::now();
    auto sent = co_await handle_.connection->Send(request, spec_.deadline);
    if (!sent) {
      Fail(sent.error(), run_outcome::kUnreachable);
    }
    co_return sent.has_value();
  }

  /** Reads the head of the answer to this request. Unmatched answers, which a
   * server sent late or twice, are skipped. */
  auto ReadHead() -> asio::awaitable<std::optional<http_head>> {
    const auto until = ReadDeadline(false);
    for (int i = 0; i < kMaxUnmatchedAnswers; ++i) {
      auto head = co_await handle_.connection->ReadHead(until);
      if (!head) {
        Fail(head.error(), run_outcome::kUnreachable);
        was_cut_ = IsCut(head.error());
        co_return std::nullopt;
      }
      answer_ = adapter::DecodeAnswer(*head);
      if (answer_.is_leaving) {
        host_.registrations->RecordLeaving(spec_.server.id);
      }
      if (answer_.load) {
        host_.placement->RecordLoad(spec_.server.id, *answer_.load);
      }
      if (answer_.cold_left) {
        host_.placement->RecordCold(spec_.server.id, *answer_.cold_left);
      } else if (answer_.has_bad_cold_time) {
        host_.placement->RejectColdTime(spec_.server.id);
      }
      const bool is_unnamed = answer_.attempt.value.empty();
      if (is_unnamed && is_reused_) {
        // It may be a copy of an earlier answer.
        Fail(LocalFailure("answer on a used connection names no request",
                          "read head"),
             run_outcome::kFailed);
        co_return std::nullopt;
      }
      if (is_unnamed || answer_.attempt == spec_.attempt) {
        co_return std::move(head.value());
      }
      Log(log_level::kWarning, log_category::kRoute,
          {"answer to request " + answer_.attempt.value + " skipped",
           "read head of " + spec_.attempt.value, spec_.server.id.value});
      const auto skipped = co_await ReadBody();
      if (!skipped) {
        co_return std::nullopt;
      }
      handle_.connection->PrepareForResponse();
    }
    Fail(LocalFailure("only answers to other requests came", "read head"),
         run_outcome::kFailed);
    co_return std::nullopt;
  }

  /** Reads the body of an answer that is not a stream. */
  auto ReadBody() -> asio::awaitable<std::optional<std::string>> {
    body_buffer body(host_.buffered_bytes);
    while (true) {
      auto part = co_await handle_.connection->ReadSome(spec_.deadline);
      if (!part) {
        Fail(part.error(), run_outcome::kFailed);
        was_cut_ = IsCut(part.error());
        co_return std::nullopt;
      }
      if (part->empty()) {
        co_return body.Take();
      }
      if (!body.Append(part.value())) {
        Fail(
            LocalFailure("answer is too long: " + std::to_string(body.Size()) +
                             " bytes, " + std::to_string(host_.buffered_bytes) +
                             " in all answers being read",
                         "read body"),
            run_outcome::kFailed);
        co_return std::nullopt;
      }
    }
  }

  /** Returns the connection to the pool if it can be reused. Not after a
   * refusal, which a faulty server may repeat for a request that it runs, and
   * not if answers on it cannot be told apart. */
  auto ReturnToPool() -> void {
    if (answer_.not_run || answer_.attempt.value.empty()) {
      return;
    }
    const auto idle_timeout =
        answer_.keep_alive_s
            ? milliseconds(*answer_.keep_alive_s * 1000) - kIdleMargin
            : kDefaultKeepAlive;
    host_.pool.Release(handle_.connection, clock::now(), idle_timeout);
  }

  /** Handles an answer that is not a stream. */
  auto HandlePlainAnswer(http_head head) -> asio::awaitable<void> {
    auto body = co_await ReadBody();
    if (!body) {
      co_return;
    }
    ReturnToPool();
    if (answer_.not_run) {
      result_.may_have_run = false;
      result_.outcome =
          head.status == 503 ? run_outcome::kFull : run_outcome::kNotRun;
      result_.error = LocalFailure("server did not run the request: status " +
                                       std::to_string(head.status),
                                   "read head");
      result_.error.ran = ran_state::kNo;
      co_return;
    }
    const bool is_success = head.status / 100 == 2;
    if (is_success && !answer_.has_proof) {
      Fail(LocalFailure("success without the server's proof", "read head"),
           run_outcome::kFailed);
      co_return;
    }
    result_.is_complete = true;
    result_.outcome =
        head.status / 100 == 5 ? run_outcome::kFailed : run_outcome::kComplete;
    result_.error =
        LocalFailure("status " + std::to_string(head.status), "read head");
    result_.answer = http_response{
        head.status, adapter::FieldsForCaller(head.headers), std::move(*body)};
  }

  /** Appends the events that have not been forwarded yet to `passed`. Returns
   * false if an event is missing. */
  auto FilterEvents(const std::vector<std::string>& events, std::string& passed)
      -> bool {
    for (const auto& event : events) {
      const auto fields = ParseEventFields(event);
      if (fields.id && *fields.id <= progress_.last_event) {
        continue;
      }
      if (fields.id && *fields.id != progress_.last_event + 1) {
        Fail(LocalFailure("event " + std::to_string(*fields.id) +
                              " follows event " +
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

  /** Updates the smoothed answer times with the arrival of an event. */
  auto RecordEventTime() -> void {
    const auto now = clock::now();
    auto& average = host_.times[spec_.service];
    if (result_.first_event == time_point()) {
      result_.first_event = now;
      Smooth(average.first_event_s, now - sent_at_);
    } else {
      Smooth(average.event_gap_s, now - last_event_at_);
    }
    last_event_at_ = now;
  }

  /** Forwards a stream to the sink. */
  auto HandleStream(const http_head& head) -> asio::awaitable<void> {
    sse_parser parser;
    // Only complete events count: bytes may also come without ever making one.
    auto until = ReadDeadline(false);
    while (true) {
      auto part = co_await handle_.connection->ReadSome(until);
      if (!part) {
        const bool is_silent =
            part.error().code == error_code::kDeadlineExceeded;
        Fail(part.error(),
             is_silent ? run_outcome::kUnreachable : run_outcome::kFailed);
        was_cut_ = IsCut(part.error());
        co_return;
      }
      if (part->empty()) {
        if (parser.HasPartialEvent()) {
          Fail(LocalFailure("stream ends within an event", "read event"),
               run_outcome::kFailed);
          was_cut_ = true;
          co_return;
        }
        result_.is_complete = true;
        ReturnToPool();
        co_return;
      }
      auto events = ToOutcome([&] { return parser.Feed(part.value()); });
      if (!events) {
        Fail(events.error(), run_outcome::kFailed);
        co_return;
      }
      if (events->empty()) {
        if (clock::now() >= until) {
          Fail(LocalFailure("no event although bytes came", "read event"),
               run_outcome::kUnreachable);
          co_return;
        }
        continue;
      }
      RecordEventTime();
      event_count_ += events->size();
      std::string passed;
      const bool in_order = FilterEvents(events.value(), passed);
      bool is_wanted = true;
      if (!passed.empty()) {
        is_wanted = co_await ForwardEvents(head, std::move(passed));
      }
      if (!is_wanted) {
        handle_.Abort();
        Fail(LocalFailure("nobody wants the answer any more", "pass on events"),
             run_outcome::kCancelled);
        co_return;
      }
      if (!in_order) {
        handle_.connection->Abort();
        co_return;
      }
      // After the events have been forwarded, since a slow caller is no fault
      // of the server.
      until = ReadDeadline(true);
    }
  }

  /** Forwards events to the sink, preceded by the head before the first ones.
   * Returns false if the receiver has gone. */
  auto ForwardEvents(const http_head& head, std::string events)
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

  /** Acquires a connection, sends the request and reads the head of the answer.
   */
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

  /** Whether the attempt failed because its pooled connection had been closed,
   * which says nothing about new connections to the server. */
  auto WasStaleConnection() const -> bool {
    return is_reused_ && !handle_.aborted &&
           result_.outcome == run_outcome::kUnreachable &&
           result_.error.code != error_code::kDeadlineExceeded;
  }

  /** Whether the server closed the connection, as opposed to being silent. */
  static auto IsCut(const failure& error) -> bool {
    return error.code != error_code::kDeadlineExceeded;
  }

  /** Whether the server may have crashed on the request. A pooled connection
   * that was closed may have been idle for too long, unless the server accepts
   * no other one. */
  auto MayHaveCrashed(bool was_stale) const -> bool {
    const bool is_refused = was_stale &&
                            result_.outcome == run_outcome::kUnreachable &&

                            IsCut(result_.error);
    return (was_cut_ || is_refused) && !handle_.aborted && event_count_ < 2;
  }

  /** Handles the answer that begins with `head`. */
  auto HandleAnswer(http_head head) -> asio::awaitable<void> {
    if (answer_.is_stream && head.status == 200 && answer_.has_proof) {
      co_await HandleStream(head);
    } else {
      co_await HandlePlainAnswer(std::move(head));
    }
  }

  auto RunSteps() -> asio::awaitable<void> {
    auto head = co_await Begin(true);
    const bool was_stale = !head && WasStaleConnection();
    if (was_stale && spec_.is_repeatable) {
      result_ = {};
      was_cut_ = false;
      head = co_await Begin(false);
    } else if (was_stale) {
      result_.outcome = run_outcome::kFailed;
      was_cut_ = false;
    }
    if (head) {
      co_await HandleAnswer(std::move(*head));
    }
    // Even if the second try failed, the server may have run the request that
    // was sent on the stale connection.
    result_.may_have_run = result_.may_have_run || was_stale;
    result_.may_have_crashed = MayHaveCrashed(was_stale);
    result_.was_left_silent = handle_.has_moved;
    if (event_count_ > 0) {
      result_.times = {result_.first_event - sent_at_,
                       last_event_at_ - result_.first_event,
                       static_cast<std::uint32_t>(event_count_)};
    }
  }

  host_state& host_;
  const attempt_spec& spec_;
  stream_progress& progress_;
  attempt_handle& handle_;
  answer_sink& sink_;
  std::shared_ptr<silence_timer> silence_timer_;
  attempt_result result_;
  server_answer answer_;
  time_point sent_at_;
  time_point last_event_at_;
  bool is_reused_ = false;   // The connection came from the pool.
  bool was_cut_ = false;     // The server closed it within the answer.
  bool has_events_ = false;  // An event was received when the timer was set.
  std::size_t event_count_ = 0;
};

}  // namespace

auto ConnectedServers(host_state& host,
                      const service_id& service,
                      bool is_repeatable) -> std::vector<server_id> {
  const auto addresses = host.pool.IdleAddresses(
      clock::now(),
      is_repeatable ? duration::max() : duration(kMaxNonRepeatableIdle));
  std::vector<server_id> servers;
  if (addresses.empty()) {
    return servers;
  }
  for (const auto& [id, server] : host.servers) {
    if (server.service == service && !server.leaving &&
        addresses.contains(server.address)) {
      servers.push_back(id);
    }
  }
  return servers;
}

auto RunAttempt(host_state& host,
                const attempt_spec& spec,
                stream_progress& progress,
                attempt_handle& handle,
                answer_sink& sink) -> asio::awaitable<attempt_result> {
  attempt running(host, spec, progress, handle, sink);
  auto result = co_await running.Run();
  co_return result;
}

}  // namespace dogwood
