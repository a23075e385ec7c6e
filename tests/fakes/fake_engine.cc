/** Stand-in for a model engine with continuous batching. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cxxopts.hpp>
#include <iostream>

#include "tests/fakes/engine_api.h"
#include "tests/fakes/engine_model.h"
#include "tests/fakes/engine_state.h"
#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Interval between load samples while no sequence is running. */
constexpr std::chrono::milliseconds kIdleSampleInterval{20};
/** Hexadecimal digits of the prompt's hash in each token. */
constexpr std::size_t kTextKeyDigits = 8;

/** Complete state of the stand-in. */
struct engine_state {
  explicit engine_state(engine_options o)
      : options(std::move(o)), engine(options.costs) {}
  engine_options options;
  batch_engine engine;
  fault_state faults;
  request_log journal;
  load_history load;
  cache_event_log events;
  order_log orders;
  resume_store resumes;
  std::map<std::string, sequence_ptr> active;  ///< By request id.
  std::set<asio::steady_timer*> waiters;       ///< Cancelled after each step.
  std::uint64_t next_id = 0;                   ///< Ids of requests without one.
  sequence last;  ///< Previous sequence, for crossed responses.
};

/** A completion request in progress. */
struct running_request {
  completion_request completion;  ///< Parsed request.
  sequence_ptr seq;
  /** Sequence that responses name; the previous one if crossed. */
  sequence reported_as;
  std::uint64_t sent = 0;  ///< Tokens sent, including those before a resume.
};

/** Runs the steps of the batch; never returns. */
auto RunSteps(engine_state& s) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  auto next = clock::now();
  while (true) {
    const auto step_ms = s.engine.BeginStep();
    const auto step =
        step_ms > 0 ? std::chrono::duration_cast<duration>(
                          std::chrono::duration<double, std::milli>(step_ms))
                    : duration(kIdleSampleInterval);
    // Deadlines are absolute, so that timer delays do not accumulate.
    next = std::max(next, clock::now() - duration(kIdleSampleInterval)) + step;
    timer.expires_at(next);
    if (step_ms == 0) {
      s.waiters.insert(&timer);
    }
    co_await timer.async_wait(kAwait);
    s.waiters.erase(&timer);
    if (step_ms > 0) {
      s.engine.EndStep();
    } else {
      next = clock::now();
    }
    s.events.Add(clock::now(), s.engine.DrainCacheEvents());
    s.load.RecordSample(clock::now(), s.options.load_lag, s.engine.Running(),
                        s.engine.Waiting(), s.engine.Cache().Size());
    for (auto* waiter : s.waiters) {
      waiter->cancel();
    }
  }
}

/** Waits for the end of the next step, at most 100 ms. */
auto WaitForStep(engine_state& s) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(100));
  s.waiters.insert(&timer);
  co_await timer.async_wait(kAwait);
  s.waiters.erase(&timer);
}

/** Submits a sequence and wakes the step loop if it is idle. */
auto Submit(engine_state& s, const sequence_ptr& seq) -> void {
  s.engine.Submit(seq);
  for (auto* waiter : s.waiters) {
    waiter->cancel();
  }
}

/** Cancels a sequence; it can be resumed within `resume_ttl`. */
auto CancelSequence(engine_state& s, const sequence_ptr& seq) -> void {
  if (!seq->cancelled) {
    s.engine.Cancel(seq);
    ++s.journal.Counts(seq->request_id).cancelled;
    s.resumes.Save(*seq, clock::now() + s.options.resume_ttl);
  }
}

/** Registers a sequence as active. On destruction, counts it as finished or
 * cancels it, and removes it from the active ones. */
class request_guard {
 public:
  request_guard(engine_state& s, sequence_ptr seq)
      : s_(s), seq_(std::move(seq)) {
    s_.active[seq_->request_id] = seq_;
  }
  request_guard(const request_guard&) = delete;
  auto operator=(const request_guard&) -> request_guard& = delete;
  ~request_guard() {
    if (seq_->IsFinished()) {
      ++s_.journal.Counts(seq_->request_id).finished;
    } else {
      CancelSequence(s_, seq_);
    }
    const auto found = s_.active.find(seq_->request_id);
    if (found != s_.active.end() && found->second == seq_) {
      s_.active.erase(found);
    }
  }

 private:
  engine_state& s_;
  sequence_ptr seq_;
};

/** Returns the value of X-Resume-From, or nothing if it is absent or not a
 * number. */
auto ResumeFrom(const http_request& request) -> std::optional<std::uint64_t> {
  const auto text = request.headers.Get("X-Resume-From");
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return number;
}

/** Creates the sequence of a request, or resumes a cancelled one. Fails with
 * kConflict if the tokens to resume from are no longer saved. */
auto StartRequest(engine_state& s,
                  const http_request& request,
                  completion_request completion) -> outcome<running_request> {
  auto seq = std::make_shared<sequence>();
  seq->request_id = request.headers.Get("X-Request-Id");
  if (seq->request_id.empty()) {
    seq->request_id = "unnamed-" + std::to_string(++s.next_id);
  }
  seq->text_key = Sha256Hex(completion.prompt).substr(0, kTextKeyDigits);
  seq->prompt = SplitWords(completion.prompt);
  seq->max_tokens = completion.max_tokens;
  running_request w{.completion = std::move(completion),
                    .seq = seq,
                    .reported_as = {},
                    .sent = 0};
  auto& counts = s.journal.Counts(seq->request_id);
  if (const auto from = ResumeFrom(request); from && *from > 0) {
    const auto produced = s.resumes.Pop(seq->request_id, clock::now());
    if (produced < *from) {
      return failure{.code = error_code::kConflict,
                     .message = "the stream to resume is not kept any more",
                     .step = "resume",
                     .peer = request.peer};
    }
    seq->produced = std::min(produced, seq->max_tokens);
    seq->prefilled = true;
    w.sent = *from;
    ++counts.resumed;
  }
  ++counts.started;
  w.reported_as = *seq;
  if (!s.last.request_id.empty() && ConsumeOne(s.faults.cross_answers)) {
    w.reported_as.request_id = s.last.request_id;
    w.reported_as.text_key = s.last.text_key;
  }
  s.last = *seq;
  return w;
}

/** Waits until the request has more tokens than `sent`, or all of them if it
 * is not streamed. Returns false if the caller disconnected, the request
 * was cancelled, or a fault closes or silences the connection. */
auto WaitForTokens(engine_state& s, running_request& w, http_exchange& exchange)
    -> asio::awaitable<bool> {
  const auto executor = co_await asio::this_coro::executor;
  while (true) {
    const auto& faults = s.faults;
    const auto produced = w.seq->produced;
    if (exchange.IsCallerDisconnected() || w.seq->cancelled) {
      co_return false;
    }
    if (faults.close_after_tokens > 0 &&
        produced >= faults.close_after_tokens) {
      co_return false;
    }
    const bool silent = faults.silent_after_tokens > 0 &&
                        produced >= faults.silent_after_tokens;
    if (silent ||
        faults.silent_connections.Contains(exchange.Request().peer, executor)) {
      co_await WaitUntilDisconnected(exchange);
      co_return false;
    }
    if (w.seq->IsFinished() || (w.completion.stream && produced > w.sent)) {
      co_return true;
    }
    co_await WaitForStep(s);
  }
}

/** Returns the headers of a streamed response. */
auto ResponseHeaders(const running_request& w) -> http_headers {
  http_headers headers;
  headers.Set("X-Request-Id", w.reported_as.request_id);
  if (w.sent > 0) {
    headers.Set("X-Resumed-From", std::to_string(w.sent));
  }
  return headers;
}

/** Responds to a request that is not streamed. */
auto SendCompleteResponse(engine_state& s,
                          running_request& w,
                          http_exchange& exchange) -> asio::awaitable<void> {
  const bool is_complete = co_await WaitForTokens(s, w, exchange);
  if (!is_complete) {
    if (w.seq->cancelled) {
      co_await RespondError(exchange, error_code::kConflict, "cancelled");
    }
    co_return;
  }
  if (s.faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(s.faults.delay_ms));
  }
  if (ShouldDropResponse(s.faults)) {
    co_return;
  }
  w.reported_as.produced = w.seq->produced;
  const auto body = CompletionResponse(w.completion, w.reported_as, w.sent);
  auto response = JsonResponse(200, json::serialize(body));
  response.headers.fields.push_back({"X-Request-Id", w.reported_as.request_id});
  co_await exchange.Respond(std::move(response));
}

/** Sends the tokens generated since the last call. Returns false if the write
 * failed. */
auto SendTokens(running_request& w, http_exchange& exchange)
    -> asio::awaitable<bool> {
  std::string events;
  for (; w.sent < w.seq->produced; ++w.sent) {
    events += TokenEvent(w.completion, w.reported_as, w.sent);
  }
  if (events.empty()) {
    co_return true;
  }
  const auto written = co_await exchange.WriteChunk(events);
  co_return written.has_value();
}

/** Responds to a request with server-sent events. */
auto StreamResponse(engine_state& s,
                    running_request& w,
                    http_exchange& exchange) -> asio::awaitable<void> {
  http_head head;
  head.headers = ResponseHeaders(w);
  head.headers.Set("Content-Type", "text/event-stream");
  if (s.faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(s.faults.delay_ms));
  }
  auto written = co_await exchange.BeginStream(std::move(head));
  if (!written) {
    co_return;
  }
  while (w.sent < w.seq->max_tokens) {
    const bool more = co_await WaitForTokens(s, w, exchange);
    if (!more) {
      co_return;
    }
    const bool sent = co_await SendTokens(w, exchange);
    if (!sent) {
      co_return;
    }
  }
  const auto last =
      FinishEvent(w.completion, w.reported_as) + std::string(kDoneEvent);
  written = co_await exchange.WriteChunk(last);
  if (written) {
    co_await exchange.EndStream();
  }
}

/** POST /v1/completions and /v1/chat/completions. */
auto Complete(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  auto completion = ReadCompletion(request);
  if (!completion) {
    co_await RespondError(exchange, completion.error().code,
                          completion.error().message);
    co_return;
  }
  if (!s.options.models.contains(completion->model)) {
    co_await RespondError(exchange, error_code::kNotFound,
                          "model \"" + completion->model + "\" is not loaded");
    co_return;
  }
  auto started = StartRequest(s, request, std::move(*completion));
  if (!started) {
    co_await RespondError(exchange, started.error().code,
                          started.error().message);
    co_return;
  }
  auto& w = *started;
  const request_guard guard(s, w.seq);
  if (!w.seq->IsFinished()) {
    Submit(s, w.seq);
  }
  if (w.completion.stream) {
    co_await StreamResponse(s, w, exchange);
  } else {
    co_await SendCompleteResponse(s, w, exchange);
  }
}

/** POST /cancel/{request_id}. */
auto CancelRequest(engine_state& s, std::string id, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto found = s.active.find(id);
  const bool known = found != s.active.end();
  if (known) {
    CancelSequence(s, found->second);
  }
  const json::object answer{{"id", id}, {"cancelled", known}};
  co_await RespondJson(exchange, known ? 200 : 404, answer);
}

/** GET /load. */
auto ShowLoad(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  auto answer = s.load.At(clock::now(), s.options.load_lag);
  answer["slots"] = s.options.costs.slots;
  co_await RespondJson(exchange, 200, answer);
}

/** GET /v1/models. */
auto ShowModels(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  json::array rows;
  for (const auto& model : s.options.models) {
    rows.push_back({{"id", model}, {"object", "model"}});
  }
  const json::object answer{{"object", "list"}, {"data", std::move(rows)}};
  co_await RespondJson(exchange, 200, answer);
}

/** POST /orders. */
auto HandleOrder(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto body = ParseBody(exchange.Request());
  const auto applied =
      body ? s.orders.Apply(*body, s.options.check_fencing, s.options.models)
           : body.error();
  if (!applied) {
    co_await RespondError(exchange, applied.error().code,
                          applied.error().message);
    co_return;
  }
  const json::object answer{{"state", "done"}};
  co_await RespondJson(exchange, 200, answer);
}

/** GET and PUT /kv/{prefix}: export and import of one cached prefix. */
auto HandleKvPrefix(engine_state& s,
                    std::string prefix,
                    http_exchange& exchange) -> asio::awaitable<void> {
  auto& cache = s.engine.Cache();
  if (exchange.Request().method == "PUT") {
    std::vector<std::string> evicted;
    cache.Insert(prefix, evicted);
  }
  const bool held = cache.Contains(prefix);
  const json::object answer{{"prefix", prefix}, {"held", held}};
  co_await RespondJson(exchange, held ? 200 : 404, answer);
}

/** GET /cache_events?from=. */
auto ShowEvents(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto from = QueryNumber(exchange.Request(), "from", 0);
  const auto page = s.events.Page(from, clock::now(), s.options.event_lag,
                                  s.options.event_gap);
  co_await RespondJson(exchange, 200, page);
}

/** POST /fault. */
auto SetFaults(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto body = ParseBody(exchange.Request());
  const auto set = body ? ApplyFault(s.faults, *body) : body.error();
  if (!set) {
    co_await RespondError(exchange, set.error().code, set.error().message);
    co_return;
  }
  const json::object answer{{"state", "set"}};
  co_await RespondJson(exchange, 200, answer);
}

/** Handles a call of the engine API. */
auto HandleApiRequest(engine_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  constexpr std::string_view kCancel = "/cancel/";
  constexpr std::string_view kCache = "/kv/";
  const auto& request = exchange.Request();
  const auto path = request.Path();
  const bool post = request.method == "POST";
  if (post && (path == "/v1/completions" || path == "/v1/chat/completions")) {
    co_await Complete(s, exchange);
  } else if (post && path.starts_with(kCancel)) {
    std::string id(path.substr(kCancel.size()));
    co_await CancelRequest(s, std::move(id), exchange);
  } else if (path == "/v1/models") {
    co_await ShowModels(s, exchange);
  } else if (path == "/load") {
    co_await ShowLoad(s, exchange);
  } else if (path == "/cache_events") {
    co_await ShowEvents(s, exchange);
  } else if (path == "/orders" && post) {
    co_await HandleOrder(s, exchange);
  } else if (path.starts_with(kCache)) {
    std::string prefix(path.substr(kCache.size()));
    co_await HandleKvPrefix(s, std::move(prefix), exchange);
  } else {
    co_await RespondError(exchange, error_code::kNotFound, "no such call");
  }
}

/** Handles one request. The calls for tests come first, so that faults do not
 * affect them. */
auto Handle(engine_state& s, http_exchange& exchange) -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const auto path = request.Path();
  if (path == "/fault") {
    co_await SetFaults(s, exchange);
    co_return;
  }
  if (path == "/requests") {
    const auto answer = s.journal.ToJson();
    co_await RespondJson(exchange, 200, answer);
    co_return;
  }
  if (path == "/orders" && request.method == "GET") {
    const auto answer = s.orders.ToJson();
    co_await RespondJson(exchange, 200, answer);
    co_return;
  }
  s.journal.RecordArrival(request);
  const auto executor = co_await asio::this_coro::executor;
  if (ShouldStaySilent(s.faults, request, executor)) {
    co_await WaitUntilDisconnected(exchange);
    co_return;
  }
  if (s.faults.outage || ShouldRefuse(s.faults)) {
    co_await RespondError(exchange, error_code::kUnavailable, "fault: refuse");
    co_return;
  }
  co_await HandleApiRequest(s, exchange);
}

/** Declares the options of the command line. */
auto DescribeOptions() -> cxxopts::Options {
  cxxopts::Options options("fake_engine", "Stand-in for a model engine.");
  auto add = options.add_options();
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  const auto number = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  add("port", "port on 127.0.0.1", cxxopts::value<std::uint16_t>());
  add("model", "models loaded at the start, separated by commas", text("m"));
  add("slots", "sequences that run concurrently", number("8"));
  add("base-ms", "duration of a step", number("4"));
  add("per-sequence-ms", "additional time per running sequence", number("0.5"));
  add("prefill-ms", "time per prompt token not in the cache", number("0.2"));
  add("cached-prefixes", "capacity of the prefix cache", number("64"));
  add("load-lag-ms", "delay of load reports", number("200"));
  add("event-lag-ms", "delay of cache events", number("1000"));
  add("event-gap", "every n-th cache event is dropped, 0 for none",
      number("7"));
  add("resume-keep-ms", "how long cancelled streams can be resumed",
      number("10000"));
  add("ignore-fencing", "accept orders with old fencing numbers");
  add("help", "this text");
  return options;
}

/** Converts the values of the command line. */
auto ReadOptions(const cxxopts::ParseResult& arguments) -> engine_options {
  const auto number = [&arguments](const char* name) {
    return arguments[name].as<double>();
  };
  const auto time = [&number](const char* name) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(number(name)));
  };
  engine_options o;
  std::istringstream models(arguments["model"].as<std::string>());
  for (std::string model; std::getline(models, model, ',');) {
    o.models.insert(model);
  }
  o.costs.slots = static_cast<unsigned>(number("slots"));
  o.costs.base_ms = number("base-ms");
  o.costs.per_sequence_ms = number("per-sequence-ms");
  o.costs.prefill_ms = number("prefill-ms");
  o.costs.cached_prefixes = static_cast<std::size_t>(number("cached-prefixes"));
  o.load_lag = time("load-lag-ms");
  o.event_lag = time("event-lag-ms");
  o.event_gap = static_cast<std::uint64_t>(number("event-gap"));
  o.resume_ttl = time("resume-keep-ms");
  o.check_fencing = arguments.count("ignore-fencing") == 0;
  return o;
}

/** Parses the command line and runs the server. Returns the exit code. */
auto Run(int argc, char** argv) -> int {
  auto options = DescribeOptions();
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0 || arguments.count("port") == 0) {
    std::cout << options.help();
    return arguments.count("help") != 0 ? 0 : 2;
  }
  engine_state s(ReadOptions(arguments));
  asio::io_context io(1);
  asio::co_spawn(io, RunSteps(s), AbortOnException);
  return RunServer(
      io, "fake_engine", arguments["port"].as<std::uint16_t>(),
      [&s](http_exchange& exchange) { return Handle(s, exchange); });
}

}  // namespace
}  // namespace dogwood::fakes

/** Entry point. */
auto main(int argc, char** argv) -> int {
  try {
    return dogwood::fakes::Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return 2;
  }
}
