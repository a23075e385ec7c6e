/** Runs of batch items. */
#include "src/hostd_batch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/proxy.h"
#include "src/wall_clock.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Interval at which the queue is polled for items to run. */
constexpr milliseconds kDispatchInterval{50};
/** Interval at which items' progress is recorded. After a takeover the new
 * owner repeats at most this much of a run, which takes 2 to 5 s in total on
 * the users' sites. */
constexpr milliseconds kProgressInterval{1000};
/** Maximum number of concurrent placement requests for items; the dispatcher's
 * queue needs no more to fill every slot that becomes free. */
constexpr std::size_t kMaxAwaitingSlot = 8;
/** Lifetime of one placement request for an item. */
constexpr milliseconds kPlacementRequestTtl{3000};
/** Backoff of an item after its server failed, and after a server did not run
 * it. */
constexpr milliseconds kFailedRunBackoff{300};
constexpr milliseconds kNotRunBackoff{50};
/** Maximum duration of an item's run. */
constexpr std::chrono::seconds kMaxRunTime{40};
/** Maximum size of an item's output: one answer to a read holds at least one
 * result and 1 MB at most (the platform's pages, "Batch jobs"). */
constexpr std::size_t kMaxOutputBytes = 900UL << 10;
/** Assumed duration of a complete run before any was measured. */
constexpr double kInitialRunSeconds = 4;
/** Weight of the newest run in the smoothed duration. */
constexpr double kRunWeight = 0.05;

/** Sets what an item has from the route of its job. `random` selects a service.
 */
auto ApplyRoute(const route_rule& route, double random, queued_item& item)
    -> void {
  item.service = PickService(route, random);
  item.max_attempts = route.max_attempts;
  item.due = item.submitted + route.completion_objective;
  item.expires = ExpiryOf(item.submitted, route.retention);
}

/** Appends the data of an item's events to its output. */
class item_sink : public answer_sink {
 public:
  /** `is_resumed` tells that `output` has the data of earlier events, which may
   * be empty. No more than `max_bytes` of output are taken. */
  item_sink(std::string& output, bool is_resumed, std::size_t max_bytes)
      : output_(output), max_bytes_(max_bytes), has_data_(is_resumed) {}

  auto HandleHead(const http_head&) -> asio::awaitable<bool> override {
    co_return true;
  }

  auto HandleEvents(std::string events) -> asio::awaitable<bool> override {
    sse_parser parser;
    auto parsed = ToOutcome([&] { return parser.Feed(events); });
    for (const auto& event : parsed.value()) {
      const auto fields = ParseEventFields(event);
      if (fields.has_data) {
        if (has_data_) {
          output_ += '\n';
        }
        has_data_ = true;
        output_ += fields.data;
      }
    }
    co_return !IsTooLong();
  }

  auto IsTooLong() const -> bool { return output_.size() > max_bytes_; }

 private:
  std::string& output_;
  std::size_t max_bytes_;
  bool has_data_;
};

}  // namespace

batch_service::batch_service(host_state& host)
    : host_(host), run_seconds_(kInitialRunSeconds) {}

batch_service::~batch_service() = default;

auto batch_service::Start() -> void {
  asio::co_spawn(host_.io, RunDispatch(), AbortOnException);
}

auto batch_service::DropItems(partition_id id, const batch_job& job) -> void {
  for (const auto& item : job.submission.items) {
    if (job.ended || job.listed.contains(item.id)) {
      const batch_item_ref ref{id, job.submission.id, item.id};
      queue_.Remove(ref);
      AbortItem(ref);
    }
  }
}

auto batch_service::IsBehind(const batch_submission& submission) const -> bool {
  return host_.deployment == nullptr ||
         host_.deployment->state().version < submission.accepted_under;
}

auto batch_service::KnownRouteOf(const batch_submission& submission) const
    -> const route_rule* {
  return host_.deployment == nullptr
             ? nullptr
             : host_.deployment->FindRoute(submission.host, submission.path);
}

auto batch_service::RouteOf(const batch_submission& submission) const
    -> const route_rule* {
  return IsBehind(submission) ? nullptr : KnownRouteOf(submission);
}

auto batch_service::QueueItems(partition_id id, const batch_job& job) -> void {
  if (job.IsClosed()) {
    return;
  }
  const auto* route = RouteOf(job.submission);
  if (IsBehind(job.submission)) {
    const auto version = host_.deployment == nullptr
                             ? 0
                             : host_.deployment->state().version.value;
    LogEvent(log_level::kInfo, log_category::kJob, "job_awaits_state",
             {{"job", job.submission.id.value},
              {"accepted_under", job.submission.accepted_under.value},
              {"state_version", version}});
  }
  for (const auto& item : job.submission.items) {
    if (job.listed.contains(item.id)) {
      continue;
    }
    queued_item queued;
    queued.submitted =
        EstimateSubmission(job.submission.submitted, UnixNow(), clock::now());
    if (route != nullptr) {
      ApplyRoute(*route, host_.RandomUnit(), queued);
    }
    const batch_item_ref ref{id, job.submission.id, item.id};
    queue_.Add(ref, std::move(queued));
    ApplyProgress(ref, job.ProgressOf(item.id));
    queue_.CountFailures(ref, job.FailedRunsOf(item.id));
  }
}

auto batch_service::StateChanged() -> void {
  changes_.RecordState(host_.deployment->state(), clock::now());
  // Routes may have changed their services or limits.
  for (const auto& [id, partition] : partitions_) {
    for (const auto& [job_id, job] : partition->projection.Jobs()) {
      const auto* route = RouteOf(job.submission);
      for (const auto& item : job.submission.items) {
        auto* queued = queue_.Find({id, job_id, item.id});
        if (queued == nullptr || route == nullptr) {
          continue;
        }
        ApplyRoute(*route, host_.RandomUnit(), *queued);
      }
    }
  }
}

auto batch_service::RunDispatch() -> asio::awaitable<void> {
  while (true) {
    const auto now = clock::now();
    for (const auto& ref : queue_.Hopeless(now)) {
      queue_.Find(ref)->running = true;
      RecordResult(ref, batch_item_outcome::kAbandoned, "");
    }
    const auto expected =
        milliseconds(static_cast<std::int64_t>(run_seconds_ * 1000));
    while (awaiting_slot_ < kMaxAwaitingSlot && !host_.draining) {
      const auto ref = queue_.StartNext(clock::now(), expected);
      if (!ref) {
        break;
      }
      asio::co_spawn(host_.io, RunItem(*ref), LogException);
    }
    if (now >= next_record_) {
      next_record_ = now + kProgressInterval;
      for (const auto& [id, partition] : partitions_) {
        RecordProgress(id, partition);
      }
    }
    co_await Sleep(kDispatchInterval);
  }
}

auto batch_service::FindJob(const batch_item_ref& ref) -> const batch_job* {
  const auto found = partitions_.find(ref.partition);
  return found == partitions_.end() ? nullptr
                                    : found->second->projection.Find(ref.job);
}

auto batch_service::RunItem(batch_item_ref ref) -> asio::awaitable<void> {
  const auto* queued = queue_.Find(ref);
  const auto* job = FindJob(ref);
  if (queued == nullptr || job == nullptr) {
    queue_.Remove(ref);
    co_return;
  }
  if (IsBehind(job->submission)) {
    queue_.Requeue(ref, clock::now() + kFailedRunBackoff);
    co_return;
  }
  const auto* route = RouteOf(job->submission);
  if (route == nullptr) {
    RecordResult(ref, batch_item_outcome::kAbandoned, "");
    co_return;
  }
  const auto* item = job->FindItem(ref.item);
  const auto problem =
      item == nullptr
          ? std::nullopt
          : HeadProblem(adapter::ItemRequest(*item, job->submission.host));
  if (problem) {
    // Accepted by a version that did not check items.
    Log(log_level::kWarning, log_category::kJob,
        {"item " + ref.item.value + ": " + *problem, "run item", ""});
    RecordResult(ref, batch_item_outcome::kAbandoned, "");
    co_return;
  }
  const auto now = clock::now();
  const auto ticket = host_.placement->NewTicket();
  placement_request request{
      .host = {},
      .ticket = ticket,
      .service = queued->service,
      .workspace = job->submission.workspace,
      .work = work_class::kBatch,
      .priority = 0,
      .takes_token = false,
      .is_retry = false,
      .place = {host_.options.data_centre, host_.options.region},
      .regions = RegionsOf(
          *route, host_.deployment->FindWorkspace(job->submission.workspace)),
      .latest_on_time_start = queued->due,
      .latest_start = now + kPlacementRequestTtl,
      .avoided = {},
      .connected = ConnectedServers(host_, queued->service, true),
      // An item is owed however often servers crash under it, so its content
      // is neither held against it nor proof that others are sound.
      .prompt = {},
      .content = {}};
  ++awaiting_slot_;
  auto placed = co_await host_.placement->Place(std::move(request));
  --awaiting_slot_;
  if (placed.verdict != placement_verdict::kGranted) {
    queue_.Requeue(ref, clock::now() + kNotRunBackoff);
    co_return;
  }
  const auto* found = host_.placement->FindServer(placed.server);
  // Meanwhile a record of the previous owner may have ended or counted it.
  const auto* granted = queue_.Find(ref);
  if (found == nullptr || found->leaving || granted == nullptr ||
      granted->IsExhausted() || host_.draining) {
    host_.placement->End({ticket, run_outcome::kUnused});
    queue_.Requeue(ref, clock::now());
    co_return;
  }
  // Copied because the registrations may change while the server answers.
  const auto server = *found;
  co_await RunPlaced(ref, ticket, server);
}

auto batch_service::RunPlaced(const batch_item_ref& ref,
                              ticket_id ticket,
                              const registered_server& server)
    -> asio::awaitable<void> {
  auto* queued = queue_.Find(ref);
  const auto* job = FindJob(ref);
  const auto* item = job == nullptr ? nullptr : job->FindItem(ref.item);
  if (item == nullptr) {
    host_.placement->End({ticket, run_outcome::kUnused});
    queue_.Remove(ref);
    co_return;
  }
  const auto* route = RouteOf(job->submission);
  const auto request = adapter::ItemRequest(*item, job->submission.host);
  const auto started = clock::now();
  const attempt_spec spec{
      .request = &request,
      .attempt = attempt_id(ref.item.value),
      .server = server,
      .workspace = job->submission.workspace,
      .service = queued->service,
      .deadline = std::min(started + kMaxRunTime, queued->expires),
      .is_repeatable = true,
      .is_batch = true,
      .on_silence = {},
      .event_gap_objective =
          route == nullptr ? duration() : route->event_gap_objective};
  stream_progress progress{.last_event = queued->progress.last_event,
                           .has_head = true};
  std::string output = queued->progress.output;
  const bool is_first_run = progress.last_event == 0;
  const auto max_output =
      std::min(kMaxOutputBytes, host_.options.store_limits.append_bytes / 2);
  item_sink sink(output, !is_first_run, max_output);
  attempt_handle handle;
  std::optional<run_entry> entry(std::in_place, runs_, ref,
                                 item_run{&handle, &progress, &output});
  host_.placement->OnPreempt(ticket, [&handle] { handle.Abort(); });
  auto result = co_await RunAttempt(host_, spec, progress, handle, sink);
  entry.reset();
  host_.placement->End(
      {ticket, result.outcome, result.may_have_crashed, result.times});
  if (result.is_complete && is_first_run) {
    const auto seconds =
        std::chrono::duration<double>(clock::now() - started).count();
    run_seconds_ += kRunWeight * (seconds - run_seconds_);
  }
  if (sink.IsTooLong()) {
    LogEvent(log_level::kWarning, log_category::kJob, "item_output_too_long",
             {{"job", ref.job.value},
              {"item", ref.item.value},
              {"server", server.id.value},
              {"bytes", output.size()},
              {"max_bytes", max_output}});
    HandleFailedRun(ref);
    co_return;
  }
  HandleRunEnd(ref, result, progress, std::move(output), server.id);
}

auto batch_service::HandleFailedRun(const batch_item_ref& ref) -> void {
  if (queue_.Find(ref) == nullptr) {
    return;
  }
  const batch_run_id run(host_.random());
  if (queue_.NoteFailure(ref, run, clock::now() + kFailedRunBackoff)) {
    RecordResult(ref, batch_item_outcome::kAbandoned, "");
  } else {
    RecordFailure(ref, run);
  }
}

auto batch_service::HandleRunEnd(const batch_item_ref& ref,
                                 const attempt_result& result,
                                 stream_progress progress,
                                 std::string output,
                                 const server_id& server) -> void {
  auto* queued = queue_.Find(ref);
  if (queued == nullptr) {
    return;  // The item has got a result, ended or moved to another host
             // meanwhile.
  }
  const auto status = result.answer ? result.answer->status : 0;
  LogEvent(
      log_level::kInfo, log_category::kJob, "item_run_end",
      {{"job", ref.job.value},
       {"item", ref.item.value},
       {"server", server.value},
       {"whole", result.is_complete},
       {"status", status},
       {"from_event", queued->progress.last_event},
       {"last_event", progress.last_event},
       {"outcome", result.is_complete ? "answered" : result.error.message}});
  if (result.is_complete && !result.answer) {
    RecordResult(ref, batch_item_outcome::kDone, std::move(output));
    return;
  }
  if (status == 422) {
    RecordResult(ref, batch_item_outcome::kAbandoned, "");
    return;
  }
  if (status == 500) {
    HandleFailedRun(ref);
    return;
  }
  queued->progress = {progress.last_event, std::move(output)};
  const bool is_preempted = result.outcome == run_outcome::kCancelled;
  queue_.Requeue(ref,
                 is_preempted ? clock::now() : clock::now() + kNotRunBackoff);
}

auto batch_service::AbortItem(const batch_item_ref& ref) -> void {
  const auto found = runs_.find(ref);
  if (found != runs_.end()) {
    found->second.handle->Abort();
  }
}

}  // namespace dogwood
