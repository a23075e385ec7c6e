/** Callers' requests on batch jobs: routing to the owner of the job's
 * partition, and the search for it. */
#include "src/hostd_batch_call.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/wall_clock.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

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
/** Time that the holders of a job's other partitions have to tell whether they
 * have it; twice what a read of the store in another region takes. */
constexpr milliseconds kFindTimeout{1000};
/** Longest time until a call is answered: the link to the owner waits
 * kReadTimeout longer than the owner. */
constexpr milliseconds kLongestRead = 2 * kReadTimeout;
constexpr milliseconds kLongestChange = kSubmitTimeout + kReadTimeout;
/** Retry-After for callers while the owner of the job cannot serve them. */
constexpr milliseconds kOwnerRetryAfter{300};

}  // namespace

auto CallFailure(error_code code, std::string message) -> failure {
  return {.code = code,
          .message = std::move(message),
          .ran = code == error_code::kDeadlineExceeded ? ran_state::kMaybe
                                                       : ran_state::kNo,
          .step = "answer batch call",
          .peer = ""};
}

auto FailureAnswer(error_code code, std::string message) -> http_response {
  return FailureResponse(CallFailure(code, std::move(message)));
}

auto TooLargeFailure(const append_limits& limits) -> failure {
  return CallFailure(error_code::kTooLarge,
                     "batch job does not fit the store: its items may have " +
                         std::to_string(limits.append_bytes) +
                         " bytes in all, with their headers and decoded "
                         "bodies");
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
  const bool is_read = kind == batch_call_kind::kResults ||
                       kind == batch_call_kind::kItem ||
                       kind == batch_call_kind::kFind;
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

/** Sets the partition of a call. */
auto SetPartition(const host_state& host,
                  partition_id partition,
                  wire::batch_callT& call) -> void {
  call.partition = partition.value;
  call.region = RegionOf(partition, host.layout).value_or(region_id()).value;
}

/** Answers that may still be outstanding when their caller stops waiting. */
struct pending_answers {
  pending_answers(asio::io_context& io, std::size_t count)
      : responses(count), changed(io) {}

  /** Whether all answers have arrived. */
  auto AreComplete() const -> bool {
    return std::ranges::all_of(
        responses, [](const auto& response) { return response.has_value(); });
  }

  std::vector<std::optional<http_response>> responses;  ///< Set on arrival.
  async_condition changed;  ///< Notified of each arrival.
};
using answers_ptr = std::shared_ptr<pending_answers>;

/** Sends a call to the owner and stores the answer in `answers`. */
auto CallOwnerInto(host_state& host,
                   wire::batch_callT call,
                   answers_ptr answers,
                   std::size_t index) -> asio::awaitable<void> {
  auto response = co_await CallOwner(host, std::move(call));
  answers->responses[index] = std::move(response);
  answers->changed.Notify();
}

/** Starts a call to the owner of `partition`; its answer gets this index. */
auto StartCall(host_state& host,
               wire::batch_callT call,
               partition_id partition,
               const answers_ptr& answers,
               std::size_t index) -> void {
  SetPartition(host, partition, call);
  asio::co_spawn(host.io, CallOwnerInto(host, std::move(call), answers, index),
                 LogException);
}

/** Whether an owner says that its partition does not have the job, or that the
 * caller has no access to it. */
auto IsDenial(const http_response& response) -> bool {
  return response.status == 404 || response.status == 401;
}

/** Whether an owner has the job. */
auto IsFound(const std::optional<http_response>& response) -> bool {
  return response &&
         (response->status < 400 || response->status == kNoOpenItemStatus);
}

/** The answer to a call on a job, and the partition it is about. */
struct job_answer {
  http_response response;
  partition_id partition;
};

/** Returns the bounds of the jobs that a workspace may submit under a host
 * name. */
auto LikelyBounds(const host_state& host, const wire::batch_callT& call)
    -> std::vector<region_bound> {
  std::vector<region_bound> bounds;
  if (host.deployment == nullptr || !host.layout.IsRegional()) {
    return bounds;
  }
  const auto* workspace =
      host.deployment->FindWorkspace(workspace_id(call.workspace));
  for (const auto* route : host.deployment->RoutesOf(call.host)) {
    if (route->kind == request_kind::kBatch) {
      bounds.push_back(RegionsOf(*route, workspace));
    }
  }
  return bounds;
}

/** Returns the answer to a call if no owner has the job: a denial only if all
 * owners deny, and if there is no other partition that the job may be in. */
auto NotFoundAnswer(const host_state& host, const pending_answers& answers)
    -> http_response {
  const http_response* denial = nullptr;
  const http_response* unsure = nullptr;
  for (const auto& response : answers.responses) {
    if (!response) {
      continue;
    }
    if (IsDenial(*response)) {
      denial = &*response;
    } else if (unsure == nullptr || response->status == 504) {
      unsure = &*response;  // 504: the call may have taken effect.
    }
  }
  if (unsure != nullptr) {
    return *unsure;
  }
  if (denial == nullptr || !answers.AreComplete() ||
      !KnowsAllRegions(host.layout, host.view)) {
    return FailureAnswer(error_code::kUnavailable,
                         "not all hosts that may have the job answer");
  }
  return *denial;
}

/** Sends a call on an accepted job to the owner of its partition. A job whose
 * partition is not certain is looked for: the owner of the most likely one is
 * asked first, and all others if it denies the job or does not answer soon. */
auto CallHolder(host_state& host, wire::batch_callT call)
    -> asio::awaitable<job_answer> {
  const batch_id job(call.job);
  const auto likely = LikelyBounds(host, call);
  auto candidates = CandidatePartitions(job, likely, host.layout, host.view);
  if (candidates.size() == 1) {
    SetPartition(host, candidates[0], call);
    auto response = co_await CallOwner(host, std::move(call));
    co_return job_answer{std::move(response), candidates[0]};
  }
  const auto hint = host.batch->found().Find(job);
  const auto hinted =
      hint ? std::ranges::find(candidates, *hint) : candidates.end();
  const bool is_hinted = hinted != candidates.end();
  if (is_hinted) {
    std::rotate(candidates.begin(), hinted, hinted + 1);
  }
  auto answers = std::make_shared<pending_answers>(host.io, candidates.size());
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us) +
                        kReadTimeout + kOwnerTimeout;
  StartCall(host, call, candidates[0], answers, 0);
  const auto& first = answers->responses[0];
  const auto first_deadline =
      is_hinted ? deadline : clock::now() + kOwnerTimeout;
  while (!first && clock::now() < first_deadline) {
    co_await answers->changed.Wait(first_deadline);
  }
  if (first && (IsFound(first) || (is_hinted && !IsDenial(*first)))) {
    host.batch->found().Record(job, candidates[0]);
    co_return job_answer{*first, candidates[0]};
  }
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    StartCall(host, call, candidates[i], answers, i);
  }
  while (true) {
    const auto found = std::ranges::find_if(answers->responses, IsFound);
    if (found != answers->responses.end()) {
      const auto partition = candidates[static_cast<std::size_t>(
          found - answers->responses.begin())];
      host.batch->found().Record(job, partition);
      co_return job_answer{**found, partition};
    }
    if (answers->AreComplete() || clock::now() >= deadline) {
      co_return job_answer{NotFoundAnswer(host, *answers), candidates[0]};
    }
    co_await answers->changed.Wait(deadline);
  }
}

/** Asks the owners of partitions that may hold a job from an earlier submission
 * whether they do, and that of `chosen`. Returns the answer to the caller if
 * one has it, nothing if it is in none. Fails if one of `earlier` cannot tell
 * although the job may be there. */
auto FindEarlier(host_state& host,
                 std::string job,
                 std::vector<partition_id> earlier,
                 std::optional<partition_id> chosen)
    -> asio::awaitable<outcome<std::optional<job_answer>>> {
  wire::batch_callT question;
  question.call = static_cast<std::uint8_t>(batch_call_kind::kFind);
  question.job = std::move(job);
  auto partitions = earlier;
  if (chosen) {
    partitions.push_back(*chosen);
  }
  auto answers = std::make_shared<pending_answers>(host.io, partitions.size());
  for (std::size_t i = 0; i < partitions.size(); ++i) {
    StartCall(host, question, partitions[i], answers, i);
  }
  // After a start of this host, a repeat of a job that others have placed by
  // another bound is too rare to hold up jobs while hosts are cut off.
  const bool has_seen_change =
      host.batch->changes().HasSeenChange(clock::now());
  const auto deadline =
      clock::now() + (has_seen_change ? kFindTimeout : kOwnerTimeout);
  while (std::ranges::none_of(answers->responses, IsFound) &&
         !answers->AreComplete() && clock::now() < deadline) {
    co_await answers->changed.Wait(deadline);
  }
  bool is_certain = true;
  for (std::size_t i = 0; i < partitions.size(); ++i) {
    const auto& response = answers->responses[i];
    if (IsFound(response)) {
      co_return job_answer{*response, partitions[i]};
    }
    const bool is_denied = response && IsDenial(*response);
    is_certain = is_certain && (is_denied || i >= earlier.size());
  }
  if (!is_certain && has_seen_change) {
    // Not 503, which promises that no part of the job runs.
    co_return CallFailure(
        error_code::kDeadlineExceeded,
        "a host that may have accepted the job already does not answer");
  }
  co_return std::optional<job_answer>();
}

/** Whether a submission has a final answer: accepted, or refused for good. */
auto IsSettled(const std::optional<http_response>& response) -> bool {
  return response && response->status != 503 && response->status != 504;
}

/** Whether a host may hold the jobs of a partition. */
auto MayHold(const host_state& host,
             partition_id partition,
             const fleet_member& member) -> bool {
  const auto region = RegionOf(partition, host.layout);
  return !region || host.layout.RegionOf(member) == region;
}

/** Returns the hosts that may accept a job in place of the owner: this host
 * first, or last while it has lost the store, and others in random order. A
 * substitute reads the log of the partition, and so the bodies of other jobs;
 * that of a region is read only by hosts there. */
auto SubstituteHosts(host_state& host, partition_id partition)
    -> std::vector<fleet_member> {
  const auto* owner = host.view.OwnerOf(partition);
  std::vector<fleet_member> others;
  for (const auto& member : host.view.members) {
    if (member.name != host.self.name && MayHold(host, partition, member) &&
        (owner == nullptr || member.name != owner->name)) {
      others.push_back(member);
    }
  }
  std::ranges::shuffle(others, host.random);
  if (MayHold(host, partition, host.self)) {
    others.insert(host.store.is_lost ? others.end() : others.begin(),
                  host.self);
  }
  others.resize(std::min(others.size(), kMaxSubstitutes));
  return others;
}

/** Submits a job to its owner, and to substitutes if the owner does not answer.
 */
auto SubmitJob(host_state& host, wire::batch_callT call)
    -> asio::awaitable<http_response> {
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  const partition_id partition(call.partition);
  auto answers = std::make_shared<pending_answers>(host.io, 1);
  StartCall(host, call, partition, answers, 0);
  const auto& owner_answer = answers->responses[0];
  const auto owner_deadline = clock::now() + kOwnerTimeout;
  while (!owner_answer && clock::now() < owner_deadline) {
    co_await answers->changed.Wait(owner_deadline);
  }
  if (IsSettled(owner_answer)) {
    co_return *owner_answer;
  }
  const auto substitutes = SubstituteHosts(host, partition);
  call.call = static_cast<std::uint8_t>(batch_call_kind::kSubmitForOwner);
  bool may_be_in_log = false;
  for (const auto& member : substitutes) {
    const duration remaining = deadline - clock::now();
    if (remaining <= duration() || IsSettled(owner_answer)) {
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
  while (!owner_answer && clock::now() < deadline) {
    co_await answers->changed.Wait(deadline);
  }
  // A refusal by the owner does not settle what a substitute may have appended.
  if (IsSettled(owner_answer) &&
      (!may_be_in_log || owner_answer->status == 202)) {
    co_return *owner_answer;
  }
  // The answer may say "not run" only if no host may have appended the job.
  may_be_in_log = may_be_in_log || !owner_answer || owner_answer->status == 504;
  co_return may_be_in_log ? FailureAnswer(error_code::kDeadlineExceeded,
                                          "the store did not answer in time")
                          : *owner_answer;
}

/** Returns the failure of a job that no host may hold. */
auto NoRegionFailure(const region_bound& bound,
                     const std::string& route,
                     const std::string& workspace) -> failure {
  const auto names =
      "route \"" + route + "\" and workspace \"" + workspace + "\"";
  return CallFailure(error_code::kUnavailable,
                     bound.AllowsNone()
                         ? names + " have no allowed region in common"
                         : "no host is in an allowed region of " + names);
}

/** Submits the job in `call` to the owner of a partition that its bound
 * allows, unless it was accepted before. Fails if there is none. */
auto PlaceJob(host_state& host, wire::batch_callT call)
    -> asio::awaitable<outcome<job_answer>> {
  const batch_id job(call.job);
  const auto* route = host.deployment->FindRoute(call.host, call.path);
  const auto* workspace =
      host.deployment->FindWorkspace(workspace_id(call.workspace));
  if (route == nullptr) {
    co_return CallFailure(error_code::kUnavailable,
                          "the route of the job is not known");
  }
  const auto route_name = route->id.value;
  const auto bound = RegionsOf(*route, workspace);
  const auto started = clock::now();
  const auto chosen = ChoosePartition(job, bound, host.layout, host.view);
  const auto earlier = host.batch->changes().EarlierPartitions(
      job, bound, chosen, host.layout, started);
  if (!earlier.empty()) {
    auto known = co_await FindEarlier(host, call.job, earlier, chosen);
    if (!known && chosen) {
      co_return known.error();
    }
    if (known && known.value()) {
      host.batch->found().Record(job, known.value()->partition);
      co_return std::move(*known.value());
    }
    call.wait_us -= std::chrono::duration_cast<std::chrono::microseconds>(
                        clock::now() - started)
                        .count();
  }
  if (!chosen) {
    co_return NoRegionFailure(bound, route_name, call.workspace);
  }
  SetPartition(host, *chosen, call);
  auto response = co_await SubmitJob(host, std::move(call));
  if (host.layout.IsRegional() && response.status == 202) {
    host.batch->found().Record(job, *chosen);
  }
  co_return job_answer{std::move(response), *chosen};
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
  const bool may_search =
      host.layout.IsRegional() && caller.call != caller_call::kServe;
  const auto longest = (is_read ? kLongestRead : kLongestChange) +
                       (may_search ? kOwnerTimeout : milliseconds(0));
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
  const auto job = call.job;
  const auto kind = call.call;
  job_answer answer;
  if (caller.call == caller_call::kServe) {
    auto placed = co_await PlaceJob(host, std::move(call));
    if (!placed) {
      co_await RejectCall(host, exchange, caller, placed.error());
      co_return;
    }
    answer = std::move(placed.value());
  } else {
    answer = co_await CallHolder(host, std::move(call));
  }
  auto& response = answer.response;
  if (response.status == kNoOpenItemStatus) {
    response.status = 404;
  }
  const auto status = response.status;
  const auto* owner = host.view.OwnerOf(answer.partition);
  // Every caller polls twice a second; at info level only refused reads are
  // logged.
  LogEvent(
      is_read && status < 400 ? log_level::kDebug : log_level::kInfo,
      log_category::kJob, "batch_call",
      {{"job", job},
       {"call", kind},
       {"workspace", workspace.value},
       {"partition", answer.partition.value},
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
