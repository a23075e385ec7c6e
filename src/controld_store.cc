#include "src/controld_store.h"

namespace dogwood {

auto record_store::Reset(log_offset next) -> void {
  const std::lock_guard lock(mutex_);
  first_ = next.value;
  records_.clear();
}

auto record_store::Add(log_offset from, const std::vector<std::string>& records)
    -> void {
  const std::lock_guard lock(mutex_);
  auto offset = from.value;
  for (const auto& record : records) {
    if (offset == first_ + records_.size()) {
      records_.push_back(record);
    }
    ++offset;
  }
  while (records_.size() > limit_) {
    records_.pop_front();
    ++first_;
  }
}

auto record_store::Read(log_offset from,
                        std::size_t limit,
                        std::size_t bytes) const -> std::optional<record_run> {
  const std::lock_guard lock(mutex_);
  if (from.value < first_) {
    return std::nullopt;
  }
  record_run run;
  run.from = from;
  std::size_t used = 0;
  for (auto i = from.value - first_; i < records_.size(); ++i) {
    if (run.records.size() == limit || used >= bytes) {
      break;
    }
    used += records_[i].size();
    run.records.push_back(records_[i]);
  }
  return run;
}

auto record_store::First() const -> log_offset {
  const std::lock_guard lock(mutex_);
  return log_offset(first_);
}

auto record_store::Next() const -> log_offset {
  const std::lock_guard lock(mutex_);
  return log_offset(first_ + records_.size());
}

}  // namespace dogwood
