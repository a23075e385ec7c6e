/** Callers' requests on batch jobs: routing to the owner of the job's
 * partition, and handling by the owner. */
#include "src/hostd_batch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/wall_clock.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Longest wait of a call for a partition to be read after a takeover. */
constexpr milliseconds kLoadTimeout{1500};
/** Maximum bytes of results in one answer (the platform's pages, "Batch jobs").
 */
constexpr std::size_t kAnswerBytes = 900UL << 10;
/** Total timeout of a caller's submission. */
constexpr milliseconds kSubmitTimeout{3500};
/** Longest wait for a result, and the extra time that the owner has to answer
 * beyond the requested wait. */
constexpr milliseconds kReadTimeout{1200};
/** Time after which a submission is also sent to substitutes of an owner that
 * has not answered. A fifth of a second is twice what an owner in another
 * region needs, and leaves time within the objective of half a second. */
constexpr milliseconds kOwnerTimeout{200};
/** Timeout of one substitute that accepts a job in place of the owner. */
constexpr milliseconds kSubstituteTimeout{1200};
/** Maximum number of substitutes, including this host. */
constexpr std::size_t kMaxSubstitutes = 3;
/** An accepted job counts for this long at the host that has accepted it,
 * unless its partition's log shows it before: a host that accepts in place of
 * the owner does not see that log. */
constexpr std::chrono::seconds kAcceptedTokensTtl{5};
/** Longest time until a call is answered: the link to the owner waits
 * kReadTimeout longer than the owner. */
constexpr milliseconds kLongestRead = 2 * kReadTimeout;
constexpr milliseconds kLongestChange = kSubmitTimeout + kReadTimeout;
/** Retry-After for callers while the owner of the job cannot serve them. */
constexpr milliseconds kOwnerRetryAfter{300};

/** Returns the failure of a call, which may have taken effect only if its time
 * is over. */
auto CallFailure(error_code code, std::string message) -> failure {
  return {.code = code,
          .message = std::move(message),
          .ran = code == error_code::kDeadlineExceeded ? ran_state::kMaybe
                                                       : ran_state::kNo,
          .step = "answer batch call",
          .peer = ""};
}

/** Whether a caller may read and end a job. A job of an open route belongs to
 * no workspace; whoever knows its name has access. */
auto HasAccess(const wire::batch_callT& call, const batch_submission& job)
    -> bool {
  const auto& workspace = job.workspace.value;
  return workspace.empty() || (!call.lacks_key && workspace == call.workspace);
}

/** Returns an answer that reports a failure. */
auto FailureAnswer(error_code code, std::string message) -> http_response {
  return FailureResponse(CallFailure(code, std::move(message)));
}

}  // namespace

auto batch_service::AwaitSettled(partition_ptr partition,
                                 std::shared_ptr<pending_record> record,
                                 time_point deadline) -> asio::awaitable<bool> {
  while (!record->is_settled && !record->refusal && partition->is_owned &&
         clock::now() < deadline) {
    co_await partition->changed.Wait(deadline);
  }
  co_return record->is_settled;
}

auto batch_service::AwaitLoaded(partition_ptr partition, time_point deadline)
    -> asio::awaitable<bool> {
  while (partition->is_owned && !partition->is_loaded &&
         clock::now() < deadline) {
    co_await partition->changed.Wait(deadline);
  }
  co_return partition->is_owned && partition->is_loaded;
}

auto batch_service::Answer(const wire::batch_callT& call)
    -> asio::awaitable<http_response> {
  const partition_id id(call.partition);
  const auto kind = static_cast<batch_call_kind>(call.call);
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  std::optional<batch_submission> submission;
  if (kind == batch_call_kind::kSubmit ||
      kind == batch_call_kind::kSubmitForOwner) {
    auto decoded = DecodeSubmission(call.body);
    if (!decoded) {
      co_return FailureAnswer(error_code::kBadRequest, decoded.error().message);
    }
    submission = std::move(decoded.value());
  }
  if (kind == batch_call_kind::kSubmitForOwner) {
    co_return co_await SubmitForOwner(id, *submission, deadline);
  }
  const auto found = partitions_.find(id);
  if (found == partitions_.end()) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "this host does not own the job's partition");
  }
  auto partition = found->second;
  const bool is_loaded =
      co_await AwaitLoaded(partition, clock::now() + kLoadTimeout);
  if (!is_loaded) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the job's partition is being read");
  }
  if (kind == batch_call_kind::kSubmit) {
    co_return co_await Submit(id, partition, *submission, deadline);
  }
  const bool is_current = co_await EnsureCurrent(id, partition, call);
  if (!is_current) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the store does not tell whether the job exists");
  }
  const auto* job = partition->projection.Find(batch_id(call.job));
  if (job == nullptr || !HasAccess(call, job->submission)) {
    co_return call.lacks_key
        ? FailureAnswer(error_code::kUnauthorized, "unknown key")
        : FailureAnswer(error_code::kNotFound, "no such batch job");
  }
  if (kind == batch_call_kind::kEnd) {
    co_return co_await End(id, partition, call);
  }
  if (kind == batch_call_kind::kResults) {
    co_return co_await Results(partition, call);
  }
  const auto* item = job->FindItem(batch_item_id(call.item));
  if (item == nullptr || job->ended || job->listed.contains(item->id)) {
    co_return FailureAnswer(error_code::kNotFound, "no such open item");
  }
  co_return http_response{
      .status = 200,
      .headers = {{{"Content-Type", "application/octet-stream"}}},
      .body = item->body};
}

auto batch_service::EnsureCurrent(partition_id id,
                                  partition_ptr partition,
                                  const wire::batch_callT& call)
    -> asio::awaitable<bool> {
  const auto* job = partition->projection.Find(batch_id(call.job));
  const bool is_known = job != nullptr && call.position <= job->results.size();
  const bool has_access = job != nullptr && HasAccess(call, job->submission);
  if (is_known || (call.skips_store && !has_access)) {
    co_return true;
  }
  // This host may have lost the partition without knowing it yet.
  const bool is_current = co_await CatchUp(id, partition);
  co_return is_current;
}

auto batch_service::WaitingReport() const -> waiting_report {
  waiting_report report{.rows = {}, .last_grant = last_grant_};
  std::map<batch_quota_key, std::uint64_t> rows;
  for (const auto& [id, partition] : partitions_) {
    for (const auto& [job_id, job] : partition->projection.Jobs()) {
      const auto* route =
          job.IsClosed() ? nullptr : KnownRouteOf(job.submission);
      if (route != nullptr && route->waiting_tokens_limit > 0) {
        rows[{job.submission.workspace, route->id}] += job.OpenTokens();
      }
    }
  }
  const auto now = clock::now();
  for (const auto& [job, accepted] : accepting_) {
    if (now < accepted.counted_until) {
      rows[accepted.row.key] += accepted.row.tokens;
    }
  }
  for (const auto& [key, tokens] : rows) {
    report.rows.push_back({key, tokens});
  }
  return report;
}

auto batch_service::AwaitRoute(const batch_submission& submission,
                               time_point deadline) -> asio::awaitable<void> {
  while (IsBehind(submission) && KnownRouteOf(submission) == nullptr &&
         clock::now() < deadline) {
    co_await host_.feed_changed.Wait(deadline);
  }
}

auto batch_service::ReserveRoom(const batch_submission& submission)
    -> asio::awaitable<bool> {
  const auto* route = KnownRouteOf(submission);
  if (route == nullptr || route->waiting_tokens_limit == 0) {
    co_return true;
  }
  const batch_quota_key key{submission.workspace, route->id};
  const auto limit = route->waiting_tokens_limit;
  std::uint64_t tokens = 0;
  for (const auto& item : submission.items) {
    tokens += item.tokens;
  }
  auto grant = co_await host_.placement->RequestQuota(key, tokens, limit);
  if (grant) {
    last_grant_ = std::max(last_grant_, grant->number);
  } else {
    std::uint64_t waiting = 0;
    for (const auto& row : WaitingReport().rows) {
      waiting += row.key == key ? row.tokens : 0;
    }
    const auto hosts = host_.view.members.size();
    grant =
        batch_grant{.granted = waiting + tokens <= LocalQuota(limit, hosts)};
  }
  LogEvent(grant->granted ? log_level::kDebug : log_level::kInfo,
           log_category::kJob, "batch_quota",
           {{"job", submission.id.value},
            {"workspace", key.workspace.value},
            {"route", key.route.value},
            {"tokens", tokens},
            {"limit", limit},
            {"dispatcher", host_.placement->HasDispatcher()},
            {"granted", grant->granted}});
  if (grant->granted) {
    accepting_[submission.id] = {{key, tokens},
                                 clock::now() + kAcceptedTokensTtl};
  }
  co_return grant->granted;
}

namespace {

/** Returns the answer to a job that exceeds its workspace's limit of waiting
 * tokens. */
auto NoRoomAnswer() -> http_response {
  return FailureAnswer(error_code::kTooManyRequests,
                       "workspace has too many tokens waiting on the route");
}

/** Returns the answer to a job that a full store does not take. */
auto StoreFullAnswer() -> http_response {
  return FailureAnswer(error_code::kUnavailable, "the store is full");
}

/** Returns the failure of a job that the store has no room for in one append.
 * Its caller need not repeat it. */
auto TooLargeFailure(const append_limits& limits) -> failure {
  return CallFailure(error_code::kTooLarge,
                     "batch job does not fit the store: its items may have " +
                         std::to_string(limits.append_bytes) +
                         " bytes in all, with their headers and decoded "
                         "bodies");
}

/** Returns the answer that reports TooLargeFailure(). */
auto TooLargeAnswer(const append_limits& limits) -> http_response {
  return FailureResponse(TooLargeFailure(limits));
}

}  // namespace

auto batch_service::Submit(partition_id id,
                           partition_ptr partition,
                           const batch_submission& submission,
                           time_point deadline)
    -> asio::awaitable<http_response> {
  const auto job = submission.id;
  if (partition->projection.Find(job) != nullptr) {
    co_return JsonResponse(202, "{}");
  }
  std::shared_ptr<pending_record> record;
  for (const auto& pending : partition->pending) {
    if (pending->submitted_job == job) {
      record = pending;
    }
  }
  if (record == nullptr) {
    if (clock::now() < partition->full_until) {
      co_return StoreFullAnswer();
    }
    auto records =
        SubmissionRecords(submission, host_.options.store_limits.record_bytes);
    if (!FitAppend(records, host_.options.store_limits)) {
      co_return TooLargeAnswer(host_.options.store_limits);
    }
    co_await AwaitRoute(submission, deadline);
    const bool has_room = co_await ReserveRoom(submission);
    if (partition->projection.Find(job) != nullptr) {
      co_return JsonResponse(202, "{}");
    }
    if (!has_room) {
      co_return NoRoomAnswer();
    }
    record = std::make_shared<pending_record>();
    record->records = std::move(records);
    record->submitted_job = job;
    Write(id, partition, record);
  }
  const bool is_accepted = co_await AwaitSettled(partition, record, deadline);
  if (is_accepted) {
    accepting_.erase(job);
    co_return JsonResponse(202, "{}");
  }
  if (record->refusal && !record->may_be_in_log) {
    accepting_.erase(job);
    co_return record->refusal == error_code::kTooLarge
        ? TooLargeAnswer(host_.options.store_limits)
        : StoreFullAnswer();
  }
  if (!record->may_be_in_log && !partition->is_writing) {
    partition->pending.remove(record);
    accepting_.erase(job);
    co_return FailureAnswer(error_code::kUnavailable,
                            "the store takes no records");
  }
  co_return FailureAnswer(error_code::kDeadlineExceeded,
                          "the store did not answer in time");
}

auto batch_service::SubmitForOwner(partition_id id,
                                   const batch_submission& submission,
                                   time_point deadline)
    -> asio::awaitable<http_response> {
  const auto records =
      SubmissionRecords(submission, host_.options.store_limits.record_bytes);
  if (!FitAppend(records, host_.options.store_limits)) {
    co_return TooLargeAnswer(host_.options.store_limits);
  }
  const auto where = LocatePartition(id, host_.layout);
  // A temporary copy for this call; it is never added to the partitions that
  // this host owns.
  auto partition =
      std::make_shared<owned_partition>(host_.io, host_.options.store);
  bool may_be_in_log = false;
  while (clock::now() < deadline) {
    const bool is_read = co_await ReadToEnd(id, partition);
    if (!is_read) {
      break;
    }
    if (partition->projection.Find(submission.id) != nullptr) {
      co_return JsonResponse(202, "{}");
    }
    if (!accepting_.contains(submission.id)) {
      const bool has_room = co_await ReserveRoom(submission);
      if (!has_room) {
        co_return NoRoomAnswer();
      }
    }
    auto appended = co_await partition->client.Append(
        where, records, partition->projection.next(), deadline);
    if (appended) {
      co_return JsonResponse(202, "{}");
    }
    if (appended.error().code == error_code::kTooLarge) {
      co_return TooLargeAnswer(host_.options.store_limits);
    }
    if (appended.error().code != error_code::kConflict) {
      may_be_in_log = appended.error().ran == ran_state::kMaybe;
      break;
    }
  }
  co_return may_be_in_log
      ? FailureAnswer(error_code::kDeadlineExceeded,
                      "the store did not answer in time")
      : FailureAnswer(error_code::kUnavailable, "the store takes no records");
}

auto batch_service::Results(partition_ptr partition,
                            const wire::batch_callT& call)
    -> asio::awaitable<http_response> {
  const batch_id id(call.job);
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  while (true) {
    const auto* job = partition->projection.Find(id);
    if (job == nullptr || !partition->is_owned) {
      co_return FailureAnswer(error_code::kUnavailable,
                              "the job's partition has moved");
    }
    const auto results =
        batch_partition::Results(*job, call.position, kAnswerBytes);
    if (!results.empty() || clock::now() >= deadline || job->IsClosed()) {
      co_return JsonResponse(
          200, adapter::EncodeResults(job->submission.items.size(),
                                      call.position, results));
    }
    co_await partition->changed.Wait(deadline);
  }
}

auto batch_service::End(partition_id id,
                        partition_ptr partition,
                        const wire::batch_callT& call)
    -> asio::awaitable<http_response> {
  const batch_id job(call.job);
  if (partition->projection.Find(job)->ended) {
    co_return JsonResponse(200, "{}");
  }
  auto record = std::make_shared<pending_record>();
  record->records = {EndRecord(job)};
  record->ended_job = job;
  Write(id, partition, record);
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  const bool is_ended = co_await AwaitSettled(partition, record, deadline);
  co_return is_ended ? JsonResponse(200, "{}")
                     : FailureAnswer(error_code::kDeadlineExceeded,
                                     "the store did not answer in time");
}

namespace {

/** Converts a caller's request to the call for the owner, without its body. */
auto EncodeCall(const caller_request& caller, const workspace_id& workspace)
    -> wire::batch_callT {
  wire::batch_callT call;
  call.workspace = workspace.value;
  call.host = caller.host;
  call.path = caller.path;
  call.job = caller.job;
  call.item = caller.item;
  call.position = caller.position;
  auto kind = batch_call_kind::kSubmit;
  auto wait = kSubmitTimeout;
  if (caller.call == caller_call::kJobResults) {
    kind = batch_call_kind::kResults;
    wait = std::min(caller.result_wait, kReadTimeout);
  } else if (caller.call == caller_call::kJobItem) {
    kind = batch_call_kind::kItem;
    wait = milliseconds(0);
  } else if (caller.call == caller_call::kJobEnd) {
    kind = batch_call_kind::kEnd;
  }
  call.call = static_cast<std::uint8_t>(kind);
  call.wait_us =
      std::chrono::duration_cast<std::chrono::microseconds>(wait).count();
  return call;
}

/** Sends a call to a host; this host handles its own calls directly. */
auto CallHost(host_state& host,
              const fleet_member& member,
              wire::batch_callT call) -> asio::awaitable<http_response> {
  if (member.name == host.self.name) {
    co_return co_await host.batch->Answer(call);
  }
  const auto link = host.links.Get(host.LinkAddressOf(member));
  if (link == nullptr) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the host has no address");
  }
  const auto deadline =
      clock::now() + std::chrono::microseconds(call.wait_us) + kReadTimeout;
  const auto kind = static_cast<batch_call_kind>(call.call);
  const bool is_read =
      kind == batch_call_kind::kResults || kind == batch_call_kind::kItem;
  auto message = MakeMessage(std::move(call));
  auto reply = co_await link->Call(std::move(message), deadline);
  const auto* answer = reply ? reply->Ashttp_reply() : nullptr;
  if (answer == nullptr) {
    const bool is_unsent = !reply && reply.error().ran == ran_state::kNo;
    co_return FailureAnswer(
        is_read || is_unsent ? error_code::kUnavailable
                             : error_code::kDeadlineExceeded,
        reply ? "unexpected answer of the host" : reply.error().message);
  }
  http_response response;
  response.status = answer->status;
  response.headers.Set("Content-Type", answer->content_type);
  response.body = answer->body;
  co_return response;
}

/** Sends a call to the owner of its partition. */
auto CallOwner(host_state& host, wire::batch_callT call)
    -> asio::awaitable<http_response> {
  const auto* owner = host.view.OwnerOf(partition_id(call.partition));
  if (owner == nullptr) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the job's partition has no owner");
  }
  // Copied because the view may change while the owner answers.
  const auto member = *owner;
  auto response = co_await CallHost(host, member, std::move(call));
  co_return response;
}

/** An answer that may still be outstanding when its caller stops waiting. */
struct pending_answer {
  explicit pending_answer(asio::io_context& io) : changed(io) {}
  std::optional<http_response> response;  ///< Set on arrival of the answer.
  async_condition changed;                ///< Notified when `response` is set.
};

/** Sends a call to the owner and stores the answer in `pending`. */
auto CallOwnerInto(host_state& host,
                   wire::batch_callT call,
                   std::shared_ptr<pending_answer> pending)
    -> asio::awaitable<void> {
  pending->response = co_await CallOwner(host, std::move(call));
  pending->changed.Notify();
}

/** Whether a submission has a final answer: accepted, or refused for good. */
auto IsSettled(const std::optional<http_response>& response) -> bool {
  return response && response->status != 503 && response->status != 504;
}

/** Returns the hosts that may accept a job in place of the owner: this host
 * first, or last while it has lost the store, and others in random order. */
auto SubstituteHosts(host_state& host, const fleet_member* owner)
    -> std::vector<fleet_member> {
  std::vector<fleet_member> others;
  for (const auto& member : host.view.members) {
    if (member.name != host.self.name &&
        (owner == nullptr || member.name != owner->name)) {
      others.push_back(member);
    }
  }
  std::ranges::shuffle(others, host.random);
  others.insert(host.store.is_lost ? others.end() : others.begin(), host.self);
  others.resize(std::min(others.size(), kMaxSubstitutes));
  return others;
}

/** Submits a job to its owner, and to substitutes if the owner does not answer.
 */
auto SubmitJob(host_state& host, wire::batch_callT call)
    -> asio::awaitable<http_response> {
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  auto owner_answer = std::make_shared<pending_answer>(host.io);
  asio::co_spawn(host.io, CallOwnerInto(host, call, owner_answer),
                 LogException);
  const auto owner_deadline = clock::now() + kOwnerTimeout;
  while (!owner_answer->response && clock::now() < owner_deadline) {
    co_await owner_answer->changed.Wait(owner_deadline);
  }
  if (IsSettled(owner_answer->response)) {
    co_return *owner_answer->response;
  }
  const auto substitutes =
      SubstituteHosts(host, host.view.OwnerOf(partition_id(call.partition)));
  call.call = static_cast<std::uint8_t>(batch_call_kind::kSubmitForOwner);
  bool may_be_in_log = false;
  for (const auto& member : substitutes) {
    const duration remaining = deadline - clock::now();
    if (remaining <= duration() || IsSettled(owner_answer->response)) {
      break;
    }
    call.wait_us = std::chrono::duration_cast<std::chrono::microseconds>(
                       std::min<duration>(kSubstituteTimeout, remaining))
                       .count();
    auto response = co_await CallHost(host, member, call);
    if (IsSettled(response)) {
      co_return response;
    }
    may_be_in_log = may_be_in_log || response.status == 504;
  }
  while (!owner_answer->response && clock::now() < deadline) {
    co_await owner_answer->changed.Wait(deadline);
  }
  // A refusal by the owner does not settle what a substitute may have appended.
  if (IsSettled(owner_answer->response) &&
      (!may_be_in_log || owner_answer->response->status == 202)) {
    co_return *owner_answer->response;
  }
  // The answer may say "not run" only if no host may have appended the job.
  may_be_in_log = may_be_in_log || !owner_answer->response ||
                  owner_answer->response->status == 504;
  co_return may_be_in_log ? FailureAnswer(error_code::kDeadlineExceeded,
                                          "the store did not answer in time")
                          : *owner_answer->response;
}

/** Adds the job of a submission to its call. Fails if the job is malformed or
 * larger than the store takes. */
auto EncodeJob(const host_state& host,
               const http_request& request,
               const caller_request& caller,
               wire::batch_callT& call) -> outcome<void> {
  auto items = adapter::DecodeItems(request.body);
  if (!items) {
    return items.error();
  }
  call.job = caller.attempt.value;
  if (call.job.empty()) {
    return CallFailure(error_code::kBadRequest, "submission has no name");
  }
  call.body =
      EncodeSubmission({.id = batch_id(call.job),
                        .workspace = workspace_id(call.workspace),
                        .host = caller.host,
                        .path = caller.path,
                        .submitted = UnixNow(),
                        .accepted_under = host.deployment->state().version,
                        .items = std::move(items.value())});
  const auto& limits = host.options.store_limits;
  const auto records =
      SplitSubmission(batch_id(call.job), call.body, limits.record_bytes);
  if (!FitAppend(records, limits)) {
    return TooLargeFailure(limits);
  }
  return outcome<void>();
}

/** Rejects a call before it is sent to the owner of its job. */
auto RejectCall(host_state& host,
                http_exchange& exchange,
                const caller_request& caller,
                failure error) -> asio::awaitable<void> {
  auto refusal = FailureResponse(error);
  if (error.code == error_code::kUnavailable) {
    adapter::SetRetryAfter(refusal.headers, kOwnerRetryAfter);
  }
  const bool is_job = caller.call == caller_call::kServe;
  LogEvent(log_level::kInfo, log_category::kJob, "batch_call_refused",
           {{"job", is_job ? caller.attempt.value : caller.job},
            {"status", refusal.status},
            {"outcome", error.message}});
  host.metrics.CountAnswer(refusal.status);
  co_await exchange.Respond(std::move(refusal));
}

}  // namespace

auto HandleBatchCall(host_state& host,
                     http_exchange& exchange,
                     const caller_request& caller,
                     const workspace_id& workspace,
                     bool lacks_key) -> asio::awaitable<void> {
  const auto arrived = clock::now();
  const bool is_read = caller.call == caller_call::kJobResults ||
                       caller.call == caller_call::kJobItem;
  const auto longest = is_read ? kLongestRead : kLongestChange;
  if (arrived > LatestDrainStart(host.drain, arrived + longest, duration())) {
    const auto error =
        CallFailure(error_code::kUnavailable,
                    "this host stops before the call could be answered");
    co_await RejectCall(host, exchange, caller, error);
    co_return;
  }
  auto call = EncodeCall(caller, workspace);
  call.lacks_key = lacks_key;
  // Without a key, only who may have submitted a job causes reads of the store.
  call.skips_store = lacks_key && !host.deployment->HasOpenBatchRoute();
  if (caller.call == caller_call::kServe) {
    auto encoded = EncodeJob(host, exchange.Request(), caller, call);
    if (!encoded) {
      co_await RejectCall(host, exchange, caller, encoded.error());
      co_return;
    }
  }
  call.partition =
      PartitionOf(batch_id(call.job), host.layout).value;
  const auto job = call.job;
  const auto kind = call.call;
  const auto partition = call.partition;
  http_response response;
  if (caller.call == caller_call::kServe) {
    response = co_await SubmitJob(host, std::move(call));
  } else {
    response = co_await CallOwner(host, std::move(call));
  }
  const auto status = response.status;
  const auto* owner = host.view.OwnerOf(partition_id(partition));
  // Every caller polls twice a second; at info level only refused reads are
  // logged.
  LogEvent(
      is_read && status < 400 ? log_level::kDebug : log_level::kInfo,
      log_category::kJob, "batch_call",
      {{"job", job},
       {"call", kind},
       {"workspace", workspace.value},
       {"partition", partition},
       {"owner", owner == nullptr ? "" : owner->name},
       {"generation", host.view.generation},
       {"status", status},
       {"ms", std::chrono::duration_cast<milliseconds>(clock::now() - arrived)
                  .count()}});
  host.metrics.CountAnswer(status);
  if (status == 503) {
    adapter::SetRetryAfter(response.headers, kOwnerRetryAfter);
  }
  auto sent = co_await exchange.Respond(std::move(response));
  if (!sent) {
    Log(log_level::kDebug, log_category::kHttp,
        {sent.error().message, sent.error().step, sent.error().peer});
  }
}

}  // namespace dogwood
