#include "src/load_run.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <memory>
#include <utility>

#include "src/http.h"
#include "src/load_func.h"
#include "src/load_stream.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Longest time of one short call. */
constexpr std::chrono::seconds kCallTime{10};
/** Period of reading a job's progress. */
constexpr std::chrono::milliseconds kProgressPeriod{500};
/** Pause before a call is tried again at another address. */
constexpr std::chrono::milliseconds kRetryPause{200};

/** Everything of a run. It runs on one thread. */
struct run_state {
  const load_plan& plan;               ///< What to send.
  asio::io_context io{1};              ///< Runs everything.
  time_point start;                    ///< Time 0 of the plan.
  time_point end;                      ///< Nothing is waited for after it.
  std::vector<std::string> addresses;  ///< Entry hosts to use.
  time_point addresses_until;          ///< When to ask for them again.
  load_figures figures;                ///< What came of it.
  std::vector<rate_judge> judges;      ///< By workspace.
  std::size_t next_address = 0;        ///< Rotates over the addresses.

  /** Time since the start. */
  auto Elapsed() const -> run_time { return clock::now() - start; }
  /** The next address in rotation. */
  auto NextAddress() -> std::string {
    return addresses[next_address++ % addresses.size()];
  }
};

/** Waits until a time. */
auto SleepUntil(time_point at) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor, at);
  co_await timer.async_wait(kAwait);
}

/** The time point of a run time. */
auto At(const run_state& s, run_time at) -> time_point {
  return s.start + std::chrono::duration_cast<duration>(at);
}

/** One short call to `address`. */
auto Call(std::string address, http_request request, time_point deadline)
    -> asio::awaitable<outcome<http_response>> {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  co_return co_await Fetch(*endpoint, std::move(request), deadline);
}

/** A request with a caller's key. */
auto KeyedRequest(std::string method,
                  std::string target,
                  const std::string& key,
                  std::string body) -> http_request {
  http_request request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.headers.Set("Authorization", "Bearer " + key);
  request.headers.Set("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

/** A key to ask for addresses with. */
auto AnyKey(const load_plan& plan) -> std::string {
  if (!plan.workspaces.empty()) {
    return plan.workspaces.front().key;
  }
  return plan.batches.empty() ? std::string() : plan.batches.front().key;
}

/** Takes an answer of GET /v1/addresses. Returns whether it was one. */
auto TakeAddresses(run_state& s, const http_response& response) -> bool {
  json::error_code ec;
  const auto body = json::parse(response.body, ec);
  if (ec || response.status != 200 || !body.is_object()) {
    return false;
  }
  const auto* list = body.get_object().if_contains("addresses");
  if (list == nullptr || !list->is_array() || list->get_array().empty()) {
    return false;
  }
  s.addresses.clear();
  for (const auto& address : list->get_array()) {
    s.addresses.emplace_back(address.as_string());
  }
  const auto* until = body.get_object().if_contains("keep_until_unix_ms");
  const std::chrono::milliseconds until_unix(
      until != nullptr ? until->to_number<std::int64_t>() : 0);
  const auto left =
      until_unix - std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch());
  s.addresses_until =
      clock::now() + std::clamp<std::chrono::milliseconds>(
                         left, kProgressPeriod, std::chrono::minutes(1));
  return true;
}

/** Asks the known addresses in turn for the current ones. */
auto AskAddresses(run_state& s) -> asio::awaitable<bool> {
  auto known = s.addresses;
  known.insert(known.end(), s.plan.addresses.begin(), s.plan.addresses.end());
  for (const auto& address : known) {
    auto request = KeyedRequest("GET", "/v1/addresses", AnyKey(s.plan), "");
    const auto deadline = clock::now() + std::chrono::seconds(2);
    const auto response = co_await Call(address, std::move(request), deadline);
    if (response && TakeAddresses(s, *response)) {
      co_return true;
    }
  }
  co_return false;
}

/** Keeps the addresses current. */
auto RefreshAddresses(run_state& s) -> asio::awaitable<void> {
  while (clock::now() < s.end) {
    co_await SleepUntil(std::min(s.addresses_until, s.end));
    const bool asked = co_await AskAddresses(s);
    if (!asked) {
      s.addresses_until = clock::now() + kRetryPause;
    }
  }
}

/** Notes the end of one online request. */
auto NoteResult(workspace_figures& f, const stream_result& r, bool within)
    -> void {
  switch (r.result) {
    case load_result::kCompleted:
      ++f.completed;
      break;
    case load_result::kBroken:
      ++f.broken;
      break;
    case load_result::kWrong:
      ++f.wrong;
      break;
    case load_result::kRefused:
      ++f.refused[r.reason];
      break;
  }
  f.tokens += r.tokens;
  if (within && r.status == HttpStatusOf(error_code::kTooManyRequests)) {
    ++f.refused_within_rate;
  } else if (within && r.result != load_result::kCompleted) {
    ++f.failed_within_rate;
  }
}

/** Sends one online request and notes what came of it. */
auto SendOnline(run_state& s, load_arrival arrival) -> asio::awaitable<void> {
  const auto& w = s.plan.workspaces[arrival.workspace];
  auto& f = s.figures.workspaces[arrival.workspace];
  ++f.sent;
  const bool limited = w.limit_per_s > 0;
  const bool within = !limited || s.judges[arrival.workspace].Note(arrival.at);
  f.within_rate += within ? 1 : 0;
  stream_request request;
  request.address =
      arrival.first_address ? s.addresses.front() : s.NextAddress();
  request.key = w.key;
  request.prompt = PromptOf(w, arrival.number);
  request.body = CompletionBody(s.plan, request.prompt, w.max_tokens, true);
  request.tokens = w.max_tokens;
  request.started = At(s, arrival.at);
  request.deadline = s.end;
  s.figures.send_delay.Add(
      std::chrono::duration<double, std::milli>(clock::now() - request.started)
          .count());
  const auto done = co_await SendStream(std::move(request), f);
  NoteResult(f, done, within);
}

/** Sends all online requests at their times. */
auto SendArrivals(run_state& s) -> asio::awaitable<void> {
  const auto arrivals = ArrivalsOf(s.plan);
  for (const auto& arrival : arrivals) {
    co_await SleepUntil(At(s, arrival.at));
    asio::co_spawn(asio::make_strand(s.io), SendOnline(s, arrival),
                   LogException);
  }
}

/** Text field of a JSON answer, empty if absent. */
auto TextField(const json::value& body, std::string_view name) -> std::string {
  const auto* value =
      body.is_object() ? body.get_object().if_contains(name) : nullptr;
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

/** Number of a JSON answer's "request_counts", 0 if absent. */
auto CountField(const json::value& body, std::string_view name)
    -> std::uint64_t {
  const auto* counts = body.is_object()
                           ? body.get_object().if_contains("request_counts")
                           : nullptr;
  const auto* value = counts != nullptr && counts->is_object()
                          ? counts->get_object().if_contains(name)
                          : nullptr;
  json::error_code ec;
  return value != nullptr ? value->to_number<std::uint64_t>(ec) : 0;
}

/** Submits a job until it is acknowledged, each time through another host. */
auto Submit(run_state& s,
            const load_batch& batch,
            unsigned number,
            std::size_t figure) -> asio::awaitable<void> {
  const auto body = BatchBody(s.plan, batch, number);
  const auto name = "load-" + std::to_string(s.plan.seed) + "-" +
                    batch.workspace.value + "-" + std::to_string(number);
  while (clock::now() < s.end) {
    auto request = KeyedRequest("POST", "/v1/batches", batch.key, body);
    request.headers.Set("Idempotency-Key", name);
    const auto address = s.NextAddress();
    const auto deadline = clock::now() + kCallTime;
    ++s.figures.jobs[figure].submit_attempts;
    const auto response = co_await Call(address, std::move(request), deadline);
    json::error_code ec;
    if (response && response->status / 100 == 2) {
      const auto answer = json::parse(response->body, ec);
      s.figures.jobs[figure].id = TextField(answer, "id");
      s.figures.jobs[figure].submitted = s.Elapsed();
      co_return;
    }
    co_await SleepUntil(clock::now() + kRetryPause);
  }
}

/** Reads a job's state once. Returns whether it has ended. */
auto ReadProgress(run_state& s, const load_batch& batch, std::size_t figure)
    -> asio::awaitable<bool> {
  const auto id = s.figures.jobs[figure].id;
  auto request = KeyedRequest("GET", "/v1/batches/" + id, batch.key, "");
  const auto address = s.NextAddress();
  const auto deadline = clock::now() + kCallTime;
  const auto response = co_await Call(address, std::move(request), deadline);
  json::error_code ec;
  if (!response || response->status != 200) {
    co_return false;
  }
  const auto answer = json::parse(response->body, ec);
  auto& job = s.figures.jobs[figure];
  job.state = TextField(answer, "status");
  const auto done =
      CountField(answer, "completed") + CountField(answer, "failed");
  job.samples.push_back({s.Elapsed(), done});
  co_return job.state == "completed" || job.state == "cancelled" ||
      job.state == "failed";
}

/** Counts the lines of a job's results and repeated custom_ids. */
auto CountResults(run_state& s, const load_batch& batch, std::size_t figure)
    -> asio::awaitable<void> {
  const auto id = s.figures.jobs[figure].id;
  auto request =
      KeyedRequest("GET", "/v1/batches/" + id + "/results", batch.key, "");
  const auto address = s.NextAddress();
  const auto deadline = clock::now() + kCallTime;
  const auto response = co_await Call(address, std::move(request), deadline);
  if (!response || response->status != 200) {
    co_return;
  }
  std::map<std::string, std::uint64_t> seen;
  std::istringstream lines(response->body);
  auto& job = s.figures.jobs[figure];
  for (std::string line; std::getline(lines, line);) {
    json::error_code ec;
    const auto value = json::parse(line, ec);
    if (!ec) {
      ++job.result_lines;
      job.duplicate_lines += ++seen[TextField(value, "custom_id")] > 1 ? 1 : 0;
    }
  }
}

/** Runs one job to its end. */
auto RunJob(run_state& s,
            const load_batch& batch,
            unsigned number,
            std::size_t figure) -> asio::awaitable<void> {
  co_await SleepUntil(At(s, batch.start));
  co_await Submit(s, batch, number, figure);
  bool ended = s.figures.jobs[figure].id.empty();
  while (!ended && clock::now() < s.end) {
    ended = co_await ReadProgress(s, batch, figure);
    if (!ended) {
      co_await SleepUntil(clock::now() + kProgressPeriod);
    }
  }
  s.figures.jobs[figure].finished = s.Elapsed();
  co_await CountResults(s, batch, figure);
}

/** Starts all jobs. */
auto StartJobs(run_state& s) -> void {
  for (const auto& batch : s.plan.batches) {
    for (unsigned i = 0; i < batch.jobs; ++i) {
      s.figures.jobs.emplace_back();
      s.figures.jobs.back().items = batch.items;
    }
  }
  std::size_t figure = 0;
  for (const auto& batch : s.plan.batches) {
    for (unsigned i = 0; i < batch.jobs; ++i) {
      asio::co_spawn(asio::make_strand(s.io), RunJob(s, batch, i, figure++),
                     LogException);
    }
  }
}

/** Starts everything once the addresses are known. */
auto Begin(run_state& s, bool& begun) -> asio::awaitable<void> {
  begun = co_await AskAddresses(s);
  if (!begun) {
    co_return;
  }
  s.start = clock::now();
  s.end = At(s, s.plan.length + s.plan.settle);
  StartJobs(s);
  asio::co_spawn(asio::make_strand(s.io), SendArrivals(s), LogException);
  asio::co_spawn(asio::make_strand(s.io), RefreshAddresses(s), LogException);
}

/** Whether every request and job has ended. */
auto IsDone(const run_state& s) -> bool {
  for (const auto& f : s.figures.workspaces) {
    std::uint64_t refused = 0;
    for (const auto& [reason, count] : f.refused) {
      refused += count;
    }
    if (f.completed + f.broken + f.wrong + refused < f.sent) {
      return false;
    }
  }
  return std::all_of(
      s.figures.jobs.begin(), s.figures.jobs.end(),
      [](const job_figures& job) { return job.finished.count() > 0; });
}

/** Stops the run once all is done, or at its end. */
auto StopWhenDone(run_state& s) -> asio::awaitable<void> {
  co_await SleepUntil(At(s, s.plan.length));
  while (!IsDone(s) && clock::now() < s.end + kCallTime) {
    co_await SleepUntil(clock::now() + kRetryPause);
  }
  s.io.stop();
}

}  // namespace

auto RunLoad(const load_plan& plan) -> outcome<load_figures> {
  run_state s{.plan = plan,
              .start = clock::now(),
              .end = clock::now() + kCallTime,
              .addresses = {},
              .addresses_until = {},
              .figures = {},
              .judges = {}};
  s.figures.workspaces.resize(plan.workspaces.size());
  for (const auto& w : plan.workspaces) {
    s.judges.emplace_back(w.limit_per_s, w.limit_burst);
  }
  bool begun = false;
  asio::co_spawn(asio::make_strand(s.io), Begin(s, begun), LogException);
  while (!begun && s.io.run_one() > 0) {
  }
  if (!begun) {
    return failure{.code = error_code::kUnavailable,
                   .message = "no entry host answers GET /v1/addresses",
                   .step = "ask for addresses",
                   .peer = plan.addresses.front()};
  }
  asio::co_spawn(asio::make_strand(s.io), StopWhenDone(s), AbortOnException);
  s.io.run();
  return std::move(s.figures);
}

}  // namespace dogwood
