#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/job_base.h"
#include "src/job_record.h"
#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Number of records between two removals of expired uploads and unmatched
 * references. */
constexpr std::uint64_t kSweepInterval = 512;
/** Minimum time between two time markers. */
constexpr std::uint64_t kMinMarkerIntervalMs = 10000;
/** Maximum number of time markers; beyond it every second one is removed. */
constexpr std::size_t kMaxMarkers = 2048;

/** Returns whether state that refers to offset `begin` has expired at offset
 * `now`. */
auto IsExpired(log_offset begin, log_offset now) -> bool {
  return now.value - begin.value > kMaxRecordDistance;
}

/** Returns the objects in an array field. */
auto ObjectsOf(const json::object& fields, std::string_view name)
    -> std::vector<const json::object*> {
  std::vector<const json::object*> objects;
  const auto* value = fields.if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return objects;
  }
  for (const auto& element : value->get_array()) {
    if (element.is_object()) {
      objects.push_back(&element.get_object());
    }
  }
  return objects;
}

/** Returns whether a field is true. */
auto FlagField(const json::object& fields, std::string_view name) -> bool {
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

/** Parses a writer. Its host is empty if the fields have none. */
auto WriterOf(const json::object& fields) -> record_writer {
  record_writer writer;
  writer.host = host_id(std::string(TextField(fields, "host")));
  writer.start = incarnation(NumberField(fields, "start"));
  writer.seq = NumberField(fields, "seq");
  return writer;
}

/** Parses an item reference of a started or done record. */
auto RefOf(const json::object& fields) -> item_ref {
  return {log_offset(NumberField(fields, "job")),
          static_cast<std::uint32_t>(NumberField(fields, "index"))};
}

/** Returns the index of `target` in the job's list; adds it if missing. */
auto TargetIndex(job_state& job, const std::string& target) -> std::uint32_t {
  const auto found = std::find(job.targets.begin(), job.targets.end(), target);
  const auto index = found - job.targets.begin();
  if (found == job.targets.end()) {
    job.targets.push_back(target);
  }
  return static_cast<std::uint32_t>(index);
}

}  // namespace

/** Applies one record to a partition. */
class job_projection {
 public:
  job_projection(job_partition& p, log_offset offset)
      : p_(p), offset_(offset) {}

  /** Applies the record with these fields. Must be called once. */
  auto ApplyFields(const json::object& fields) -> apply_report {
    report_.kind = JobRecordKindOf(TextField(fields, "kind"));
    const auto* writer = fields.if_contains("writer");
    if (writer != nullptr && writer->is_object()) {
      report_.writer = WriterOf(writer->get_object());
    }
    report_.verdict = CheckSequence();
    if (report_.verdict == apply_status::kApplied) {
      DiscardOtherUpload(TextField(fields, "upload"));
      report_.verdict = ApplyByKind(fields);
    }
    return std::move(report_);
  }

 private:
  /** Rejects records that the writer has sent twice and records of an earlier
   * start of the writer. */
  auto CheckSequence() -> apply_status {
    const auto& writer = report_.writer;
    if (report_.kind == job_record_kind::kUnknown ||
        writer.host.value.empty()) {
      return apply_status::kInvalid;
    }
    auto& [start, seq] = p_.last_seq_[writer.host];
    if (writer.start < start) {
      return apply_status::kStale;
    }
    if (writer.start == start && writer.seq <= seq) {
      return apply_status::kDuplicate;
    }
    start = writer.start;
    seq = writer.seq;
    return apply_status::kApplied;
  }

  /** Discards the writer's upload if this record does not belong to it. */
  auto DiscardOtherUpload(std::string_view name) -> void {
    const auto found = p_.uploads_.find(report_.writer.host);
    if (found != p_.uploads_.end() && found->second.name != name) {
      p_.uploads_.erase(found);
    }
  }

  /** Applies the record by its kind. Records written by an owner are fenced:
   * they must carry the current epoch. */
  auto ApplyByKind(const json::object& fields) -> apply_status {
    switch (report_.kind) {
      case job_record_kind::kClaim:
        return ApplyClaim(fields);
      case job_record_kind::kSubmit:
        return ApplySubmit(fields);
      case job_record_kind::kCommit:
        return ApplyCommit(fields);
      case job_record_kind::kCancel:
        return ApplyCancel(fields);
      default:
        break;
    }
    if (!p_.epoch_ || NumberField(fields, "epoch") != p_.epoch_->value) {
      return apply_status::kStale;
    }
    switch (report_.kind) {
      case job_record_kind::kStarted:
        return ApplyStarted(fields);
      case job_record_kind::kDone:
        return ApplyDone(fields);
      case job_record_kind::kKeep:
        return ApplyKeep(fields);
      case job_record_kind::kBase:
        return ApplyBase(fields);
      default:
        return ApplyDrop(fields);
    }
  }

  auto ApplyClaim(const json::object& fields) -> apply_status {
    p_.epoch_ = epoch(offset_.value);
    p_.claimant_ = report_.writer;
    if (!p_.is_complete_ && p_.uncertain_before_.value == 0) {
      p_.uncertain_before_ = offset_;
    }
    AddTimeMarker(fields);
    return apply_status::kApplied;
  }

  auto ApplySubmit(const json::object& fields) -> apply_status {
    const std::string name(TextField(fields, "upload"));
    auto& upload = p_.uploads_
                       .try_emplace(report_.writer.host,
                                    job_partition::upload{name, offset_, {}})
                       .first->second;
    std::vector<item_request> items;
    for (const auto* item : ObjectsOf(fields, "items")) {
      items.push_back(ItemOf(*item));
    }
    upload.parts[NumberField(fields, "part")] = std::move(items);
    return apply_status::kApplied;
  }

  auto ApplyCommit(const json::object& fields) -> apply_status {
    const workspace_id workspace(std::string(TextField(fields, "workspace")));
    const std::string key(TextField(fields, "key"));
    const auto digest = TextField(fields, "digest");
    auto upload = p_.uploads_.extract(report_.writer.host);
    const auto* earlier = p_.FindByKey(workspace, key);
    if (earlier != nullptr && earlier->rebuild_from >= p_.uncertain_before_) {
      report_.job = earlier->id;
      return earlier->digest == digest ? apply_status::kDuplicate
                                       : apply_status::kConflict;
    }
    if (upload.empty() || IsExpired(upload.mapped().first, offset_) ||
        upload.mapped().parts.size() != NumberField(fields, "parts")) {
      return apply_status::kInvalid;
    }
    job_state job;
    job.id = offset_;
    job.workspace = workspace;
    job.key = key;
    job.digest = digest;
    job.created = unix_ms(NumberField(fields, "at"));
    job.rebuild_from = upload.mapped().first;
    for (auto& [number, items] : upload.mapped().parts) {
      for (auto& item : items) {
        AddItem(job, item);
      }
    }
    report_.job = offset_;
    p_.by_key_.emplace(std::pair(workspace, key), offset_);
    p_.jobs_.emplace(offset_, std::move(job));
    AddTimeMarker(fields);
    return apply_status::kApplied;
  }

  /** Adds a queued item to a new job. */
  static auto AddItem(job_state& job, const item_request& request) -> void {
    job_item item;
    item.text = json::serialize(ItemFields(request));
    item.rebuild_from = job.rebuild_from;
    item.target = TargetIndex(job, request.target);
    item.state = item_state::kQueued;
    job.items.push_back(std::move(item));
  }

  auto ApplyCancel(const json::object& fields) -> apply_status {
    const log_offset id(NumberField(fields, "job"));
    report_.job = id;
    RecordHeaderReference(id);
    auto* job = FindJob(id);
    if (job == nullptr) {
      return apply_status::kInvalid;
    }
    job->cancelled = true;
    ExtendRetention(*job, fields);
    return apply_status::kApplied;
  }

  auto ApplyStarted(const json::object& fields) -> apply_status {
    for (const auto* element : ObjectsOf(fields, "items")) {
      const auto ref = RefOf(*element);
      RecordItemReference(ref);
      auto* job = FindJob(ref.job);
      auto* item = FindItem(job, ref.index);
      if (item != nullptr && !job->cancelled &&
          item->state == item_state::kQueued) {
        item->state = item_state::kStarted;
        report_.items.push_back(ref);
      }
    }
    return apply_status::kApplied;
  }

  auto ApplyDone(const json::object& fields) -> apply_status {
    for (const auto* element : ObjectsOf(fields, "items")) {
      const auto ref = RefOf(*element);
      RecordItemReference(ref);
      report_.items.push_back(ref);
      auto* job = FindJob(ref.job);
      if (job == nullptr) {
        continue;
      }
      ExtendRetention(*job, fields);
      auto* item = FindItem(job, ref.index);
      const bool is_open = item != nullptr && !job->cancelled &&
                           (item->state == item_state::kQueued ||
                            item->state == item_state::kStarted);
      if (is_open) {
        CompleteItem(*job, *item, TextField(*element, "result"),
                     FlagField(*element, "failed"));
      }
    }
    AddTimeMarker(fields);
    return apply_status::kApplied;
  }

  /** Stores the result of an item. */
  static auto CompleteItem(job_state& job,
                           job_item& item,
                           std::string_view result,
                           bool failed) -> void {
    item.text = result;
    item.state = item_state::kCompleted;
    item.failed = failed;
    job.completed += 1;
    job.failed += failed ? 1 : 0;
  }

  auto ApplyKeep(const json::object& fields) -> apply_status {
    const log_offset as_of(NumberField(fields, "as_of"));
    const log_offset id(NumberField(fields, "job"));
    report_.job = id;
    if (as_of > offset_ || IsExpired(as_of, offset_)) {
      return apply_status::kStale;
    }
    auto* job = FindJob(id);
    const auto last_reference =
        job != nullptr ? job->last_reference : p_.unmatched_jobs_[id].header;
    if (last_reference >= as_of) {
      return apply_status::kStale;
    }
    EraseByKey(workspace_id(std::string(TextField(fields, "workspace"))),
               std::string(TextField(fields, "key")), id);
    if (job == nullptr) {
      job = &Restore(id, fields);
    }
    job->rebuild_from = std::max(job->rebuild_from, as_of);
    job->cancelled = job->cancelled || FlagField(fields, "cancelled");
    ExtendRetention(*job, fields);
    for (const auto* element : ObjectsOf(fields, "items")) {
      ApplyKeptItem(*job, *element, as_of);
    }
    return apply_status::kApplied;
  }

  /** Creates a job that is known from keep records only. */
  auto Restore(log_offset id, const json::object& fields) -> job_state& {
    const workspace_id workspace(std::string(TextField(fields, "workspace")));
    const std::string key(TextField(fields, "key"));
    job_state job;
    job.id = id;
    job.workspace = workspace;
    job.key = key;
    job.digest = TextField(fields, "digest");
    job.created = unix_ms(NumberField(fields, "created"));
    job.items.resize(NumberField(fields, "total"));
    auto unmatched_job = p_.unmatched_jobs_.extract(id);
    if (!unmatched_job.empty()) {
      job.last_reference = unmatched_job.mapped().header;
      for (const auto& [index, offset] : unmatched_job.mapped().items) {
        if (index < job.items.size()) {
          job.items[index].last_reference = offset;
        }
      }
    }
    p_.by_key_.emplace(std::pair(workspace, key), id);
    return p_.jobs_.emplace(id, std::move(job)).first->second;
  }

  /** Applies one item of a keep record unless a record has referenced it since.
   * A result is not replaced, except in a replay that is not complete: it may
   * have accepted a second result, as it does not know which epoch was current
   * at the first. */
  auto ApplyKeptItem(job_state& job,
                     const json::object& fields,
                     log_offset as_of) -> void {
    auto* item = FindItem(
        &job, static_cast<std::uint32_t>(NumberField(fields, "index")));
    if (item == nullptr || item->last_reference >= as_of) {
      return;
    }
    const bool is_uncertain = item->rebuild_from < p_.uncertain_before_;
    item->rebuild_from = std::max(item->rebuild_from, as_of);
    if (item->state == item_state::kCompleted) {
      if (!is_uncertain) {
        return;
      }
      job.completed -= 1;
      job.failed -= item->failed ? 1 : 0;
    }
    const auto state = TextField(fields, "state");
    const auto text = TextField(fields, "text");
    if (state == "done") {
      CompleteItem(job, *item, text, FlagField(fields, "failed"));
      return;
    }
    json::error_code ec;
    const auto request = json::parse(text, ec);
    if (!ec && request.is_object()) {
      const std::string target(TextField(request.get_object(), "target"));
      item->target = TargetIndex(job, target);
    }
    item->text = text;
    item->state =
        state == "started" ? item_state::kStarted : item_state::kQueued;
  }

  auto ApplyBase(const json::object& fields) -> apply_status {
    const log_offset from(p_.epoch_->value);
    p_.base_from_ = from;
    p_.is_complete_ = true;
    p_.uncertain_before_ = log_offset();
    std::vector<log_offset> stale_jobs;
    for (const auto& [id, job] : p_.jobs_) {
      if (job.rebuild_from < from) {
        stale_jobs.push_back(id);
      }
    }
    for (const auto id : stale_jobs) {
      Erase(id);
    }
    std::erase_if(p_.uploads_,
                  [&](const auto& u) { return u.second.first < from; });
    for (const auto* element : ObjectsOf(fields, "writers")) {
      const auto writer = WriterOf(*element);
      auto& last = p_.last_seq_[writer.host];
      last = std::max(last, std::pair(writer.start, writer.seq));
    }
    return apply_status::kApplied;
  }

  auto ApplyDrop(const json::object& fields) -> apply_status {
    const log_offset id(NumberField(fields, "job"));
    report_.job = id;
    Erase(id);
    EraseByKey(workspace_id(std::string(TextField(fields, "workspace"))),
               std::string(TextField(fields, "key")), id);
    RecordHeaderReference(id);
    return apply_status::kApplied;
  }

  /** Removes a job. */
  auto Erase(log_offset id) -> void {
    const auto found = p_.jobs_.find(id);
    if (found == p_.jobs_.end()) {
      return;
    }
    std::erase_if(p_.by_key_,
                  [id](const auto& entry) { return entry.second == id; });
    p_.jobs_.erase(found);
  }

  /** Removes the jobs under a key other than `except`: a replay that started
   * after the first submission may have accepted resends as new jobs. */
  auto EraseByKey(const workspace_id& workspace,
                  const std::string& key,
                  log_offset except) -> void {
    std::vector<log_offset> others;
    const auto range = p_.by_key_.equal_range({workspace, key});
    for (auto entry = range.first; entry != range.second; ++entry) {
      if (entry->second != except) {
        others.push_back(entry->second);
      }
    }
    for (const auto id : others) {
      Erase(id);
    }
  }

  auto FindJob(log_offset id) -> job_state* {
    const auto found = p_.jobs_.find(id);
    return found == p_.jobs_.end() ? nullptr : &found->second;
  }

  static auto FindItem(job_state* job, std::uint32_t index) -> job_item* {
    return job == nullptr || index >= job->items.size() ? nullptr
                                                        : &job->items[index];
  }

  /** Records that this record references the header of a job. */
  auto RecordHeaderReference(log_offset id) -> void {
    if (auto* job = FindJob(id)) {
      job->last_reference = offset_;
      return;
    }
    auto& unmatched_job = p_.unmatched_jobs_[id];
    unmatched_job.header = offset_;
    unmatched_job.last = offset_;
  }

  /** Records that this record references an item. */
  auto RecordItemReference(const item_ref& ref) -> void {
    auto* job = FindJob(ref.job);
    if (job == nullptr) {
      auto& unmatched_job = p_.unmatched_jobs_[ref.job];
      unmatched_job.items[ref.index] = offset_;
      unmatched_job.last = offset_;
    } else if (auto* item = FindItem(job, ref.index)) {
      item->last_reference = offset_;
    }
  }

  /** Extends the retention of an ended job. */
  static auto ExtendRetention(job_state& job, const json::object& fields)
      -> void {
    job.keep_until =
        std::max(job.keep_until, unix_ms(NumberField(fields, "keep_until")));
  }

  /** Adds a time marker for this record. */
  auto AddTimeMarker(const json::object& fields) -> void {
    const unix_ms at(NumberField(fields, "at"));
    auto& markers = p_.markers_;
    const auto previous = p_.last_written_;
    p_.last_written_ = std::max(previous, at);
    if (!markers.empty() &&
        at.value < markers.back().second.value + kMinMarkerIntervalMs) {
      return;
    }
    if (!markers.empty()) {
      // After a pause all earlier records are at least as old as the last one.
      markers.emplace_back(offset_, previous);
    }
    markers.emplace_back(offset_, at);
    if (markers.size() > kMaxMarkers) {
      std::size_t position = 0;
      std::erase_if(markers, [&](const auto&) { return position++ % 2 == 1; });
    }
  }

  job_partition& p_;
  log_offset offset_;
  apply_report report_;
};

auto job_partition::Reset(log_offset first) -> void {
  *this = job_partition(partition_);
  next_offset_ = first;
  is_complete_ = first.value == 0;
}

auto job_partition::Apply(log_offset offset, std::string_view record)
    -> apply_report {
  next_offset_ = log_offset(offset.value + 1);
  if (offset.value % kSweepInterval == 0) {
    std::erase_if(uploads_, [&](const auto& u) {
      return IsExpired(u.second.first, offset);
    });
    std::erase_if(unmatched_jobs_, [&](const auto& s) {
      return IsExpired(s.second.last, offset);
    });
  }
  json::error_code ec;
  const auto value = json::parse(record, ec);
  if (ec || !value.is_object()) {
    return {};
  }
  return job_projection(*this, offset).ApplyFields(value.get_object());
}

}  // namespace dogwood
