#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/job_base.h"
#include "src/job_record.h"
#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Target size of one keep record. */
constexpr std::size_t kKeepBytes = 128UL << 10;

/** Returns the name of an item state in keep records. */
auto StateName(item_state state) -> std::string_view {
  switch (state) {
    case item_state::kCompleted:
      return "done";
    case item_state::kStarted:
      return "started";
    default:
      return "queued";
  }
}

/** Returns the fields of a keep record without its items. */
auto HeaderFields(const job_state& job, epoch current, log_offset as_of)
    -> json::object {
  return json::object{{"epoch", current.value},
                      {"as_of", as_of.value},
                      {"job", job.id.value},
                      {"workspace", job.workspace.value},
                      {"key", job.key},
                      {"digest", job.digest},
                      {"created", job.created.value},
                      {"cancelled", job.cancelled},
                      {"keep_until", job.keep_until.value},
                      {"total", job.items.size()}};
}

/** Returns the fields of one item in a keep record. */
auto SnapshotFields(const job_item& item, std::size_t index) -> json::object {
  return json::object{{"index", index},
                      {"state", StateName(item.state)},
                      {"failed", item.failed},
                      {"text", item.text}};
}

/** Returns whether records before `from` are needed to rebuild an item. */
auto NeedsRewrite(const job_item& item, log_offset from) -> bool {
  return item.state != item_state::kAbsent && item.rebuild_from < from;
}

/** Returns the custom id of an item in any state. */
auto CustomIdOf(const job_item& item) -> std::string {
  json::error_code ec;
  const auto value = json::parse(item.text, ec);
  return ec || !value.is_object()
             ? std::string()
             : std::string(TextField(value.get_object(), "custom_id"));
}

}  // namespace

auto job_partition::Find(log_offset job) const -> const job_state* {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

auto job_partition::FindByKey(const workspace_id& workspace,
                              std::string_view key) const -> const job_state* {
  const auto range = by_key_.equal_range({workspace, std::string(key)});
  return range.first == range.second ? nullptr
                                     : Find(std::prev(range.second)->second);
}

auto job_partition::Counts(const job_state& job) -> job_counts {
  job_counts counts;
  counts.total = job.items.size();
  counts.completed = job.completed - job.failed;
  counts.failed = job.cancelled ? counts.total - counts.completed : job.failed;
  return counts;
}

auto job_partition::Results(const job_state& job,
                            std::size_t first,
                            std::size_t bytes) -> std::string {
  std::string lines;
  if (!job.HasEnded()) {
    return lines;
  }
  for (auto i = first; i < job.items.size() && lines.size() < bytes; ++i) {
    const auto& item = job.items[i];
    lines += item.state == item_state::kCompleted
                 ? item.text
                 : ErrorLine(CustomIdOf(item), "cancelled",
                             "the job was cancelled before the item ended");
    lines += "\n";
  }
  return lines;
}

auto job_partition::RecordsToRewrite(
    std::size_t budget,
    const std::function<std::string(json::object)>& write) const
    -> std::vector<std::string> {
  std::vector<std::string> records;
  const log_offset from(epoch_->value);
  std::size_t used = 0;
  for (const auto& entry : jobs_) {
    const auto& job = entry.second;
    json::array items;
    std::size_t bytes = 0;
    bool header_due = job.rebuild_from < from;
    const auto flush = [&] {
      auto fields = HeaderFields(job, *epoch_, next_offset_);
      fields["items"] = std::move(items);
      items = json::array();
      records.push_back(write(std::move(fields)));
      used += records.back().size();
      bytes = 0;
      header_due = false;
    };
    for (std::size_t i = 0; i < job.items.size() && used < budget; ++i) {
      if (!NeedsRewrite(job.items[i], from)) {
        continue;
      }
      bytes += job.items[i].text.size();
      items.push_back(SnapshotFields(job.items[i], i));
      if (bytes >= std::min(kKeepBytes, budget - used)) {
        flush();
      }
    }
    if (!items.empty() || (header_due && used < budget)) {
      flush();
    }
    if (used >= budget) {
      break;
    }
  }
  return records;
}

auto job_partition::IsRewritten() const -> bool {
  const log_offset from(epoch_ ? epoch_->value : 0);
  const auto is_old = [from](const auto& entry) {
    const job_state& job = entry.second;
    return job.rebuild_from < from ||
           std::any_of(
               job.items.begin(), job.items.end(),
               [from](const auto& item) { return NeedsRewrite(item, from); });
  };
  const auto is_open = [from](const auto& entry) {
    return entry.second.first < from;
  };
  return std::none_of(jobs_.begin(), jobs_.end(), is_old) &&
         std::none_of(uploads_.begin(), uploads_.end(), is_open);
}

auto job_partition::BaseFields() const -> json::object {
  json::array writers;
  for (const auto& [host, last] : last_seq_) {
    writers.push_back(json::object{{"host", host.value},
                                   {"start", last.first.value},
                                   {"seq", last.second}});
  }
  return json::object{{"epoch", epoch_->value},
                      {"writers", std::move(writers)}};
}

auto job_partition::Expired(unix_ms now) const -> std::vector<log_offset> {
  std::vector<log_offset> expired;
  for (const auto& [id, job] : jobs_) {
    if (job.HasEnded() && job.keep_until < now) {
      expired.push_back(id);
    }
  }
  return expired;
}

auto job_partition::OffsetBefore(unix_ms at) const -> log_offset {
  // Without this check the records after the last marker of an idle partition
  // would never count as old, and retention would remove them before they are
  // rewritten.
  if (!markers_.empty() && last_written_ < at) {
    return next_offset_;
  }
  log_offset before;
  for (const auto& [offset, written] : markers_) {
    if (written >= at) {
      break;
    }
    before = offset;
  }
  return before;
}

auto job_partition::StateText() const -> std::string {
  json::array jobs;
  for (const auto& [id, job] : jobs_) {
    json::array items;
    for (std::size_t i = 0; i < job.items.size(); ++i) {
      auto fields = SnapshotFields(job.items[i], i);
      fields["absent"] = job.items[i].state == item_state::kAbsent;
      if (job.items[i].state != item_state::kCompleted &&
          job.items[i].state != item_state::kAbsent) {
        fields["target"] = job.targets[job.items[i].target];
      }
      items.push_back(std::move(fields));
    }
    auto fields = HeaderFields(job, epoch(), log_offset());
    fields["completed"] = job.completed;
    fields["items"] = std::move(items);
    jobs.push_back(std::move(fields));
  }
  return json::serialize(json::object{{"epoch", epoch_ ? epoch_->value : 0},
                                      {"base_from", base_from_.value},
                                      {"jobs", std::move(jobs)}});
}

}  // namespace dogwood
