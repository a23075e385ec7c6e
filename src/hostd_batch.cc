#include "src/hostd_batch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Longest call of the store. */
constexpr milliseconds kStoreLimit{1500};
/** Pause after a failed call of the store. */
constexpr milliseconds kStorePause{150};
/** A call waits this long for a partition to be read after a takeover. */
constexpr milliseconds kLoadWait{1500};
/** A partition is read again so long after a takeover, and so long after that:
 * together more than a membership lives. */
constexpr milliseconds kFirstReread{800};
constexpr milliseconds kLastReread{1500};
/** Bytes of results in one answer (the platform's pages, "Batch jobs"). */
constexpr std::size_t kAnswerBytes = 900UL << 10;
/** Period of the search for items to run. */
constexpr milliseconds kDispatchPeriod{50};
/** Items that ask for a slot at a time; the dispatcher's queue needs no more
 * to fill every slot that frees. */
constexpr std::size_t kMostAsking = 8;
/** Longest wait of one ask for a slot. */
constexpr milliseconds kAskLife{3000};
/** Pause of an item after its server failed it, and after one that did not run
 * it. */
constexpr milliseconds kFailedPause{300};
constexpr milliseconds kUnrunPause{50};
/** Longest run of an item. */
constexpr std::chrono::seconds kLongestRun{40};
/** Time of a whole run that is assumed before any was measured. */
constexpr double kFirstRunSeconds = 4;
constexpr double kRunWeight = 0.05;
/** A caller's submission is passed on for this long at most. */
constexpr milliseconds kSubmitLimit{3500};
constexpr milliseconds kReadLimit{1200};
/** Jobs are forgotten this long after their results may be. */
constexpr std::chrono::seconds kForgetMargin{15};

/** Milliseconds since the Unix epoch. */
auto UnixNow() -> unix_ms {
  return unix_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count()));
}

/** Steady time at which `length` has passed since the wall time `since`. */
auto SteadyAfter(unix_ms since, milliseconds length) -> time_point {
  const auto passed = milliseconds(static_cast<std::int64_t>(UnixNow().value) -
                                   static_cast<std::int64_t>(since.value));
  return clock::now() + (length - std::max(passed, milliseconds(0)));
}

/** An answer that carries a failure. */
auto FailureAnswer(error_code code, std::string message) -> http_response {
  const failure error{.code = code,
                      .message = std::move(message),
                      .ran = code == error_code::kDeadlineExceeded
                                 ? ran_state::kMaybe
                                 : ran_state::kNo,
                      .step = "answer batch call",
                      .peer = ""};
  return JsonResponse(HttpStatusOf(code),
                      boost::json::serialize(ToJson(error)));
}

/** Collects the data of an item's events. */
class item_sink : public answer_sink {
 public:
  explicit item_sink(std::string& output) : output_(output) {}

  auto TakeHead(const http_head&) -> asio::awaitable<bool> override {
    co_return true;
  }

  auto TakeEvents(std::string events) -> asio::awaitable<bool> override {
    sse_parser parser;
    auto whole = ToOutcome([&] { return parser.Feed(events); });
    for (const auto& event : whole.value()) {
      const auto fields = ParseEventFields(event);
      if (fields.has_data) {
        if (has_data_ || !output_.empty()) {
          output_ += '\n';
        }
        has_data_ = true;
        output_ += fields.data;
      }
    }
    co_return true;
  }

 private:
  std::string& output_;
  bool has_data_ = false;
};

}  // namespace

batch_service::batch_service(host_state& host)
    : host_(host), run_seconds_(kFirstRunSeconds) {}

batch_service::~batch_service() = default;

auto batch_service::Start() -> void {
  asio::co_spawn(host_.io, RunDispatch(), asio::detached);
}

auto batch_service::OwnershipChanged() -> void {
  for (auto it = partitions_.begin(); it != partitions_.end();) {
    if (host_.owned.contains(it->first)) {
      // Another host may have owned it between the two views.
      if (it->second->is_loaded) {
        it->second->is_loaded = false;
        asio::co_spawn(host_.io, Load(it->first, it->second), asio::detached);
      }
      ++it;
      continue;
    }
    it->second->is_owned = false;
    it->second->changed.Notify();
    std::vector<batch_item_ref> aborted;
    for (const auto& [ref, handle] : runs_) {
      if (ref.partition == it->first) {
        aborted.push_back(ref);
      }
    }
    queue_.RemovePartition(it->first);
    std::ranges::for_each(aborted, [this](const auto& r) { AbortItem(r); });
    it = partitions_.erase(it);
  }
  for (const auto id : host_.owned) {
    if (partitions_.contains(id)) {
      continue;
    }
    auto partition =
        std::make_shared<owned_partition>(host_.io, host_.options.store);
    partitions_[id] = partition;
    asio::co_spawn(host_.io, Load(id, partition), asio::detached);
  }
}

auto batch_service::Load(partition_id id, partition_ptr partition)
    -> asio::awaitable<void> {
  const auto version = ++partition->load_version;
  while (partition->is_owned && !partition->is_loaded) {
    const bool is_read = co_await CatchUp(id, partition);
    if (!partition->is_owned) {
      co_return;  // Lost during the read; its items are another host's.
    }
    if (is_read) {
      partition->is_loaded = true;
      if (!partition->fold.Jobs().empty()) {
        LogEvent(log_level::kInfo, log_category::kJob, "partition_loaded",
                 {{"partition", id.value},
                  {"offset", partition->fold.next().value},
                  {"jobs", partition->fold.Jobs().size()}});
      }
      for (const auto& [job, state] : partition->fold.Jobs()) {
        DropItems(id, state);
        QueueItems(id, state);
      }
      partition->changed.Notify();
    } else {
      co_await Sleep(kStorePause);
    }
  }
  // The owner before may have written until it heard of the change.
  for (const auto pause : {kFirstReread, kLastReread}) {
    co_await Sleep(pause);
    if (!partition->is_owned || partition->load_version != version) {
      co_return;
    }
    static_cast<void>(co_await CatchUp(id, partition));
  }
}

auto batch_service::CatchUp(partition_id id, partition_ptr partition)
    -> asio::awaitable<bool> {
  const auto section = co_await partition->store_calls.Enter();
  const bool is_read = co_await ReadToEnd(id, partition);
  co_return is_read;
}

auto batch_service::ReadToEnd(partition_id id, partition_ptr partition)
    -> asio::awaitable<bool> {
  const auto where = LocatePartition(id, host_.options.partitions_per_topic);
  while (partition->is_owned) {
    const auto from = partition->fold.next();
    auto page = co_await partition->client.Read(where, from, milliseconds(0),
                                                clock::now() + kStoreLimit);
    if (!page) {
      Log(log_level::kWarning, log_category::kJob,
          {"partition " + std::to_string(id.value) + ": " +
               page.error().message,
           page.error().step, "store"});
      co_return false;
    }
    if (page->first > from) {
      // Retention has passed; what is gone was older than any open job.
      partition->fold.Reset(page->first);
      continue;
    }
    ApplyRecords(id, *partition, page->records);
    if (partition->fold.next() >= page->end) {
      co_return true;
    }
  }
  co_return false;
}

auto batch_service::ApplyRecords(partition_id id,
                                 owned_partition& partition,
                                 const std::vector<std::string>& records)
    -> void {
  for (const auto& record : records) {
    TakeChange(id, partition, partition.fold.Apply(record));
  }
  if (!records.empty()) {
    partition.changed.Notify();
  }
}

auto batch_service::TakeChange(partition_id id,
                               owned_partition& partition,
                               const batch_change& change) -> void {
  if (!partition.is_owned || !partition.is_loaded) {
    return;  // Load() queues the items of all jobs at its end.
  }
  if (change.opened) {
    QueueItems(id, *partition.fold.Find(*change.opened));
  }
  if (change.listed) {
    const batch_item_ref ref{id, change.listed->first, change.listed->second};
    queue_.Remove(ref);
    AbortItem(ref);
  }
  if (change.ended) {
    DropItems(id, *partition.fold.Find(*change.ended));
  }
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

auto batch_service::RouteOf(const batch_submission& submission) const
    -> const route_rule* {
  return host_.deployment == nullptr
             ? nullptr
             : host_.deployment->FindRoute(submission.host, submission.path);
}

auto batch_service::QueueItems(partition_id id, const batch_job& job) -> void {
  if (job.IsClosed()) {
    return;
  }
  const auto* route = RouteOf(job.submission);
  for (const auto& item : job.submission.items) {
    if (job.listed.contains(item.id)) {
      continue;
    }
    queued_item queued;
    if (route != nullptr) {
      queued.service = PickService(*route, host_.Draw());
      queued.due =
          SteadyAfter(job.submission.submitted, route->completion_objective);
      queued.expires = SteadyAfter(job.submission.submitted, route->retention);
      queued.max_attempts = route->max_attempts;
    }
    queue_.Add({id, job.submission.id, item.id}, std::move(queued));
  }
}

auto batch_service::StateChanged() -> void {
  // Routes may have moved to other services or have new limits.
  for (const auto& [id, partition] : partitions_) {
    for (const auto& [job_id, job] : partition->fold.Jobs()) {
      const auto* route = RouteOf(job.submission);
      for (const auto& item : job.submission.items) {
        auto* queued = queue_.Find({id, job_id, item.id});
        if (queued == nullptr || route == nullptr) {
          continue;
        }
        queued->service = PickService(*route, host_.Draw());
        queued->max_attempts = route->max_attempts;
        queued->due =
            SteadyAfter(job.submission.submitted, route->completion_objective);
        queued->expires =
            SteadyAfter(job.submission.submitted, route->retention);
      }
    }
  }
}

auto batch_service::Settle(owned_partition& partition) -> void {
  for (auto it = partition.pending.begin(); it != partition.pending.end();) {
    auto& record = **it;
    bool is_in_log = false;
    if (record.opens) {
      is_in_log = partition.fold.Find(*record.opens) != nullptr;
    } else if (record.ends) {
      const auto* job = partition.fold.Find(*record.ends);
      is_in_log = job == nullptr || job->ended;
    } else if (record.lists) {
      const auto* job = partition.fold.Find(record.lists->job);
      is_in_log = job == nullptr || job->listed.contains(record.lists->item);
    }
    if (is_in_log) {
      record.is_settled = true;
      it = partition.pending.erase(it);
    } else {
      ++it;
    }
  }
  partition.fold.Forget(
      unix_ms(UnixNow().value -
              static_cast<std::uint64_t>(
                  (host_.options.result_keep + kForgetMargin).count())));
  partition.changed.Notify();
}

auto batch_service::Write(partition_id id,
                          partition_ptr partition,
                          std::shared_ptr<pending_record> record) -> void {
  partition->pending.push_back(std::move(record));
  if (!partition->is_writing) {
    partition->is_writing = true;
    asio::co_spawn(host_.io, WriteLoop(id, partition), asio::detached);
  }
}

auto batch_service::WriteLoop(partition_id id, partition_ptr partition)
    -> asio::awaitable<void> {
  while (partition->is_owned && !partition->pending.empty()) {
    const bool is_appended = co_await AppendOnce(id, partition);
    if (!is_appended) {
      co_await Sleep(kStorePause);
    }
  }
  partition->is_writing = false;
}

auto batch_service::AppendOnce(partition_id id, partition_ptr partition)
    -> asio::awaitable<bool> {
  const auto section = co_await partition->store_calls.Enter();
  Settle(*partition);
  if (partition->pending.empty()) {
    co_return true;
  }
  if (clock::now() >= host_.member_until && !host_.draining) {
    // Another host may own the partition by now.
    co_return false;
  }
  std::vector<std::string> records;
  std::vector<std::shared_ptr<pending_record>> sent;
  std::size_t bytes = 0;
  for (const auto& record : partition->pending) {
    std::size_t size = 0;
    for (const auto& part : record->records) {
      size += part.size();
    }
    if (!records.empty() && bytes + size > host_.options.append_bytes / 2) {
      break;
    }
    bytes += size;
    records.insert(records.end(), record->records.begin(),
                   record->records.end());
    sent.push_back(record);
  }
  const auto where = LocatePartition(id, host_.options.partitions_per_topic);
  const std::optional<log_offset> at = partition->fold.next();
  auto appended = co_await partition->client.Append(where, records, at,
                                                    clock::now() + kStoreLimit);
  if (appended && appended->first == *at) {
    ApplyRecords(id, *partition, records);
    Settle(*partition);
    co_return true;
  }
  if (!appended && appended.error().code != error_code::kConflict) {
    Log(log_level::kWarning, log_category::kJob,
        {"partition " + std::to_string(id.value) + ": " +
             appended.error().message,
         appended.error().step, "store"});
    if (appended.error().ran == ran_state::kMaybe) {
      for (const auto& record : sent) {
        record->may_be_in_log = true;
      }
    }
    co_return false;
  }
  // Another host has written, or an append of this one whose answer was lost.
  const bool is_read = co_await ReadToEnd(id, partition);
  Settle(*partition);
  co_return is_read;
}

auto batch_service::AwaitSettled(partition_ptr partition,
                                 std::shared_ptr<pending_record> record,
                                 time_point deadline) -> asio::awaitable<bool> {
  while (!record->is_settled && partition->is_owned &&
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

auto batch_service::HandOver(time_point deadline) -> asio::awaitable<void> {
  for (const auto& [ref, handle] : runs_) {
    handle->Abort();
  }
  // A copy: ownership may change during the waits.
  const auto partitions = partitions_;
  for (const auto& [id, kept] : partitions) {
    while (!kept->pending.empty() && clock::now() < deadline) {
      co_await kept->changed.Wait(deadline);
    }
  }
}

auto batch_service::Answer(const wire::batch_callT& call)
    -> asio::awaitable<http_response> {
  const partition_id id(call.partition);
  const auto found = partitions_.find(id);
  if (found == partitions_.end()) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "this host does not own the job's partition");
  }
  auto partition = found->second;
  const bool is_loaded =
      co_await AwaitLoaded(partition, clock::now() + kLoadWait);
  if (!is_loaded) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the job's partition is being read");
  }
  const auto kind = static_cast<batch_call_kind>(call.call);
  if (kind == batch_call_kind::kSubmit) {
    co_return co_await Submit(id, partition, call);
  }
  const bool is_current = co_await Verify(id, partition, call);
  if (!is_current) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the store does not tell whether the job exists");
  }
  const auto* job = partition->fold.Find(batch_id(call.job));
  if (job == nullptr || job->submission.workspace.value != call.workspace) {
    co_return FailureAnswer(error_code::kNotFound, "no such batch job");
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

auto batch_service::Verify(partition_id id,
                           partition_ptr partition,
                           const wire::batch_callT& call)
    -> asio::awaitable<bool> {
  const auto* job = partition->fold.Find(batch_id(call.job));
  if (job != nullptr && call.position <= job->results.size()) {
    co_return true;
  }
  // This host may have lost the partition without having heard of it yet.
  const bool is_current = co_await CatchUp(id, partition);
  co_return is_current;
}

auto batch_service::Submit(partition_id id,
                           partition_ptr partition,
                           const wire::batch_callT& call)
    -> asio::awaitable<http_response> {
  auto submission = DecodeSubmission(call.body);
  if (!submission) {
    co_return FailureAnswer(error_code::kBadRequest,
                            submission.error().message);
  }
  const auto job = submission->id;
  if (partition->fold.Find(job) != nullptr) {
    co_return JsonResponse(202, "{}");
  }
  std::shared_ptr<pending_record> record;
  for (const auto& pending : partition->pending) {
    if (pending->opens == job) {
      record = pending;
    }
  }
  if (record == nullptr) {
    record = std::make_shared<pending_record>();
    record->records =
        SubmissionRecords(submission.value(), host_.options.record_bytes);
    record->opens = job;
    Write(id, partition, record);
  }
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  const bool is_accepted = co_await AwaitSettled(partition, record, deadline);
  if (is_accepted) {
    co_return JsonResponse(202, "{}");
  }
  if (!record->may_be_in_log && !partition->is_writing) {
    partition->pending.remove(record);
    co_return FailureAnswer(error_code::kUnavailable,
                            "the store takes no records");
  }
  co_return FailureAnswer(error_code::kDeadlineExceeded,
                          "the store did not answer in time");
}

auto batch_service::Results(partition_ptr partition,
                            const wire::batch_callT& call)
    -> asio::awaitable<http_response> {
  const batch_id id(call.job);
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  while (true) {
    const auto* job = partition->fold.Find(id);
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
  if (partition->fold.Find(job)->ended) {
    co_return JsonResponse(200, "{}");
  }
  auto record = std::make_shared<pending_record>();
  record->records = {EndRecord(job)};
  record->ends = job;
  Write(id, partition, record);
  const auto deadline = clock::now() + std::chrono::microseconds(call.wait_us);
  const bool is_ended = co_await AwaitSettled(partition, record, deadline);
  co_return is_ended ? JsonResponse(200, "{}")
                     : FailureAnswer(error_code::kDeadlineExceeded,
                                     "the store did not answer in time");
}

auto batch_service::RunDispatch() -> asio::awaitable<void> {
  while (true) {
    const auto now = clock::now();
    for (const auto& ref : queue_.Expired(now)) {
      queue_.Find(ref)->running = true;
      List(ref, batch_end::kAbandoned, "");
    }
    const auto expected =
        milliseconds(static_cast<std::int64_t>(run_seconds_ * 1000));
    while (asking_ < kMostAsking && !host_.draining) {
      const auto ref = queue_.Take(clock::now(), expected);
      if (!ref) {
        break;
      }
      asio::co_spawn(host_.io, RunItem(*ref), asio::detached);
    }
    co_await Sleep(kDispatchPeriod);
  }
}

auto batch_service::FindJob(const batch_item_ref& ref) -> const batch_job* {
  const auto found = partitions_.find(ref.partition);
  return found == partitions_.end() ? nullptr
                                    : found->second->fold.Find(ref.job);
}

auto batch_service::RunItem(batch_item_ref ref) -> asio::awaitable<void> {
  const auto* queued = queue_.Find(ref);
  const auto* job = FindJob(ref);
  if (queued == nullptr || job == nullptr) {
    queue_.Remove(ref);
    co_return;
  }
  if (host_.deployment == nullptr) {
    queue_.Return(ref, clock::now() + kFailedPause);
    co_return;
  }
  if (RouteOf(job->submission) == nullptr) {
    List(ref, batch_end::kAbandoned, "");
    co_return;
  }
  const auto now = clock::now();
  const auto ticket = host_.placement->NewTicket();
  placement_ask ask{.host = {},
                    .ticket = ticket,
                    .service = queued->service,
                    .workspace = job->submission.workspace,
                    .work = work_class::kBatch,
                    .priority = 0,
                    .takes_token = false,
                    .is_returning = false,
                    .place = {host_.options.data_centre, host_.options.region},
                    .start_by = queued->due,
                    .useless_after = now + kAskLife,
                    .avoided = {}};
  ++asking_;
  auto placed = co_await host_.placement->Place(std::move(ask));
  --asking_;
  if (placed.verdict != placement_verdict::kGranted) {
    queue_.Return(ref, clock::now() + kUnrunPause);
    co_return;
  }
  const auto* found = host_.placement->FindServer(placed.server);
  if (found == nullptr || found->leaving || queue_.Find(ref) == nullptr ||
      host_.draining) {
    host_.placement->End(ticket, run_outcome::kUnused);
    queue_.Return(ref, clock::now());
    co_return;
  }
  // A copy: the registrations may change while the server answers.
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
    host_.placement->End(ticket, run_outcome::kUnused);
    queue_.Remove(ref);
    co_return;
  }
  const auto request = adapter::ItemRequest(*item, job->submission.host);
  const auto started = clock::now();
  const attempt_order order{
      .request = &request,
      .attempt = attempt_id(ref.item.value),
      .server = server,
      .workspace = job->submission.workspace,
      .service = queued->service,
      .deadline = std::min(started + kLongestRun, queued->expires),
      .may_move = false,
      .is_batch = true,
      .is_repeatable = true};
  stream_progress progress{.last_event = queued->last_event, .has_head = true};
  std::string output = queued->output;
  const bool is_first_run = queued->last_event == 0;
  item_sink sink(output);
  attempt_handle handle;
  runs_[ref] = &handle;
  ++running_;
  host_.placement->OnPreempt(ticket, [&handle] { handle.Abort(); });
  auto result = co_await RunAttempt(host_, order, progress, handle, sink);
  --running_;
  runs_.erase(ref);
  host_.placement->End(ticket, result.outcome);
  if (result.is_whole && is_first_run) {
    const auto seconds =
        std::chrono::duration<double>(clock::now() - started).count();
    run_seconds_ += kRunWeight * (seconds - run_seconds_);
  }
  TakeRun(ref, result, progress, std::move(output), server.id);
}

auto batch_service::TakeRun(const batch_item_ref& ref,
                            const attempt_result& result,
                            stream_progress progress,
                            std::string output,
                            const server_id& server) -> void {
  auto* queued = queue_.Find(ref);
  if (queued == nullptr) {
    return;  // Listed, ended or moved to another host meanwhile.
  }
  const auto status = result.answer ? result.answer->status : 0;
  LogEvent(log_level::kInfo, log_category::kJob, "item_run_end",
           {{"job", ref.job.value},
            {"item", ref.item.value},
            {"server", server.value},
            {"whole", result.is_whole},
            {"status", status},
            {"from_event", queued->last_event},
            {"last_event", progress.last_event},
            {"outcome", result.is_whole ? "answered" : result.error.message}});
  if (result.is_whole && !result.answer) {
    List(ref, batch_end::kDone, std::move(output));
    return;
  }
  if (status == 422) {
    List(ref, batch_end::kAbandoned, "");
    return;
  }
  if (status == 500) {
    if (queue_.CountFailure(ref)) {
      List(ref, batch_end::kAbandoned, "");
    } else {
      queue_.Return(ref, clock::now() + kFailedPause);
    }
    return;
  }
  queued->last_event = progress.last_event;
  queued->output = std::move(output);
  const bool is_preempted = result.outcome == run_outcome::kLeft;
  queue_.Return(ref, is_preempted ? clock::now() : clock::now() + kUnrunPause);
}

auto batch_service::List(const batch_item_ref& ref,
                         batch_end end,
                         std::string output) -> void {
  const auto found = partitions_.find(ref.partition);
  if (found == partitions_.end()) {
    return;
  }
  if (end == batch_end::kAbandoned) {
    LogEvent(log_level::kWarning, log_category::kJob, "item_abandoned",
             {{"job", ref.job.value}, {"item", ref.item.value}});
  }
  auto record = std::make_shared<pending_record>();
  record->records = {ResultRecord(ref.job, {ref.item, end, std::move(output)})};
  record->lists = ref;
  Write(ref.partition, found->second, std::move(record));
}

auto batch_service::AbortItem(const batch_item_ref& ref) -> void {
  const auto found = runs_.find(ref);
  if (found != runs_.end()) {
    found->second->Abort();
  }
}

namespace {

/** The call that a caller's request makes, without its body. */
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
  auto wait = kSubmitLimit;
  if (caller.call == caller_call::kJobResults) {
    kind = batch_call_kind::kResults;
    wait = std::min(caller.result_wait, kReadLimit);
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

/** Asks the owner of the call's partition, this host or another. */
auto AskOwner(host_state& host, wire::batch_callT call)
    -> asio::awaitable<http_response> {
  const auto* owner = host.view.OwnerOf(partition_id(call.partition));
  if (owner == nullptr) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the job's partition has no owner");
  }
  if (owner->name == host.self.name) {
    co_return co_await host.batch->Answer(call);
  }
  const auto link = host.links.Get(host.LinkOf(*owner));
  if (link == nullptr) {
    co_return FailureAnswer(error_code::kUnavailable,
                            "the owner has no address");
  }
  const auto deadline =
      clock::now() + std::chrono::microseconds(call.wait_us) + kReadLimit;
  const bool is_read =
      static_cast<batch_call_kind>(call.call) != batch_call_kind::kSubmit &&
      static_cast<batch_call_kind>(call.call) != batch_call_kind::kEnd;
  auto message = MakeMessage(std::move(call));
  auto reply = co_await link->Call(std::move(message), deadline);
  const auto* answer = reply ? reply->Ashttp_reply() : nullptr;
  if (answer == nullptr) {
    const bool is_unsent = !reply && reply.error().ran == ran_state::kNo;
    co_return FailureAnswer(
        is_read || is_unsent ? error_code::kUnavailable
                             : error_code::kDeadlineExceeded,
        reply ? "unexpected answer of the owner" : reply.error().message);
  }
  http_response response;
  response.status = answer->status;
  response.headers.Set("Content-Type", answer->content_type);
  response.body = answer->body;
  co_return response;
}

}  // namespace

auto HandleBatchCall(host_state& host,
                     http_exchange& exchange,
                     const caller_request& caller,
                     const workspace_id& workspace) -> asio::awaitable<void> {
  const auto arrived = clock::now();
  auto call = EncodeCall(caller, workspace);
  if (caller.call == caller_call::kServe) {
    call.job = caller.attempt.value;
    auto items = adapter::DecodeItems(exchange.Request().body);
    if (!items || call.job.empty()) {
      co_await exchange.Respond(FailureAnswer(
          error_code::kBadRequest,
          items ? "submission has no name" : items.error().message));
      co_return;
    }
    call.body = EncodeSubmission({.id = batch_id(call.job),
                                  .workspace = workspace,
                                  .host = caller.host,
                                  .path = caller.path,
                                  .submitted = UnixNow(),
                                  .items = std::move(items.value())});
  }
  call.partition =
      PartitionOf(batch_id(call.job), host.options.partitions_per_topic).value;
  const auto job = call.job;
  const auto kind = call.call;
  const auto partition = call.partition;
  auto response = co_await AskOwner(host, std::move(call));
  const auto status = response.status;
  const auto* owner = host.view.OwnerOf(partition_id(partition));
  // Reads come twice a second from every caller; only refused ones are told.
  const bool is_read = caller.call == caller_call::kJobResults ||
                       caller.call == caller_call::kJobItem;
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
    adapter::SetRetryAfter(response.headers, milliseconds(300));
  }
  auto sent = co_await exchange.Respond(std::move(response));
  if (!sent) {
    Log(log_level::kDebug, log_category::kHttp,
        {sent.error().message, sent.error().step, sent.error().peer});
  }
}

}  // namespace dogwood
