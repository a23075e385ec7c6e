#include "src/job_owner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "src/job_record.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Target size of one submit or done record. */
constexpr std::size_t kRecordBytes = 128UL << 10;
/** Least time between two looks for state to rewrite. */
constexpr std::uint64_t kRewritePeriodMs = 250;

/** A duration in whole milliseconds. */
auto Milliseconds(duration d) -> std::uint64_t {
  using std::chrono::milliseconds;
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(d).count());
}

}  // namespace

partition_owner::partition_owner(partition_id partition,
                                 host_id host,
                                 incarnation start,
                                 owner_policy policy)
    : host_(host),
      start_(start),
      policy_(policy),
      fold_(partition),
      queue_(std::move(host), start) {}

auto partition_owner::Claim(log_offset first, unix_ms now) -> void {
  Resign();
  fold_.Reset(first);
  stage_ = owner_stage::kClaiming;
  claim_seq_ = Append(job_record_kind::kClaim, json::object{{"at", now.value}});
}

auto partition_owner::Resign() -> void {
  for (const auto& [item, kind] : running_) {
    aborts_.push_back(item);
  }
  stage_ = owner_stage::kIdle;
  claim_seq_ = 0;
  keep_seq_ = 0;
  lines_.clear();
  running_.clear();
  attempts_.clear();
  results_.clear();
  result_bytes_ = 0;
  starting_.clear();
  starting_queued_.clear();
}

auto partition_owner::Append(job_record_kind kind, json::object fields)
    -> std::uint64_t {
  const auto writer = queue_.NextWriter();
  queue_.Push(writer.seq, FormatRecord(kind, writer, std::move(fields)));
  return writer.seq;
}

auto partition_owner::Submit(const job_submission& submission, unix_ms now)
    -> std::uint64_t {
  json::array items;
  std::size_t bytes = 0;
  std::uint64_t parts = 0;
  std::string upload;
  const auto flush = [&] {
    const auto writer = queue_.NextWriter();
    if (upload.empty()) {
      upload = host_.value + "/" + std::to_string(start_.value) + "/" +
               std::to_string(writer.seq);
    }
    json::object fields{
        {"upload", upload}, {"part", parts}, {"items", std::move(items)}};
    queue_.Push(writer.seq, FormatRecord(job_record_kind::kSubmit, writer,
                                         std::move(fields)));
    items = json::array();
    bytes = 0;
    ++parts;
  };
  for (const auto& item : submission.items) {
    const auto size =
        item.custom_id.size() + item.url.size() + EscapedSize(item.body);
    if (bytes > 0 && bytes + size > kRecordBytes) {
      flush();
    }
    items.push_back(ItemFields(item));
    bytes += size;
  }
  flush();
  return Append(job_record_kind::kCommit,
                json::object{{"upload", upload},
                             {"parts", parts},
                             {"workspace", submission.workspace.value},
                             {"key", submission.key},
                             {"digest", submission.digest},
                             {"at", now.value}});
}

auto partition_owner::Cancel(log_offset job, unix_ms now) -> std::uint64_t {
  const auto keep_until = now.value + Milliseconds(policy_.result_retention);
  return Append(
      job_record_kind::kCancel,
      json::object{
          {"job", job.value}, {"at", now.value}, {"keep_until", keep_until}});
}

auto partition_owner::Apply(log_offset offset, std::string_view record)
    -> fold_report {
  auto report = fold_.Apply(offset, record);
  const bool mine =
      report.writer.host == host_ && report.writer.start == start_;
  if (mine && report.writer.seq == keep_seq_) {
    keep_seq_ = 0;
  }
  if (report.verdict != apply_status::kApplied) {
    return report;
  }
  if (report.kind == job_record_kind::kClaim) {
    OnClaim(report);
    return report;
  }
  if (stage_ != owner_stage::kOwning) {
    return report;
  }
  switch (report.kind) {
    case job_record_kind::kCommit:
      Enqueue(*fold_.Find(*report.job));
      break;
    case job_record_kind::kCancel:
    case job_record_kind::kDrop:
      DropJob(*report.job);
      break;
    case job_record_kind::kStarted:
      for (const auto& item : report.items) {
        if (starting_queued_.erase(item) != 0) {
          LineOf(item).cleared.push_back(item);
        }
      }
      break;
    case job_record_kind::kDone:
      for (const auto& item : report.items) {
        Settle(item);
      }
      break;
    default:
      break;
  }
  return report;
}

auto partition_owner::OnClaim(const fold_report& report) -> void {
  const bool mine = report.writer.host == host_ &&
                    report.writer.start == start_ &&
                    report.writer.seq == claim_seq_;
  if (mine) {
    claim_seq_ = 0;
    if (stage_ == owner_stage::kClaiming) {
      stage_ = owner_stage::kOwning;
      TakeOver();
    }
  } else if (stage_ == owner_stage::kOwning) {
    // What this owner has queued is void, and the other one may end the items
    // that it finds started.
    Resign();
    stage_ = owner_stage::kLost;
  }
}

auto partition_owner::TakeOver() -> void {
  for (const auto& [id, job] : fold_.Jobs()) {
    if (job.cancelled) {
      continue;
    }
    Enqueue(job);
    for (std::uint32_t i = 0; i < job.items.size(); ++i) {
      if (job.items[i].state == item_state::kStarted) {
        const item_ref ref{id, i};
        const auto request = RunOf(ref).request;
        Unsettle(ref, true,
                 ErrorLine(request.custom_id, "outcome_unknown",
                           "outcome unknown: the host that sent this item was "
                           "lost, and it may not be repeated"));
      }
    }
  }
}

auto partition_owner::Enqueue(const job_state& job) -> void {
  for (std::uint32_t i = 0; i < job.items.size(); ++i) {
    const auto& item = job.items[i];
    if (item.state == item_state::kQueued) {
      auto& line = lines_[job.targets[item.target]];
      const auto added = line.workspaces.try_emplace(job.workspace);
      if (added.second) {
        added.first->second.pass = line.pass;
      }
      added.first->second.jobs[job.id].ready.push_back(i);
    }
  }
}

auto partition_owner::Settle(const item_ref& item) -> void {
  const auto found = results_.find(item);
  if (found != results_.end()) {
    result_bytes_ -= found->second.result.line.size();
    results_.erase(found);
  }
  attempts_.erase(item);
}

auto partition_owner::DropJob(log_offset job) -> void {
  const auto of_job = [job](const auto& entry) {
    return entry.first.job == job;
  };
  const auto is_job = [job](const item_ref& item) { return item.job == job; };
  for (const auto& [item, kind] : running_) {
    if (item.job == job) {
      aborts_.push_back(item);
    }
  }
  std::erase_if(running_, of_job);
  std::erase_if(attempts_, of_job);
  std::erase_if(starting_, is_job);
  std::erase_if(starting_queued_, is_job);
  for (auto entry = results_.begin(); entry != results_.end();) {
    const bool match = entry->first.job == job;
    result_bytes_ -= match ? entry->second.result.line.size() : 0;
    entry = match ? results_.erase(entry) : std::next(entry);
  }
  for (auto& [target, line] : lines_) {
    std::erase_if(line.cleared, is_job);
    std::erase_if(line.cleared_delayed,
                  [job](const auto& entry) { return entry.second.job == job; });
    for (auto& [workspace, jobs] : line.workspaces) {
      jobs.jobs.erase(job);
    }
  }
}

auto partition_owner::StartAppend(unix_ms now) -> std::vector<std::string> {
  if (MayFence()) {
    QueueStarted();
    QueueResults(now);
    QueueDrops(now);
    QueueRewriting(now);
  }
  return queue_.Take(policy_.append_bytes);
}

auto partition_owner::QueueStarted() -> void {
  if (starting_.empty()) {
    return;
  }
  const std::vector<item_ref> items(starting_.begin(), starting_.end());
  Append(job_record_kind::kStarted,
         StartedFields(*fold_.current_epoch(), items));
  starting_queued_.insert(items.begin(), items.end());
  starting_.clear();
}

auto partition_owner::QueueResults(unix_ms now) -> void {
  const unix_ms keep_until(now.value + Milliseconds(policy_.result_retention));
  std::vector<item_result> batch;
  std::size_t bytes = 0;
  const auto flush = [&] {
    Append(job_record_kind::kDone,
           DoneFields(*fold_.current_epoch(), now, keep_until, batch));
    batch.clear();
    bytes = 0;
  };
  for (auto& [item, entry] : results_) {
    if (entry.queued) {
      continue;
    }
    const auto size = EscapedSize(entry.result.line);
    if (bytes > 0 && bytes + size > kRecordBytes) {
      flush();
    }
    entry.queued = true;
    batch.push_back(entry.result);
    bytes += size;
  }
  if (!batch.empty()) {
    flush();
  }
}

auto partition_owner::QueueDrops(unix_ms now) -> void {
  if (keep_seq_ != 0 || now < next_rewrite_) {
    return;
  }
  for (const auto id : fold_.Expired(now)) {
    const auto* job = fold_.Find(id);
    keep_seq_ = Append(job_record_kind::kDrop,
                       json::object{{"epoch", fold_.current_epoch()->value},
                                    {"job", id.value},
                                    {"workspace", job->workspace.value},
                                    {"key", job->key}});
  }
}

auto partition_owner::QueueRewriting(unix_ms now) -> void {
  if (keep_seq_ != 0 || now < next_rewrite_) {
    return;
  }
  next_rewrite_ = unix_ms(now.value + kRewritePeriodMs);
  const auto age = Milliseconds(policy_.rewrite_after);
  const auto before =
      fold_.OffsetBefore(unix_ms(now.value > age ? now.value - age : 0));
  if (fold_.base_from() >= before) {
    return;
  }
  // A round rewrites what depends on records before the current claim. It is
  // finished before the next one begins.
  if (fold_.current_epoch()->value == fold_.base_from().value) {
    claim_seq_ =
        Append(job_record_kind::kClaim, json::object{{"at", now.value}});
    return;
  }
  if (fold_.IsRewritten()) {
    keep_seq_ = Append(job_record_kind::kBase, fold_.BaseFields());
    return;
  }
  const auto budget = static_cast<std::size_t>(
      static_cast<double>(policy_.append_bytes) * policy_.rewrite_share);
  const auto write = [this](json::object fields) {
    const auto writer = queue_.NextWriter();
    keep_seq_ = writer.seq;
    return FormatRecord(job_record_kind::kKeep, writer, std::move(fields));
  };
  auto first = queue_.last_seq() + 1;
  for (auto& record : fold_.RecordsToRewrite(budget, write)) {
    queue_.Push(first++, std::move(record));
  }
}

auto partition_owner::IsFlushed() const -> bool {
  return queue_.IsEmpty() && results_.empty();
}

}  // namespace dogwood
