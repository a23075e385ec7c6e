/** In-memory stand-in for the platform: log, host list and model weights. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <cxxopts.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <set>

#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Maximum size of the body of an append. */
constexpr std::size_t kMaxAppendBytes = 1UL << 20;
/** A read returns no further records after this many bytes. */
constexpr std::size_t kMaxReadBytes = 4UL << 20;
/** Upper limit of wait_ms; larger values are clamped. */
constexpr std::uint64_t kMaxWaitMs = 60000;

/** Token bucket for calls; its capacity is the rate of one second. */
class rate_limiter {
 public:
  explicit rate_limiter(double per_s) : per_s_(per_s), tokens_(per_s) {}

  /** Consumes a token; returns false if none is available. */
  auto TryConsume(time_point now) -> bool {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    tokens_ = std::min(per_s_, tokens_ + elapsed.count() * per_s_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double per_s_;
  double tokens_;
  time_point refilled_at_ = clock::now();
};

/** One record with the time from which retention by age counts. */
struct retained_record {
  std::string text;
  time_point appended;
};

/** Records and waiting reads of one stream. */
struct stream_state {
  std::uint64_t first = 0;  ///< Offset of the oldest retained record.
  std::deque<retained_record> records;    ///< Retained, starting at `first`.
  std::set<asio::steady_timer*> waiters;  ///< Reads that wait for a record.

  /** Returns the offset of the next record. */
  auto Next() const -> std::uint64_t { return first + records.size(); }
};

/** A change of the host list that is not visible yet. */
struct pending_host {
  time_point visible;  ///< When it becomes visible.
  std::string id;      ///< Id of the row.
  json::object row;    ///< New row; empty: the row is removed.
};

/** Options of the command line. */
struct platform_options {
  double appends_per_s = 400;           ///< Append rate over all streams.
  double weights_per_s = 2;             ///< Rate of reads of weights.
  std::size_t weights_bytes = 0;        ///< Size of a model's weights.
  std::size_t retain_records = 0;       ///< Retained per stream; 0: unlimited.
  std::chrono::milliseconds retain{0};  ///< Retention by age; 0: unlimited.
  std::chrono::milliseconds host_lag{0};  ///< Delay of host list changes.
};

/** Complete state of the stand-in. */
struct platform_state {
  explicit platform_state(const platform_options& o)
      : options(o), appends(o.appends_per_s), weights(o.weights_per_s) {}
  platform_options options;
  rate_limiter appends;  ///< Limits appends.
  rate_limiter weights;  ///< Limits reads of weights.
  fault_state faults;
  std::map<std::string, stream_state> streams;    ///< By name.
  std::map<std::string, json::object> hosts;      ///< Visible rows by id.
  std::deque<pending_host> pending_hosts;         ///< In order of visibility.
  std::map<std::string, std::uint64_t> counters;  ///< For GET /stats.
};

/** Drops the records beyond the retention limits. */
auto Trim(const platform_state& s, stream_state& stream) -> void {
  const auto oldest = clock::now() - s.options.retain;
  while (!stream.records.empty()) {
    const bool too_many = s.options.retain_records > 0 &&
                          stream.records.size() > s.options.retain_records;
    const bool too_old = s.options.retain.count() > 0 &&
                         stream.records.front().appended < oldest;
    if (!too_many && !too_old) {
      return;
    }
    stream.records.pop_front();
    ++stream.first;
  }
}

/** Wakes the reads that wait for records of a stream. */
auto WakeReaders(stream_state& stream) -> void {
  for (auto* timer : stream.waiters) {
    timer->cancel();
  }
}

/** Appends records; returns {"first","next"}. */
auto AppendRecords(platform_state& s,
                   stream_state& stream,
                   const json::array& records) -> json::object {
  const auto first = stream.Next();
  for (const auto& record : records) {
    const auto& text = record.get_string();
    stream.records.push_back({std::string(text), clock::now()});
    s.counters["append_bytes"] += text.size();
  }
  s.counters["records"] += records.size();
  ++s.counters["appends"];
  const auto next = stream.Next();
  Trim(s, stream);
  WakeReaders(stream);
  return {{"first", first}, {"next", next}};
}

/** Parses the records of an append. Fails with kBadRequest unless they are a
 * non-empty list of strings. */
auto ParseRecords(const http_request& request) -> outcome<json::array> {
  auto body = ParseBody(request);
  if (!body) {
    return body.error();
  }
  const auto* records = body->if_contains("records");
  bool valid = records != nullptr && records->is_array() &&
               !records->get_array().empty();
  if (valid) {
    for (const auto& record : records->get_array()) {
      valid = valid && record.is_string();
    }
  }
  if (!valid) {
    return failure{.code = error_code::kBadRequest,
                   .message = "records must be a list of strings",
                   .step = "append",
                   .peer = request.peer};
  }
  return records->get_array();
}

/** POST /v1/streams/{stream}/append. */
auto Append(platform_state& s, std::string name, http_exchange& exchange)
    -> asio::awaitable<void> {
  if (exchange.Request().body.size() > kMaxAppendBytes) {
    co_await RespondError(exchange, error_code::kTooLarge,
                          "an append holds at most 1 MiB");
    co_return;
  }
  auto records = ParseRecords(exchange.Request());
  if (!records) {
    co_await RespondError(exchange, records.error().code,
                          records.error().message);
    co_return;
  }
  if (!s.appends.TryConsume(clock::now())) {
    ++s.counters["appends_refused"];
    co_await RespondError(exchange, error_code::kTooManyRequests,
                          "over the append rate", 1);
    co_return;
  }
  const auto answer = AppendRecords(s, s.streams[name], *records);
  if (ShouldDropResponse(s.faults)) {
    ++s.counters["answers_lost"];
    co_return;
  }
  co_await RespondJson(exchange, 200, answer);
}

/** Returns the response to a read of at most `limit` records from `from` on.
 */
auto ReadPage(const stream_state& stream,
              std::uint64_t from,
              std::uint64_t limit) -> json::object {
  json::array records;
  std::size_t bytes = 0;
  for (auto at = from;
       at < stream.Next() && records.size() < limit && bytes < kMaxReadBytes;
       ++at) {
    const auto& text = stream.records[at - stream.first].text;
    bytes += text.size();
    records.emplace_back(text);
  }
  return {{"first", stream.first},
          {"from", from},
          {"next", stream.Next()},
          {"records", std::move(records)}};
}

/** Waits until the stream has a record at `from`, `deadline` passes, an outage
 * is set or the caller disconnects. */
auto WaitForRecord(platform_state& s,
                   std::string name,
                   std::uint64_t from,
                   time_point deadline,
                   http_exchange& exchange) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (s.streams[name].Next() <= from && clock::now() < deadline &&
         !s.faults.outage && !exchange.IsCallerDisconnected()) {
    timer.expires_at(
        std::min(deadline, clock::now() + std::chrono::seconds(1)));
    s.streams[name].waiters.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    s.streams[name].waiters.erase(&timer);
  }
}

/** GET /v1/streams/{stream}/records. */
auto ReadRecords(platform_state& s, std::string name, http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const auto from = QueryNumber(request, "from", 0);
  const auto limit = QueryNumber(request, "limit", 1000);
  const auto wait = std::min(QueryNumber(request, "wait_ms", 0), kMaxWaitMs);
  ++s.counters["reads"];
  if (wait > 0 && limit > 0) {
    const auto deadline = clock::now() + std::chrono::milliseconds(wait);
    co_await WaitForRecord(s, name, from, deadline, exchange);
  }
  if (s.faults.outage) {
    co_await RespondError(exchange, error_code::kUnavailable, "fault: outage");
    co_return;
  }
  auto& stream = s.streams[name];
  Trim(s, stream);
  if (from < stream.first) {
    const json::object bounds{{"first", stream.first}, {"next", stream.Next()}};
    co_await RespondJson(exchange, 410, bounds);
    co_return;
  }
  const auto page = ReadPage(stream, from, limit);
  co_await RespondJson(exchange, 200, page);
}

/** Applies the host list changes whose delay has passed. */
auto ApplyDueHostChanges(platform_state& s) -> void {
  while (!s.pending_hosts.empty() &&
         s.pending_hosts.front().visible <= clock::now()) {
    auto& change = s.pending_hosts.front();
    if (change.row.empty()) {
      s.hosts.erase(change.id);
    } else {
      s.hosts[change.id] = std::move(change.row);
    }
    s.pending_hosts.pop_front();
  }
}

/** GET /v1/hosts. */
auto ListHosts(platform_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  ++s.counters["host_reads"];
  ApplyDueHostChanges(s);
  json::array rows;
  for (const auto& [id, row] : s.hosts) {
    rows.emplace_back(row);
  }
  const json::object answer{{"hosts", std::move(rows)}};
  co_await RespondJson(exchange, 200, answer);
}

/** PUT and DELETE /hosts/{id}. */
auto ChangeHost(platform_state& s, std::string id, http_exchange& exchange)
    -> asio::awaitable<void> {
  auto row = ParseBody(exchange.Request());
  if (!row) {
    co_await RespondError(exchange, row.error().code, row.error().message);
    co_return;
  }
  const bool removes = exchange.Request().method == "DELETE";
  if (removes) {
    row->clear();
  } else {
    row->insert_or_assign("id", id);
  }
  s.pending_hosts.push_back(
      {clock::now() + s.options.host_lag, id, std::move(*row)});
  const json::object answer{{"id", id}};
  co_await RespondJson(exchange, 200, answer);
}

/** GET /v1/weights/{model}. */
auto ReadWeights(platform_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  if (!s.weights.TryConsume(clock::now())) {
    ++s.counters["weights_refused"];
    co_await RespondError(exchange, error_code::kTooManyRequests,
                          "over the rate of the weight store", 1);
    co_return;
  }
  ++s.counters["weights_reads"];
  http_response response;
  response.headers.Set("Content-Type", "application/octet-stream");
  response.body.assign(s.options.weights_bytes, 'w');
  co_await exchange.Respond(std::move(response));
}

/** POST /fault. */
auto SetFaults(platform_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  auto body = ParseBody(exchange.Request());
  const auto set = body ? ApplyFault(s.faults, *body) : body.error();
  if (!set) {
    co_await RespondError(exchange, set.error().code, set.error().message);
    co_return;
  }
  for (auto& [name, stream] : s.streams) {
    WakeReaders(stream);
  }
  const json::object answer{{"outage", s.faults.outage}};
  co_await RespondJson(exchange, 200, answer);
}

/** GET /stats. */
auto ShowStats(platform_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  json::object answer;
  for (const auto& [name, count] : s.counters) {
    answer[name] = count;
  }
  json::object streams;
  for (const auto& [name, stream] : s.streams) {
    streams[name] = {{"first", stream.first}, {"next", stream.Next()}};
  }
  answer["streams"] = std::move(streams);
  co_await RespondJson(exchange, 200, answer);
}

/** Handles a call of the platform API. */
auto HandleApiRequest(platform_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  constexpr std::string_view kStreams = "/v1/streams/";
  const auto& request = exchange.Request();
  auto path = request.Path();
  if (path == "/v1/hosts" && request.method == "GET") {
    co_await ListHosts(s, exchange);
    co_return;
  }
  if (path.starts_with("/v1/weights/") && request.method == "GET") {
    co_await ReadWeights(s, exchange);
    co_return;
  }
  if (path.starts_with(kStreams)) {
    path.remove_prefix(kStreams.size());
    std::string name(path.substr(0, path.find('/')));
    if (path == name + "/append" && request.method == "POST") {
      co_await Append(s, std::move(name), exchange);
      co_return;
    }
    if (path == name + "/records" && request.method == "GET") {
      co_await ReadRecords(s, std::move(name), exchange);
      co_return;
    }
  }
  co_await RespondError(exchange, error_code::kNotFound, "no such call");
}

/** Handles one request. The calls for tests come first, so that faults do not
 * affect them. */
auto Handle(platform_state& s, http_exchange& exchange)
    -> asio::awaitable<void> {
  constexpr std::string_view kHosts = "/hosts/";
  const auto& request = exchange.Request();
  const auto path = request.Path();
  if (path == "/fault" && request.method == "POST") {
    co_await SetFaults(s, exchange);
    co_return;
  }
  if (path == "/stats" && request.method == "GET") {
    co_await ShowStats(s, exchange);
    co_return;
  }
  if (path.starts_with(kHosts)) {
    std::string id(path.substr(kHosts.size()));
    co_await ChangeHost(s, std::move(id), exchange);
    co_return;
  }
  const auto executor = co_await asio::this_coro::executor;
  if (ShouldStaySilent(s.faults, request, executor)) {
    co_await WaitUntilDisconnected(exchange);
    co_return;
  }
  if (s.faults.delay_ms > 0) {
    co_await Sleep(std::chrono::milliseconds(s.faults.delay_ms));
  }
  if (s.faults.outage || ShouldRefuse(s.faults)) {
    ++s.counters["refused_in_outage"];
    co_await RespondError(exchange, error_code::kUnavailable, "fault: outage");
    co_return;
  }
  co_await HandleApiRequest(s, exchange);
}

/** Loads the initial host list {"hosts":[...]} from a file. */
auto LoadHosts(platform_state& s, const std::string& path) -> void {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto rows = json::parse(text);
  for (const auto& row : rows.at("hosts").as_array()) {
    s.hosts[std::string(row.at("id").as_string())] = row.as_object();
  }
}

/** Parses the command line and runs the server. Returns the exit code. */
auto Run(int argc, char** argv) -> int {
  cxxopts::Options options("fake_platform", "Stand-in for the platform.");
  auto add = options.add_options();
  add("port", "port on 127.0.0.1", cxxopts::value<std::uint16_t>());
  add("appends-per-s", "append rate over all streams",
      cxxopts::value<double>()->default_value("400"));
  add("weights-per-s", "reads of weights per second",
      cxxopts::value<double>()->default_value("2"));
  add("weights-bytes", "size of a model's weights",
      cxxopts::value<std::size_t>()->default_value("1048576"));
  add("retain-records", "records retained per stream, 0 for no limit",
      cxxopts::value<std::size_t>()->default_value("0"));
  add("retain-ms", "retention of records by age, 0 for no limit",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("host-lag-ms", "delay of host list changes",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("hosts", "file with {\"hosts\":[...]}", cxxopts::value<std::string>());
  add("help", "this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0 || arguments.count("port") == 0) {
    std::cout << options.help();
    return arguments.count("help") != 0 ? 0 : 2;
  }
  platform_options o;
  o.appends_per_s = arguments["appends-per-s"].as<double>();
  o.weights_per_s = arguments["weights-per-s"].as<double>();
  o.weights_bytes = arguments["weights-bytes"].as<std::size_t>();
  o.retain_records = arguments["retain-records"].as<std::size_t>();
  o.retain =
      std::chrono::milliseconds(arguments["retain-ms"].as<std::int64_t>());
  o.host_lag =
      std::chrono::milliseconds(arguments["host-lag-ms"].as<std::int64_t>());
  platform_state s(o);
  if (arguments.count("hosts") != 0) {
    LoadHosts(s, arguments["hosts"].as<std::string>());
  }
  asio::io_context io(1);
  return RunServer(
      io, "fake_platform", arguments["port"].as<std::uint16_t>(),
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
