#include "src/batch_projection.h"

#include <algorithm>
#include <utility>

namespace dogwood {

auto batch_job::OpenTokens() const -> std::uint64_t {
  std::uint64_t tokens = 0;
  for (const auto& item : submission.items) {
    if (!ended && !listed.contains(item.id)) {
      tokens += item.tokens;
    }
  }
  return tokens;
}

auto batch_job::FindItem(const batch_item_id& item) const -> const batch_item* {
  const auto found = index.find(item);
  return found == index.end() ? nullptr : &submission.items[found->second];
}

auto batch_job::ProgressOf(const batch_item_id& item) const
    -> const batch_progress& {
  static const batch_progress kNone;
  const auto found = progress.find(item);
  return found == progress.end() ? kNone : found->second;
}

auto batch_job::FailedRunsOf(const batch_item_id& item) const
    -> const std::set<batch_run_id>& {
  static const std::set<batch_run_id> kNone;
  const auto found = failed_runs.find(item);
  return found == failed_runs.end() ? kNone : found->second;
}

auto batch_partition::Reset(log_offset first) -> void {
  next_ = first;
  jobs_.clear();
  parts_.clear();
  sections_.clear();
  section_count_ = 0;
}

auto batch_partition::Apply(std::string_view record) -> batch_change {
  ++next_.value;
  auto parsed = ParseBatchRecord(record);
  if (!parsed) {
    return {};
  }
  if (const auto* section = std::get_if<record_section>(&*parsed)) {
    return ApplySection(*section);
  }
  return ApplyRecord(std::move(*parsed));
}

auto batch_partition::ApplyRecord(batch_record record) -> batch_change {
  if (auto* part = std::get_if<submission_part>(&record)) {
    return ApplyPart(std::move(*part));
  }
  if (auto* result = std::get_if<result_record>(&record)) {
    return ApplyResult(std::move(*result));
  }
  if (auto* progress = std::get_if<progress_record>(&record)) {
    return ApplyProgress(std::move(*progress));
  }
  if (const auto* failure = std::get_if<failure_record>(&record)) {
    return ApplyFailure(*failure);
  }
  if (const auto* end = std::get_if<end_record>(&record)) {
    return ApplyEnd(*end);
  }
  return {};  // A section within sections.
}

auto batch_partition::ApplySection(const record_section& section)
    -> batch_change {
  if (section.number == 0) {
    sections_.clear();
    section_count_ = 0;
  }
  if (section.number != section_count_) {
    return {};  // The record is damaged: its sections are appended together.
  }
  sections_ += section.bytes;
  ++section_count_;
  if (section_count_ < section.count) {
    return {};
  }
  auto joined = ParseBatchRecord(std::exchange(sections_, {}));
  section_count_ = 0;
  return joined ? ApplyRecord(std::move(*joined)) : batch_change();
}

auto batch_partition::ApplyPart(submission_part part) -> batch_change {
  auto& parts = parts_[part.job];
  if (part.part != parts.size()) {
    // The submission is damaged: its parts are appended together, in order.
    parts_.erase(part.job);
    return {};
  }
  parts.push_back(std::move(part.bytes));
  if (parts.size() < part.parts) {
    return {};
  }
  std::string bytes;
  for (const auto& piece : parts) {
    bytes += piece;
  }
  parts_.erase(part.job);
  auto submission = DecodeSubmission(bytes);
  if (!submission || jobs_.contains(part.job)) {
    return {};
  }
  auto& job = jobs_[part.job];
  job.submission = std::move(submission.value());
  for (std::size_t i = 0; i < job.submission.items.size(); ++i) {
    job.index.emplace(job.submission.items[i].id, i);
  }
  batch_change change;
  change.opened = part.job;
  return change;
}

auto batch_partition::ApplyResult(result_record record) -> batch_change {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) {
    return {};
  }
  auto& job = found->second;
  const auto item = record.result.item;
  if (!job.index.contains(item) || !job.listed.insert(item).second) {
    return {};
  }
  job.results.push_back(std::move(record.result));
  job.progress.erase(item);
  job.failed_runs.erase(item);
  batch_change change;
  change.listed = std::pair(record.job, item);
  return change;
}

auto batch_partition::ApplyProgress(progress_record record) -> batch_change {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) {
    return {};
  }
  auto& job = found->second;
  const auto& recorded = job.ProgressOf(record.item);
  if (job.ended || !job.index.contains(record.item) ||
      job.listed.contains(record.item) ||
      record.after_event != recorded.last_event ||
      record.added.last_event <= recorded.last_event) {
    return {};
  }
  auto& progress = job.progress[record.item];
  progress.last_event = record.added.last_event;
  progress.output += record.added.output;
  batch_change change;
  change.progressed = std::pair(record.job, record.item);
  return change;
}

auto batch_partition::ApplyFailure(const failure_record& record)
    -> batch_change {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) {
    return {};
  }
  auto& job = found->second;
  if (job.ended || !job.index.contains(record.item) ||
      job.listed.contains(record.item) ||
      !job.failed_runs[record.item].insert(record.run).second) {
    return {};
  }
  batch_change change;
  change.failed = std::pair(record.job, record.item);
  return change;
}

auto batch_partition::ApplyEnd(const end_record& record) -> batch_change {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end() || found->second.ended) {
    return {};
  }
  found->second.ended = true;
  found->second.progress.clear();
  found->second.failed_runs.clear();
  batch_change change;
  change.ended = record.job;
  return change;
}

auto batch_partition::Forget(unix_ms before) -> void {
  std::erase_if(jobs_, [before](const auto& entry) {
    return entry.second.IsClosed() &&
           entry.second.submission.submitted < before;
  });
}

auto batch_partition::Find(const batch_id& job) const -> const batch_job* {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

auto batch_partition::Results(const batch_job& job,
                              std::size_t first,
                              std::size_t bytes)
    -> std::span<const batch_result> {
  const std::span<const batch_result> all(job.results);
  if (first >= all.size()) {
    return {};
  }
  std::size_t count = 0;
  std::size_t size = 0;
  for (const auto& result : all.subspan(first)) {
    size += result.output.size();
    if (count > 0 && size > bytes) {
      break;
    }
    ++count;
  }
  return all.subspan(first, count);
}

}  // namespace dogwood
