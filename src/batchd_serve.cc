#include "src/batchd_serve.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <utility>

#include "src/batchd_job.h"
#include "src/batchd_watch.h"
#include "src/core.h"
#include "src/http.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::string_view kBatches = "/v1/batches";
constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kLinesType = "application/jsonl";
/** Parameter that limits a list to one owner's partitions. */
constexpr std::string_view kOwnedOnly = "/v1/batches?owned";
/** Bytes of a key that the daemon makes for a submission without one. */
constexpr std::size_t kKeyBytes = 16;
constexpr std::size_t kMostKeyBytes = 256;
/** A forwarded call may take the owner's own limit and this. */
constexpr std::chrono::milliseconds kForwardMargin{500};

/** An answer of a batch request. */
auto Reply(unsigned status, std::string_view type, std::string body)
    -> wire_message {
  wire::http_replyT reply;
  reply.status = status;
  reply.content_type = type;
  reply.body = std::move(body);
  return MakeMessage(std::move(reply));
}

/** A refusal of a batch request. */
auto Refusal(batchd& d, const failure& error) -> wire_message {
  ++d.metrics.refusals;
  return Reply(HttpStatusOf(error.code), kJsonType,
               json::serialize(ToJson(error)));
}

/** The body, or the refusal. */
auto ReplyOf(batchd& d, const outcome<std::string>& body, std::string_view type)
    -> wire_message {
  return body ? Reply(200, type, body.value()) : Refusal(d, body.error());
}

/** Refusal of a path or method that does not exist. */
auto NoSuchPath(const std::string& path) -> failure {
  return NotRunFailure(error_code::kNotFound, "there is no " + path,
                       "find path");
}

/** What a link's failure says about a call that may not be repeated freely. A
 * link that breaks after the call was sent leaves open whether it ran. */
auto ForwardFailure(failure error, const wire::http_callT& call) -> failure {
  const bool not_sent = error.step == "connect" || error.step == "handshake";
  error.code = error_code::kUnavailable;
  error.ran =
      not_sent || call.method == "GET" ? ran_state::kNo : ran_state::kMaybe;
  error.message = "the owner of the batch cannot be reached: " + error.message;
  return error;
}

/** Passes a call on to a partition's owner. */
auto Forward(batchd& d, partition_id partition, wire::http_callT call)
    -> asio::awaitable<wire_message> {
  const auto owner = d.replica.OwnerHost(owned_kind::kPartition,
                                         std::to_string(partition.value));
  const bool is_self = owner && owner->host == d.settings.host;
  auto link = owner && !is_self ? d.peers.Get(owner->batch_link) : nullptr;
  if (call.forwarded || !link) {
    const auto error = NotRunFailure(
        error_code::kUnavailable,
        is_self ? "this host is about to own partition " +
                      std::to_string(partition.value) + "; try again"
                : "no owner of the batch's partition can be reached",
        "find owner");
    co_return Refusal(d, error);
  }
  call.forwarded = true;
  auto message = MakeMessage(wire::http_callT(call));
  const auto deadline =
      clock::now() + d.settings.submit_timeout + kForwardMargin;
  auto reply = co_await link->Call(std::move(message), deadline);
  if (!reply) {
    co_return Refusal(d, ForwardFailure(reply.error(), call));
  }
  co_return std::move(reply.value());
}

/** Whether a key consists of printable ASCII and is not too long. */
auto IsPrintable(const std::string& key) -> bool {
  return key.size() <= kMostKeyBytes &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

/** POST /v1/batches. */
auto Submit(batchd& d, wire::http_callT call) -> asio::awaitable<wire_message> {
  if (call.body.size() > d.settings.body_bytes) {
    const auto error =
        NotRunFailure(error_code::kTooLarge,
                      "the batch is longer than " +
                          std::to_string(d.settings.body_bytes) + " bytes",
                      "read batch");
    co_return Refusal(d, error);
  }
  if (call.idempotency_key.empty()) {
    call.idempotency_key = ToHex(RandomBytes(kKeyBytes));
  }
  if (!IsPrintable(call.idempotency_key)) {
    const auto error = NotRunFailure(error_code::kBadRequest,
                                     "Idempotency-Key must be at most " +
                                         std::to_string(kMostKeyBytes) +
                                         " printable ASCII characters",
                                     "read batch");
    co_return Refusal(d, error);
  }
  const workspace_id workspace(call.workspace);
  const auto partition =
      PartitionOf(workspace, call.idempotency_key, d.settings.partitions);
  if (!d.Owns(partition, clock::now())) {
    co_return co_await Forward(d, partition, std::move(call));
  }
  auto items =
      ToOutcome([&] { return ParseItems(call.body, d.settings.limits); });
  if (!items) {
    co_return Refusal(d, items.error());
  }
  job_submission submission;
  submission.workspace = workspace;
  submission.key = call.idempotency_key;
  submission.digest = Sha256Hex(call.body);
  submission.items = std::move(items.value());
  auto body = co_await SubmitJob(d, partition, std::move(submission));
  co_return ReplyOf(d, body, kJsonType);
}

/** Status JSON of the jobs in the partitions that this host owns, and these
 * partitions' numbers. */
auto ListOwned(batchd& d, const workspace_id& workspace) -> json::object {
  json::array data;
  json::array partitions;
  for (const auto& slot : d.partitions) {
    const auto partition = slot->partition();
    if (!d.Owns(partition, clock::now())) {
      continue;
    }
    if (auto jobs = ListJobs(d, partition, workspace)) {
      partitions.push_back(partition.value);
      for (auto& job : jobs.value()) {
        data.push_back(std::move(job));
      }
    }
  }
  return json::object{{"object", "list"},
                      {"data", std::move(data)},
                      {"partitions", std::move(partitions)}};
}

/** Adds one host's list; notes its partitions. */
auto Merge(json::object& list,
           std::set<std::uint64_t>& covered,
           const json::value& part) -> void {
  const auto* object = part.if_object();
  const auto* data = object != nullptr ? object->if_contains("data") : nullptr;
  const auto* numbers =
      object != nullptr ? object->if_contains("partitions") : nullptr;
  if (data == nullptr || numbers == nullptr || !data->is_array() ||
      !numbers->is_array()) {
    return;
  }
  for (const auto& number : numbers->get_array()) {
    json::error_code ec;
    covered.insert(number.to_number<std::uint64_t>(ec));
  }
  auto& all = list["data"].as_array();
  for (const auto& job : data->get_array()) {
    all.push_back(job);
  }
}

/** GET /v1/batches: of all partitions, or nothing. */
auto List(batchd& d, wire::http_callT call) -> asio::awaitable<wire_message> {
  const workspace_id workspace(call.workspace);
  if (call.forwarded) {
    co_return Reply(200, kJsonType, json::serialize(ListOwned(d, workspace)));
  }
  json::object list{{"object", "list"}, {"data", json::array()}};
  std::set<std::uint64_t> covered;
  Merge(list, covered, json::value(ListOwned(d, workspace)));
  call.path = kOwnedOnly;
  std::set<std::string> asked;
  for (std::uint32_t p = 0; p < d.settings.partitions; ++p) {
    const auto owner =
        d.replica.OwnerHost(owned_kind::kPartition, std::to_string(p));
    if (covered.contains(p) || !owner ||
        !asked.insert(owner->batch_link).second) {
      continue;
    }
    auto reply = co_await Forward(d, partition_id(p), call);
    const auto* http = reply.Ashttp_reply();
    json::error_code ec;
    const auto part = json::parse(http != nullptr ? http->body : "", ec);
    if (!ec) {
      Merge(list, covered, part);
    }
  }
  if (covered.size() < d.settings.partitions) {
    const auto error = NotRunFailure(
        error_code::kUnavailable, "not every partition's owner can be reached",
        "list batches");
    co_return Refusal(d, error);
  }
  co_return Reply(200, kJsonType, json::serialize(list));
}

/** Value of ?from=; nothing if it is absent or no number. */
auto FirstItemOf(const std::string& path) -> std::optional<std::uint64_t> {
  http_request request;
  request.target = path;
  const auto text = request.Query("from");
  std::uint64_t number = 0;
  if (!text) {
    return std::nullopt;
  }
  const auto* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number)
                                                       : std::nullopt;
}

/** Requests on one job: status, cancel, results. */
auto OnJob(batchd& d, wire::http_callT call) -> asio::awaitable<wire_message> {
  const workspace_id workspace(call.workspace);
  const auto path = std::string_view(call.path).substr(0, call.path.find('?'));
  const auto rest = path.substr(kBatches.size() + 1);
  const auto slash = rest.find('/');
  const auto job = ParseJobId(rest.substr(0, slash));
  const std::string action(
      slash == std::string_view::npos ? "" : rest.substr(slash + 1));
  if (!job || job->partition.value >= d.settings.partitions) {
    co_return Refusal(d, NotRunFailure(error_code::kNotFound,
                                       "there is no such batch", "find batch"));
  }
  if (!d.Owns(job->partition, clock::now())) {
    const auto partition = job->partition;
    co_return co_await Forward(d, partition, std::move(call));
  }
  if (call.method == "POST" && action == "cancel") {
    auto body = co_await CancelJob(d, *job, workspace);
    co_return ReplyOf(d, body, kJsonType);
  }
  if (call.method == "GET" && action.empty()) {
    co_return ReplyOf(d, ReadJob(d, *job, workspace), kJsonType);
  }
  if (call.method == "GET" && action == "results") {
    const auto first = FirstItemOf(call.path);
    const auto body = ReadResults(d, *job, workspace, first);
    co_return ReplyOf(d, body, kLinesType);
  }
  co_return Refusal(d, NoSuchPath(call.method + " " + std::string(path)));
}

/** Requests of callers, of other hosts' batchd and of owners. */
auto ServeHttp(batchd& d, const link_peer& peer, wire::http_callT call)
    -> asio::awaitable<wire_message> {
  const bool is_batchd = peer.daemon == "batchd";
  if (call.path == "/internal/run" && is_batchd) {
    auto ask = ParseRunAsk(call.body);
    if (!ask) {
      const auto error =
          NotRunFailure(error_code::kBadRequest, "malformed ask", "read ask");
      co_return Refusal(d, error);
    }
    const auto answer = co_await RunItem(d, std::move(*ask));
    co_return Reply(200, kJsonType, ToJson(answer));
  }
  if (call.path == "/internal/abort" && is_batchd) {
    d.runs.Abort(call.body);
    co_return Reply(200, kJsonType, "{}");
  }
  const auto path = std::string_view(call.path).substr(0, call.path.find('?'));
  if (path == kBatches && call.method == "POST") {
    co_return co_await Submit(d, std::move(call));
  }
  if (path == kBatches && call.method == "GET") {
    co_return co_await List(d, std::move(call));
  }
  if (path.starts_with(std::string(kBatches) + "/")) {
    co_return co_await OnJob(d, std::move(call));
  }
  const auto error = NoSuchPath(call.method + " " + std::string(path));
  co_return Refusal(d, error);
}

}  // namespace

auto ServeLink(batchd& d, link_peer peer, wire_message message)
    -> asio::awaitable<outcome<wire_message>> {
  if (const auto* load = message.Asonline_load()) {
    TakeOnlineLoad(d, *load);
    co_return MakeMessage(wire::doneT());
  }
  if (auto* call = message.Ashttp_call()) {
    auto reply = co_await ServeHttp(d, peer, std::move(*call));
    co_return reply;
  }
  failure error =
      NotRunFailure(error_code::kBadRequest,
                    "this daemon does not answer such calls", "serve link");
  error.peer = peer.Name();
  co_return error;
}

}  // namespace dogwood
