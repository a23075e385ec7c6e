#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/job_base.h"
#include "src/job_record.h"
#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Records between two removals of void uploads and strays. */
constexpr std::uint64_t kSweepPeriod = 512;
/** Least distance of two time markers. */
constexpr std::uint64_t kMarkerDistanceMs = 10000;
/** Most time markers; beyond it every second one is removed. */
constexpr std::size_t kMostMarkers = 2048;

/** Whether something that began at `begin` is void at `now`. */
auto IsVoid(log_offset begin, log_offset now) -> bool {
  return now.value - begin.value > kRecordSpan;
}

/** Objects of an array field. */
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

/** Whether a field is true. */
auto FlagField(const json::object& fields, std::string_view name) -> bool {
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

/** Reads a writer; its host is empty if there is none. */
auto WriterOf(const json::object& fields) -> record_writer {
  record_writer writer;
  writer.host = host_id(std::string(TextField(fields, "host")));
  writer.start = incarnation(NumberField(fields, "start"));
  writer.seq = NumberField(fields, "seq");
  return writer;
}

/** Reference to an item, as started and done records hold it. */
auto RefOf(const json::object& fields) -> item_ref {
  return {log_offset(NumberField(fields, "job")),
          static_cast<std::uint32_t>(NumberField(fields, "index"))};
}

/** Index of `target` in the job's list, which it extends. */
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

  /** Applies the record with these fields. */
  auto Run(const json::object& fields) -> fold_report {
    report_.kind = JobRecordKindOf(TextField(fields, "kind"));
    const auto* writer = fields.if_contains("writer");
    if (writer != nullptr && writer->is_object()) {
      report_.writer = WriterOf(writer->get_object());
    }
    report_.verdict = Admit();
    if (report_.verdict == apply_status::kApplied) {
      VoidUpload(TextField(fields, "upload"));
      report_.verdict = Dispatch(fields);
    }
    return std::move(report_);
  }

 private:
  /** Drops what a writer has sent twice and what a former start sent. */
  auto Admit() -> apply_status {
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

  /** Forgets the writer's upload if this record does not belong to it. */
  auto VoidUpload(std::string_view name) -> void {
    const auto found = p_.uploads_.find(report_.writer.host);
    if (found != p_.uploads_.end() && found->second.name != name) {
      p_.uploads_.erase(found);
    }
  }

  /** Runs the command of the record's kind. */
  auto Dispatch(const json::object& fields) -> apply_status {
    switch (report_.kind) {
      case job_record_kind::kClaim:
        return Claim(fields);
      case job_record_kind::kSubmit:
        return Submit(fields);
      case job_record_kind::kCommit:
        return Commit(fields);
      case job_record_kind::kCancel:
        return Cancel(fields);
      default:
        break;
    }
    if (!p_.epoch_ || NumberField(fields, "epoch") != p_.epoch_->value) {
      return apply_status::kStale;
    }
    switch (report_.kind) {
      case job_record_kind::kStarted:
        return Started(fields);
      case job_record_kind::kDone:
        return Done(fields);
      case job_record_kind::kKeep:
        return Keep(fields);
      case job_record_kind::kBase:
        return Base(fields);
      default:
        return Drop(fields);
    }
  }

  auto Claim(const json::object& fields) -> apply_status {
    p_.epoch_ = epoch(offset_.value);
    p_.claimant_ = report_.writer;
    if (!p_.is_exact_ && p_.doubtful_before_.value == 0) {
      p_.doubtful_before_ = offset_;
    }
    Mark(fields);
    return apply_status::kApplied;
  }

  auto Submit(const json::object& fields) -> apply_status {
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

  auto Commit(const json::object& fields) -> apply_status {
    const workspace_id workspace(std::string(TextField(fields, "workspace")));
    const std::string key(TextField(fields, "key"));
    const auto digest = TextField(fields, "digest");
    auto upload = p_.uploads_.extract(report_.writer.host);
    const auto* earlier = p_.FindByKey(workspace, key);
    if (earlier != nullptr && earlier->anchor >= p_.doubtful_before_) {
      report_.job = earlier->id;
      return earlier->digest == digest ? apply_status::kDuplicate
                                       : apply_status::kConflict;
    }
    if (upload.empty() || IsVoid(upload.mapped().first, offset_) ||
        upload.mapped().parts.size() != NumberField(fields, "parts")) {
      return apply_status::kInvalid;
    }
    job_state job;
    job.id = offset_;
    job.workspace = workspace;
    job.key = key;
    job.digest = digest;
    job.created = unix_ms(NumberField(fields, "at"));
    job.anchor = upload.mapped().first;
    for (auto& [number, items] : upload.mapped().parts) {
      for (auto& item : items) {
        AddItem(job, item);
      }
    }
    report_.job = offset_;
    p_.by_key_.emplace(std::pair(workspace, key), offset_);
    p_.jobs_.emplace(offset_, std::move(job));
    Mark(fields);
    return apply_status::kApplied;
  }

  /** Appends a queued item to a new job. */
  static auto AddItem(job_state& job, const item_request& request) -> void {
    job_item item;
    item.text = json::serialize(ItemFields(request));
    item.anchor = job.anchor;
    item.target = TargetIndex(job, request.target);
    item.state = item_state::kQueued;
    job.items.push_back(std::move(item));
  }

  auto Cancel(const json::object& fields) -> apply_status {
    const log_offset id(NumberField(fields, "job"));
    report_.job = id;
    TouchHeader(id);
    auto* job = FindJob(id);
    if (job == nullptr) {
      return apply_status::kInvalid;
    }
    job->cancelled = true;
    KeepUntil(*job, fields);
    return apply_status::kApplied;
  }

  auto Started(const json::object& fields) -> apply_status {
    for (const auto* element : ObjectsOf(fields, "items")) {
      const auto ref = RefOf(*element);
      TouchItem(ref);
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

  auto Done(const json::object& fields) -> apply_status {
    for (const auto* element : ObjectsOf(fields, "items")) {
      const auto ref = RefOf(*element);
      TouchItem(ref);
      report_.items.push_back(ref);
      auto* job = FindJob(ref.job);
      if (job == nullptr) {
        continue;
      }
      KeepUntil(*job, fields);
      auto* item = FindItem(job, ref.index);
      const bool open = item != nullptr && !job->cancelled &&
                        (item->state == item_state::kQueued ||
                         item->state == item_state::kStarted);
      if (open) {
        Complete(*job, *item, TextField(*element, "result"),
                 FlagField(*element, "failed"));
      }
    }
    Mark(fields);
    return apply_status::kApplied;
  }

  /** Gives an item its result. */
  static auto Complete(job_state& job,
                       job_item& item,
                       std::string_view result,
                       bool failed) -> void {
    item.text = result;
    item.state = item_state::kCompleted;
    item.failed = failed;
    job.completed += 1;
    job.failed += failed ? 1 : 0;
  }

  auto Keep(const json::object& fields) -> apply_status {
    const log_offset as_of(NumberField(fields, "as_of"));
    const log_offset id(NumberField(fields, "job"));
    report_.job = id;
    if (as_of > offset_ || IsVoid(as_of, offset_)) {
      return apply_status::kStale;
    }
    auto* job = FindJob(id);
    const auto touched = job != nullptr ? job->touched : p_.strays_[id].header;
    if (touched >= as_of) {
      return apply_status::kStale;
    }
    EraseByKey(workspace_id(std::string(TextField(fields, "workspace"))),
               std::string(TextField(fields, "key")), id);
    if (job == nullptr) {
      job = &Restore(id, fields);
    }
    job->anchor = std::max(job->anchor, as_of);
    job->cancelled = job->cancelled || FlagField(fields, "cancelled");
    KeepUntil(*job, fields);
    for (const auto* element : ObjectsOf(fields, "items")) {
      KeepItem(*job, *element, as_of);
    }
    return apply_status::kApplied;
  }

  /** Creates a job of which only kept records are known. */
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
    auto stray = p_.strays_.extract(id);
    if (!stray.empty()) {
      job.touched = stray.mapped().header;
      for (const auto& [index, offset] : stray.mapped().items) {
        if (index < job.items.size()) {
          job.items[index].touched = offset;
        }
      }
    }
    p_.by_key_.emplace(std::pair(workspace, key), id);
    return p_.jobs_.emplace(id, std::move(job)).first->second;
  }

  /** Applies one item of a keep unless something named it since. A result
   * stays, except in a fold that is not exact: it may have taken a second
   * result, as it does not know which epoch held for the first. */
  auto KeepItem(job_state& job, const json::object& fields, log_offset as_of)
      -> void {
    auto* item = FindItem(
        &job, static_cast<std::uint32_t>(NumberField(fields, "index")));
    if (item == nullptr || item->touched >= as_of) {
      return;
    }
    const bool is_doubtful = item->anchor < p_.doubtful_before_;
    item->anchor = std::max(item->anchor, as_of);
    if (item->state == item_state::kCompleted) {
      if (!is_doubtful) {
        return;
      }
      job.completed -= 1;
      job.failed -= item->failed ? 1 : 0;
    }
    const auto state = TextField(fields, "state");
    const auto text = TextField(fields, "text");
    if (state == "done") {
      Complete(job, *item, text, FlagField(fields, "failed"));
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

  auto Base(const json::object& fields) -> apply_status {
    const log_offset from(p_.epoch_->value);
    p_.base_from_ = from;
    p_.is_exact_ = true;
    p_.doubtful_before_ = log_offset();
    std::vector<log_offset> unkept;
    for (const auto& [id, job] : p_.jobs_) {
      if (job.anchor < from) {
        unkept.push_back(id);
      }
    }
    for (const auto id : unkept) {
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

  auto Drop(const json::object& fields) -> apply_status {
    const log_offset id(NumberField(fields, "job"));
    report_.job = id;
    Erase(id);
    EraseByKey(workspace_id(std::string(TextField(fields, "workspace"))),
               std::string(TextField(fields, "key")), id);
    TouchHeader(id);
    return apply_status::kApplied;
  }

  /** Forgets a job. */
  auto Erase(log_offset id) -> void {
    const auto found = p_.jobs_.find(id);
    if (found == p_.jobs_.end()) {
      return;
    }
    std::erase_if(p_.by_key_,
                  [id](const auto& entry) { return entry.second == id; });
    p_.jobs_.erase(found);
  }

  /** Forgets the jobs under a key but `except`: a fold that began after the
   * first submission may have taken resends for jobs. */
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

  /** Notes that this record names the header of a job. */
  auto TouchHeader(log_offset id) -> void {
    if (auto* job = FindJob(id)) {
      job->touched = offset_;
      return;
    }
    auto& stray = p_.strays_[id];
    stray.header = offset_;
    stray.last = offset_;
  }

  /** Notes that this record names an item. */
  auto TouchItem(const item_ref& ref) -> void {
    auto* job = FindJob(ref.job);
    if (job == nullptr) {
      auto& stray = p_.strays_[ref.job];
      stray.items[ref.index] = offset_;
      stray.last = offset_;
    } else if (auto* item = FindItem(job, ref.index)) {
      item->touched = offset_;
    }
  }

  /** Extends how long an ended job is kept. */
  static auto KeepUntil(job_state& job, const json::object& fields) -> void {
    job.keep_until =
        std::max(job.keep_until, unix_ms(NumberField(fields, "keep_until")));
  }

  /** Notes when this record was written. */
  auto Mark(const json::object& fields) -> void {
    const unix_ms at(NumberField(fields, "at"));
    auto& markers = p_.markers_;
    const auto previous = p_.last_written_;
    p_.last_written_ = std::max(previous, at);
    if (!markers.empty() &&
        at.value < markers.back().second.value + kMarkerDistanceMs) {
      return;
    }
    if (!markers.empty()) {
      // After a pause all records before this one are as old as the last.
      markers.emplace_back(offset_, previous);
    }
    markers.emplace_back(offset_, at);
    if (markers.size() > kMostMarkers) {
      std::size_t position = 0;
      std::erase_if(markers, [&](const auto&) { return position++ % 2 == 1; });
    }
  }

  job_partition& p_;
  log_offset offset_;
  fold_report report_;
};

auto job_partition::Reset(log_offset first) -> void {
  *this = job_partition(partition_);
  next_offset_ = first;
  is_exact_ = first.value == 0;
}

auto job_partition::Apply(log_offset offset, std::string_view record)
    -> fold_report {
  next_offset_ = log_offset(offset.value + 1);
  if (offset.value % kSweepPeriod == 0) {
    std::erase_if(uploads_, [&](const auto& u) {
      return IsVoid(u.second.first, offset);
    });
    std::erase_if(strays_,
                  [&](const auto& s) { return IsVoid(s.second.last, offset); });
  }
  json::error_code ec;
  const auto value = json::parse(record, ec);
  if (ec || !value.is_object()) {
    return {};
  }
  return job_projection(*this, offset).Run(value.get_object());
}

}  // namespace dogwood
