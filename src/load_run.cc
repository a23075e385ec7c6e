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
/** Timeout of a call that is not streamed. */
constexpr std::chrono::seconds kCallTimeout{10};
/** Interval at which the progress of a job is polled. */
constexpr std::chrono::milliseconds kProgressInterval{500};
/** Delay before a call is retried at another address. */
constexpr std::chrono::milliseconds kRetryDelay{200};

/** State of a run, used by one thread only. */
struct run_state {
  const load_plan& plan;                    ///< Load to send.
  asio::io_context io{1};                   ///< Runs all coroutines.
  time_point start;                         ///< Time 0 of the plan.
  time_point end;                           ///< Deadline of all requests.
  std::vector<std::string> addresses;       ///< Current entry hosts.
  time_point addresses_valid_until;         ///< When they are queried again.
  load_stats stats;                         ///< Results so far.
  std::vector<rate_checker> rate_checkers;  ///< One per workspace.
  std::size_t next_address = 0;             ///< For round robin.

  /** Returns the time since the start of the run. */
  auto Elapsed() const -> run_time { return clock::now() - start; }
  /** Returns the next entry address in round robin. */
  auto NextAddress() -> std::string {
    return addresses[next_address++ % addresses.size()];
  }
};

/** Suspends the coroutine until a time. */
auto SleepUntil(time_point at) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor, at);
  co_await timer.async_wait(kAwait);
}

/** Converts a time of the run to a time point. */
auto At(const run_state& s, run_time at) -> time_point {
  return s.start + std::chrono::duration_cast<duration>(at);
}

/** Sends one request to `address` and waits for the complete response. */
auto Call(std::string address, http_request request, time_point deadline)
    -> asio::awaitable<outcome<http_response>> {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  co_return co_await Fetch(*endpoint, std::move(request), deadline);
}

/** Builds a JSON request authorized by a caller key. */
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

/** Returns any caller key of the plan, with which addresses are queried; empty
 * if the plan has none. */
auto AnyKey(const load_plan& plan) -> std::string {
  if (!plan.workspaces.empty()) {
    return plan.workspaces.front().key;
  }
  return plan.batches.empty() ? std::string() : plan.batches.front().key;
}

/** Applies a response to GET /v1/addresses. Returns false if it is not valid.
 * The addresses are queried again when they expire, but after kProgressInterval
 * at the earliest and 1 minute at the latest. */
auto ApplyAddresses(run_state& s, const http_response& response) -> bool {
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
  const auto* valid_until = body.get_object().if_contains("keep_until_unix_ms");
  const std::chrono::milliseconds valid_until_unix(
      valid_until != nullptr ? valid_until->to_number<std::int64_t>() : 0);
  const auto remaining =
      valid_until_unix -
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  s.addresses_valid_until =
      clock::now() + std::clamp<std::chrono::milliseconds>(
                         remaining, kProgressInterval, std::chrono::minutes(1));
  return true;
}

/** Queries the known addresses, and then those of the plan, in turn for the
 * current addresses. Returns false if none gave a valid response. */
auto QueryAddresses(run_state& s) -> asio::awaitable<bool> {
  auto known = s.addresses;
  known.insert(known.end(), s.plan.addresses.begin(), s.plan.addresses.end());
  for (const auto& address : known) {
    auto request = KeyedRequest("GET", "/v1/addresses", AnyKey(s.plan), "");
    const auto deadline = clock::now() + std::chrono::seconds(2);
    const auto response = co_await Call(address, std::move(request), deadline);
    if (response && ApplyAddresses(s, *response)) {
      co_return true;
    }
  }
  co_return false;
}

/** Refreshes the addresses before they expire, until the run ends. */
auto RefreshAddresses(run_state& s) -> asio::awaitable<void> {
  while (clock::now() < s.end) {
    co_await SleepUntil(std::min(s.addresses_valid_until, s.end));
    const bool refreshed = co_await QueryAddresses(s);
    if (!refreshed) {
      s.addresses_valid_until = clock::now() + kRetryDelay;
    }
  }
}

/** Records the result of one online request. */
auto RecordResult(workspace_stats& f, const stream_result& r, bool within)
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

/** Sends one online request and records its result. */
auto SendOnline(run_state& s, load_arrival arrival) -> asio::awaitable<void> {
  const auto& w = s.plan.workspaces[arrival.workspace];
  auto& f = s.stats.workspaces[arrival.workspace];
  ++f.sent;
  const bool limited = w.limit_per_s > 0;
  const bool within =
      !limited || s.rate_checkers[arrival.workspace].RecordRequest(arrival.at);
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
  s.stats.send_delay.Add(
      std::chrono::duration<double, std::milli>(clock::now() - request.started)
          .count());
  const auto done = co_await SendStream(std::move(request), f);
  RecordResult(f, done, within);
}

/** Sends each online request at its arrival time, without waiting for earlier
 * responses. */
auto SendArrivals(run_state& s) -> asio::awaitable<void> {
  const auto arrivals = ArrivalsOf(s.plan);
  for (const auto& arrival : arrivals) {
    co_await SleepUntil(At(s, arrival.at));
    asio::co_spawn(asio::make_strand(s.io), SendOnline(s, arrival),
                   LogException);
  }
}

/** Returns a string field of a JSON response; empty if absent. */
auto TextField(const json::value& body, std::string_view name) -> std::string {
  const auto* value =
      body.is_object() ? body.get_object().if_contains(name) : nullptr;
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

/** Returns a number in "request_counts" of a JSON response; 0 if absent. */
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

/** Submits a job to one entry host after the other until one accepts it. The
 * idempotency key stays the same, so that the job is created once. */
auto Submit(run_state& s,
            const load_batch& batch,
            unsigned number,
            std::size_t job_index) -> asio::awaitable<void> {
  const auto body = BatchBody(s.plan, batch, number);
  const auto name = "load-" + std::to_string(s.plan.seed) + "-" +
                    batch.workspace.value + "-" + std::to_string(number);
  while (clock::now() < s.end) {
    auto request = KeyedRequest("POST", "/v1/batches", batch.key, body);
    request.headers.Set("Idempotency-Key", name);
    const auto address = s.NextAddress();
    const auto deadline = clock::now() + kCallTimeout;
    ++s.stats.jobs[job_index].submit_attempts;
    const auto response = co_await Call(address, std::move(request), deadline);
    json::error_code ec;
    if (response && response->status / 100 == 2) {
      const auto parsed = json::parse(response->body, ec);
      s.stats.jobs[job_index].id = TextField(parsed, "id");
      s.stats.jobs[job_index].submitted = s.Elapsed();
      co_return;
    }
    co_await SleepUntil(clock::now() + kRetryDelay);
  }
}

/** Reads the state and progress of a job. Returns whether the job has ended. */
auto ReadProgress(run_state& s, const load_batch& batch, std::size_t job_index)
    -> asio::awaitable<bool> {
  const auto id = s.stats.jobs[job_index].id;
  auto request = KeyedRequest("GET", "/v1/batches/" + id, batch.key, "");
  const auto address = s.NextAddress();
  const auto deadline = clock::now() + kCallTimeout;
  const auto response = co_await Call(address, std::move(request), deadline);
  json::error_code ec;
  if (!response || response->status != 200) {
    co_return false;
  }
  const auto parsed = json::parse(response->body, ec);
  auto& job = s.stats.jobs[job_index];
  job.state = TextField(parsed, "status");
  const auto done =
      CountField(parsed, "completed") + CountField(parsed, "failed");
  job.samples.push_back({s.Elapsed(), done});
  co_return job.state == "completed" || job.state == "cancelled" ||
      job.state == "failed";
}

/** Counts the result lines of a job, and those that repeat a custom_id. */
auto CountResults(run_state& s, const load_batch& batch, std::size_t job_index)
    -> asio::awaitable<void> {
  const auto id = s.stats.jobs[job_index].id;
  auto request =
      KeyedRequest("GET", "/v1/batches/" + id + "/results", batch.key, "");
  const auto address = s.NextAddress();
  const auto deadline = clock::now() + kCallTimeout;
  const auto response = co_await Call(address, std::move(request), deadline);
  if (!response || response->status != 200) {
    co_return;
  }
  std::map<std::string, std::uint64_t> seen;
  std::istringstream lines(response->body);
  auto& job = s.stats.jobs[job_index];
  for (std::string line; std::getline(lines, line);) {
    json::error_code ec;
    const auto value = json::parse(line, ec);
    if (!ec) {
      ++job.result_lines;
      job.duplicate_lines += ++seen[TextField(value, "custom_id")] > 1 ? 1 : 0;
    }
  }
}

/** Submits one job and polls it until it ends or the run does. */
auto RunJob(run_state& s,
            const load_batch& batch,
            unsigned number,
            std::size_t job_index) -> asio::awaitable<void> {
  co_await SleepUntil(At(s, batch.start));
  co_await Submit(s, batch, number, job_index);
  bool ended = s.stats.jobs[job_index].id.empty();
  while (!ended && clock::now() < s.end) {
    ended = co_await ReadProgress(s, batch, job_index);
    if (!ended) {
      co_await SleepUntil(clock::now() + kProgressInterval);
    }
  }
  s.stats.jobs[job_index].finished = s.Elapsed();
  co_await CountResults(s, batch, job_index);
}

/** Starts a coroutine for each job. */
auto StartJobs(run_state& s) -> void {
  for (const auto& batch : s.plan.batches) {
    for (unsigned i = 0; i < batch.jobs; ++i) {
      s.stats.jobs.emplace_back();
      s.stats.jobs.back().items = batch.items;
    }
  }
  std::size_t job_index = 0;
  for (const auto& batch : s.plan.batches) {
    for (unsigned i = 0; i < batch.jobs; ++i) {
      asio::co_spawn(asio::make_strand(s.io), RunJob(s, batch, i, job_index++),
                     LogException);
    }
  }
}

/** Starts the load once the entry addresses are known. `is_started` is false if
 * they could not be queried. */
auto StartRun(run_state& s, bool& is_started) -> asio::awaitable<void> {
  is_started = co_await QueryAddresses(s);
  if (!is_started) {
    co_return;
  }
  s.start = clock::now();
  s.end = At(s, s.plan.length + s.plan.settle);
  StartJobs(s);
  asio::co_spawn(asio::make_strand(s.io), SendArrivals(s), LogException);
  asio::co_spawn(asio::make_strand(s.io), RefreshAddresses(s), LogException);
}

/** Returns whether every request and job has ended. */
auto IsRunComplete(const run_state& s) -> bool {
  for (const auto& f : s.stats.workspaces) {
    std::uint64_t refused = 0;
    for (const auto& [reason, count] : f.refused) {
      refused += count;
    }
    if (f.completed + f.broken + f.wrong + refused < f.sent) {
      return false;
    }
  }
  return std::all_of(
      s.stats.jobs.begin(), s.stats.jobs.end(),
      [](const job_stats& job) { return job.finished.count() > 0; });
}

/** Stops the run when all requests and jobs have ended, at the latest
 * kCallTimeout after its end. */
auto StopWhenDone(run_state& s) -> asio::awaitable<void> {
  co_await SleepUntil(At(s, s.plan.length));
  while (!IsRunComplete(s) && clock::now() < s.end + kCallTimeout) {
    co_await SleepUntil(clock::now() + kRetryDelay);
  }
  s.io.stop();
}

}  // namespace

auto RunLoad(const load_plan& plan) -> outcome<load_stats> {
  run_state s{.plan = plan,
              .start = clock::now(),
              .end = clock::now() + kCallTimeout,
              .addresses = {},
              .addresses_valid_until = {},
              .stats = {},
              .rate_checkers = {}};
  s.stats.workspaces.resize(plan.workspaces.size());
  for (const auto& w : plan.workspaces) {
    s.rate_checkers.emplace_back(w.limit_per_s, w.limit_burst);
  }
  bool is_started = false;
  asio::co_spawn(asio::make_strand(s.io), StartRun(s, is_started),
                 LogException);
  while (!is_started && s.io.run_one() > 0) {
  }
  if (!is_started) {
    return failure{.code = error_code::kUnavailable,
                   .message = "no entry host responded to GET /v1/addresses",
                   .step = "ask for addresses",
                   .peer = plan.addresses.front()};
  }
  asio::co_spawn(asio::make_strand(s.io), StopWhenDone(s), AbortOnException);
  s.io.run();
  return std::move(s.stats);
}

}  // namespace dogwood
