/** Logs of the batch partitions: replay, appends and takeover. */
#include "src/hostd_batch.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/hostd_base.h"
#include "src/wall_clock.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/** Timeout of a store call. */
constexpr milliseconds kStoreTimeout{1500};
/** Backoff after a failed store call. */
constexpr milliseconds kStoreBackoff{150};
/** Backoff of a partition's appends after the store was full. All partitions of
 * the largest site together, 576, then stay within its rate of calls. */
constexpr milliseconds kFullStoreBackoff{1000};
/** Delay of the first re-read after a takeover, and of the second after the
 * first. Their sum exceeds the lifetime of a membership. */
constexpr milliseconds kFirstRereadDelay{800};
constexpr milliseconds kSecondRereadDelay{1500};
/** The progress of runs may be written for this long after their partition has
 * moved to another host, whose re-reads come later than that. */
constexpr milliseconds kWriteGrace{600};
/** Jobs are deleted this long after the retention time of their results. */
constexpr std::chrono::seconds kRetentionMargin{15};

}  // namespace

auto batch_service::MayWrite(const owned_partition& partition) -> bool {
  return partition.is_owned || clock::now() < partition.writable_until;
}

auto batch_service::OwnershipChanged() -> void {
  changes_.RecordView(host_.view, host_.layout, clock::now());
  for (auto it = partitions_.begin(); it != partitions_.end();) {
    if (host_.owned.contains(it->first)) {
      // Another host may have owned the partition between the two views.
      if (it->second->is_loaded) {
        it->second->is_loaded = false;
        asio::co_spawn(host_.io, Load(it->first, it->second), LogException);
      }
      ++it;
      continue;
    }
    RecordProgress(it->first, it->second);
    it->second->is_owned = false;
    it->second->writable_until = clock::now() + kWriteGrace;
    it->second->changed.Notify();
    std::vector<batch_item_ref> aborted;
    for (const auto& [ref, run] : runs_) {
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
    asio::co_spawn(host_.io, Load(id, partition), LogException);
  }
}

auto batch_service::Load(partition_id id, partition_ptr partition)
    -> asio::awaitable<void> {
  const auto version = ++partition->load_version;
  while (partition->is_owned && !partition->is_loaded) {
    const bool is_read = co_await CatchUp(id, partition);
    if (!partition->is_owned) {
      co_return;  // Lost during the read; the items belong to another host.
    }
    if (is_read) {
      partition->is_loaded = true;
      if (!partition->projection.Jobs().empty()) {
        LogEvent(log_level::kInfo, log_category::kJob, "partition_loaded",
                 {{"partition", id.value},
                  {"offset", partition->projection.next().value},
                  {"jobs", partition->projection.Jobs().size()}});
      }
      for (const auto& [job, state] : partition->projection.Jobs()) {
        DropItems(id, state);
        QueueItems(id, state);
      }
      partition->changed.Notify();
    } else {
      co_await Sleep(kStoreBackoff);
    }
  }
  // The previous owner may have written until it learned of the change.
  for (const auto pause : {kFirstRereadDelay, kSecondRereadDelay}) {
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
  const auto where = LocatePartition(id, host_.layout);
  while (MayWrite(*partition)) {
    const auto from = partition->projection.next();
    auto page = co_await partition->client.Read(where, from, milliseconds(0),
                                                clock::now() + kStoreTimeout);
    if (!page) {
      Log(log_level::kWarning, log_category::kJob,
          {"partition " + std::to_string(id.value) + ": " +
               page.error().message,
           page.error().step, "store"});
      co_return false;
    }
    if (page->first > from) {
      // The records were deleted after their retention; they are older than any
      // open job.
      partition->projection.Reset(page->first);
      continue;
    }
    ApplyRecords(id, *partition, page->records);
    if (partition->projection.next() >= page->end) {
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
    ApplyChange(id, partition, partition.projection.Apply(record));
  }
  if (!records.empty()) {
    partition.changed.Notify();
  }
}

auto batch_service::ApplyChange(partition_id id,
                                owned_partition& partition,
                                const batch_change& change) -> void {
  if (!partition.is_owned || !partition.is_loaded) {
    return;  // Load() queues the items of all jobs when it is done.
  }
  if (change.opened) {
    QueueItems(id, *partition.projection.Find(*change.opened));
  }
  if (change.listed) {
    const batch_item_ref ref{id, change.listed->first, change.listed->second};
    queue_.Remove(ref);
    AbortItem(ref);
  }
  if (change.progressed) {
    // The previous owner may have written it after the takeover.
    const auto& [job, item] = *change.progressed;
    ApplyProgress({id, job, item},
                  partition.projection.Find(job)->ProgressOf(item));
  }
  if (change.failed) {
    const auto& [job, item] = *change.failed;
    queue_.CountFailures({id, job, item},
                         partition.projection.Find(job)->FailedRunsOf(item));
  }
  if (change.ended) {
    DropItems(id, *partition.projection.Find(*change.ended));
  }
}

auto batch_service::SettlePending(owned_partition& partition) -> void {
  for (auto it = partition.pending.begin(); it != partition.pending.end();) {
    auto& record = **it;
    bool is_in_log = false;
    if (record.submitted_job) {
      is_in_log = partition.projection.Find(*record.submitted_job) != nullptr;
    } else if (record.ended_job) {
      const auto* job = partition.projection.Find(*record.ended_job);
      is_in_log = job == nullptr || job->ended;
    } else if (record.result_item) {
      const auto* job = partition.projection.Find(record.result_item->job);
      is_in_log =
          job == nullptr || job->listed.contains(record.result_item->item);
    } else if (record.progress_item) {
      const auto* job = partition.projection.Find(record.progress_item->job);
      const auto& item = record.progress_item->item;
      is_in_log = job == nullptr || job->IsClosed() ||
                  job->listed.contains(item) ||
                  job->ProgressOf(item).last_event != record.after_event;
    } else if (record.failed_item) {
      const auto* job = partition.projection.Find(record.failed_item->job);
      const auto& item = record.failed_item->item;
      is_in_log = job == nullptr || job->IsClosed() ||
                  job->listed.contains(item) ||
                  job->FailedRunsOf(item).contains(record.failed_run);
    }
    if (is_in_log) {
      record.is_settled = true;
      it = partition.pending.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(accepting_, [now = clock::now()](const auto& entry) {
    return now >= entry.second.counted_until;
  });
  partition.projection.Forget(unix_ms(
      UnixNow().value -
      static_cast<std::uint64_t>(
          (host_.options.result_retention + kRetentionMargin).count())));
  partition.changed.Notify();
}

auto batch_service::Write(partition_id id,
                          partition_ptr partition,
                          std::shared_ptr<pending_record> record) -> void {
  partition->pending.push_back(std::move(record));
  if (!partition->is_writing) {
    partition->is_writing = true;
    asio::co_spawn(host_.io, WriteLoop(id, partition), AbortOnException);
  }
}

auto batch_service::WriteLoop(partition_id id, partition_ptr partition)
    -> asio::awaitable<void> {
  while (MayWrite(*partition) && !partition->pending.empty()) {
    const bool is_appended = co_await AppendOnce(id, partition);
    if (!is_appended) {
      const duration until_room = partition->full_until - clock::now();
      co_await Sleep(std::max<duration>(kStoreBackoff, until_room));
    }
  }
  partition->is_writing = false;
}

auto batch_service::AppendOnce(partition_id id, partition_ptr partition)
    -> asio::awaitable<bool> {
  const auto section = co_await partition->store_calls.Enter();
  SettlePending(*partition);
  if (partition->pending.empty()) {
    co_return true;
  }
  if (clock::now() >= host_.member_until && !host_.draining) {
    // The membership lease has expired; another host may own the partition.
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
    const bool is_full =
        partition->appends_singly ||
        bytes + size > host_.options.store_limits.append_bytes / 2;
    if (!records.empty() && is_full) {
      break;
    }
    bytes += size;
    records.insert(records.end(), record->records.begin(),
                   record->records.end());
    sent.push_back(record);
  }
  const auto where = LocatePartition(id, host_.layout);
  const std::optional<log_offset> at = partition->projection.next();
  auto appended = co_await partition->client.Append(
      where, records, at, clock::now() + kStoreTimeout);
  if (appended && appended->first == *at) {
    partition->appends_singly = false;
    ApplyRecords(id, *partition, records);
    SettlePending(*partition);
    co_return true;
  }
  if (!appended && appended.error().code == error_code::kTooLarge) {
    HandleTooLarge(id, *partition, sent);
    co_return true;
  }
  if (!appended && appended.error().code == error_code::kStoreFull) {
    HandleFull(id, *partition);
    co_return false;
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
  // Another host has written, or an earlier append of this host took effect
  // although its answer was lost.
  const bool is_read = co_await ReadToEnd(id, partition);
  SettlePending(*partition);
  co_return is_read;
}

auto batch_service::HandleTooLarge(
    partition_id id,
    owned_partition& partition,
    const std::vector<std::shared_ptr<pending_record>>& sent) -> void {
  if (sent.size() > 1) {
    partition.appends_singly = true;  // Finds the one that is too large.
    return;
  }
  // Kept in the queue, it would block all others of the partition.
  const auto& record = sent.front();
  partition.pending.remove(record);
  record->refusal = error_code::kTooLarge;
  Log(log_level::kError, log_category::kJob,
      {"partition " + std::to_string(id.value) +
           ": the store does not take a record of the size that the settings "
           "allow; it is dropped",
       "append to log", "store"});
  if (record->result_item) {
    HandleFailedRun(*record->result_item);
  }
  partition.changed.Notify();
}

auto batch_service::HandleFull(partition_id id, owned_partition& partition)
    -> void {
  partition.full_until = clock::now() + kFullStoreBackoff;
  std::size_t refused = 0;
  for (auto it = partition.pending.begin(); it != partition.pending.end();) {
    auto& record = **it;
    if (record.submitted_job && !record.may_be_in_log) {
      record.refusal = error_code::kStoreFull;
      ++refused;
      it = partition.pending.erase(it);
    } else {
      ++it;
    }
  }
  LogEvent(log_level::kWarning, log_category::kJob, "store_full",
           {{"partition", id.value},
            {"refused_jobs", refused},
            {"waiting_records", partition.pending.size()}});
  partition.changed.Notify();
}

auto batch_service::RecordResult(const batch_item_ref& ref,
                                 batch_item_outcome end,
                                 std::string output) -> void {
  const auto found = partitions_.find(ref.partition);
  if (found == partitions_.end()) {
    return;
  }
  if (end == batch_item_outcome::kAbandoned) {
    LogEvent(log_level::kWarning, log_category::kJob, "item_abandoned",
             {{"job", ref.job.value}, {"item", ref.item.value}});
  }
  auto record = std::make_shared<pending_record>();
  record->records = SplitRecordToFit(
      ResultRecord(ref.job, {ref.item, end, std::move(output)}),
      host_.options.store_limits.record_bytes);
  record->result_item = ref;
  Write(ref.partition, found->second, std::move(record));
}

auto batch_service::RecordFailure(const batch_item_ref& ref, batch_run_id run)
    -> void {
  const auto found = partitions_.find(ref.partition);
  if (found == partitions_.end()) {
    return;
  }
  auto record = std::make_shared<pending_record>();
  record->records = {FailureRecord(ref.job, ref.item, run)};
  record->failed_item = ref;
  record->failed_run = run;
  Write(ref.partition, found->second, std::move(record));
}

auto batch_service::ApplyProgress(const batch_item_ref& ref,
                                  const batch_progress& recorded) -> void {
  auto* queued = queue_.Find(ref);
  if (queued != nullptr && !queued->running &&
      queued->progress.last_event < recorded.last_event) {
    queued->progress = recorded;
  }
}

auto batch_service::RecordItem(const batch_item_ref& ref,
                               const partition_ptr& partition,
                               std::uint64_t last_event,
                               const std::string& output) -> void {
  const auto* job = partition->projection.Find(ref.job);
  if (job == nullptr || job->listed.contains(ref.item)) {
    return;
  }
  const auto& recorded = job->ProgressOf(ref.item);
  const bool is_pending =
      std::ranges::any_of(partition->pending, [&ref](const auto& record) {
        return record->progress_item == ref || record->result_item == ref;
      });
  if (is_pending || last_event <= recorded.last_event ||
      !output.starts_with(recorded.output)) {
    return;
  }
  auto record = std::make_shared<pending_record>();
  record->records = SplitRecordToFit(
      ProgressRecord(ref.job, ref.item, recorded, {last_event, output}),
      host_.options.store_limits.record_bytes);
  record->progress_item = ref;
  record->after_event = recorded.last_event;
  Write(ref.partition, partition, std::move(record));
}

auto batch_service::RecordProgress(partition_id id,
                                   const partition_ptr& partition) -> void {
  for (const auto& [job_id, job] : partition->projection.Jobs()) {
    if (job.IsClosed()) {
      continue;
    }
    for (const auto& item : job.submission.items) {
      const batch_item_ref ref{id, job_id, item.id};
      const auto run = runs_.find(ref);
      const auto* queued = queue_.Find(ref);
      if (run != runs_.end()) {
        RecordItem(ref, partition, run->second.progress->last_event,
                   *run->second.output);
      } else if (queued != nullptr) {
        RecordItem(ref, partition, queued->progress.last_event,
                   queued->progress.output);
      }
    }
  }
}

auto batch_service::HandOver(time_point deadline) -> asio::awaitable<void> {
  // Copied because ownership may change during the waits.
  const auto partitions = partitions_;
  for (const auto& [id, kept] : partitions) {
    RecordProgress(id, kept);
  }
  for (const auto& [ref, run] : runs_) {
    run.handle->Abort();
  }
  for (const auto& [id, kept] : partitions) {
    while (!kept->pending.empty() && clock::now() < deadline) {
      co_await kept->changed.Wait(deadline);
    }
  }
}

}  // namespace dogwood
