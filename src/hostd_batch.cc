/** Handling of calls on batch jobs by the owner of their partition. */
#include "src/hostd_batch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/hostd_base.h"
#include "src/hostd_batch_call.h"
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
/** An accepted job counts for this long at the host that has accepted it,
 * unless its partition's log shows it before: a host that accepts in place of
 * the owner does not see that log. */
constexpr std::chrono::seconds kAcceptedTokensTtl{5};

/** Whether a caller may read and end a job. A job of an open route belongs to
 * no workspace; whoever knows its name has access. */
auto HasAccess(const wire::batch_callT& call, const batch_submission& job)
    -> bool {
  const auto& workspace = job.workspace.value;
  return workspace.empty() || (!call.lacks_key && workspace == call.workspace);
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
  const auto region = RegionOf(id, host_.layout);
  if (id.value >= PartitionCount(host_.layout) ||
      call.region != region.value_or(region_id()).value) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the settings of the hosts differ in the regions");
  }
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
    if (region && host_.layout.RegionOf(host_.self) != region) {
      co_return FailureAnswer(error_code::kUnavailable,
                              "this host is not in the region of the job");
    }
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
  if (kind == batch_call_kind::kFind) {
    co_return FindAnswer(*partition, batch_id(call.job));
  }
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
    auto answer = FailureAnswer(error_code::kNotFound, "no such open item");
    if (host_.layout.IsRegional()) {
      answer.status = kNoOpenItemStatus;
    }
    co_return answer;
  }
  co_return http_response{
      .status = 200,
      .headers = {{{"Content-Type", "application/octet-stream"}}},
      .body = item->body};
}

auto batch_service::FindAnswer(const owned_partition& partition,
                               const batch_id& job) -> http_response {
  if (partition.projection.Find(job) != nullptr) {
    return JsonResponse(202, "{}");
  }
  const bool is_pending = std::ranges::any_of(
      partition.pending,
      [&job](const auto& record) { return record->submitted_job == job; });
  return is_pending ? FailureAnswer(error_code::kUnavailable,
                                    "the job is being accepted")
                    : FailureAnswer(error_code::kNotFound, "no such batch job");
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

}  // namespace dogwood
