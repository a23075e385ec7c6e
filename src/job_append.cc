#include "src/job_append.h"

#include <algorithm>
#include <utility>

namespace dogwood {

auto EscapedSize(const std::string& text) -> std::size_t {
  constexpr std::size_t kQuotes = 3;
  auto size = text.size() + kQuotes;
  for (const unsigned char c : text) {
    if (c == '"' || c == '\\') {
      size += 1;
    } else if (c < ' ') {
      size += 5;
    }
  }
  return size;
}

auto append_queue::NextWriter() -> record_writer {
  record_writer writer;
  writer.host = host_;
  writer.start = start_;
  writer.seq = ++last_seq_;
  return writer;
}

auto append_queue::Push(std::uint64_t seq, std::string text) -> void {
  entry added;
  added.seq = seq;
  added.cost = EscapedSize(text);
  added.text = std::move(text);
  bytes_ += added.cost;
  entries_.push_back(std::move(added));
}

auto append_queue::Take(std::size_t bytes) -> std::vector<std::string> {
  std::vector<std::string> records;
  if (in_flight_ > 0) {
    return records;
  }
  std::size_t used = 0;
  for (const auto& e : entries_) {
    if (!records.empty() && used + e.cost > bytes) {
      break;
    }
    used += e.cost;
    records.push_back(e.text);
  }
  in_flight_ = records.size();
  return records;
}

auto append_queue::End(append_outcome end) -> void {
  for (std::size_t i = 0; i < in_flight_; ++i) {
    if (end == append_outcome::kAppended) {
      bytes_ -= entries_.front().cost;
      entries_.pop_front();
    } else if (end == append_outcome::kUnknown) {
      entries_[i].may_be_in = true;
    }
  }
  in_flight_ = 0;
}

auto append_queue::Withdraw(std::uint64_t seq) -> bool {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [seq](const entry& e) { return e.seq == seq; });
  if (found == entries_.end() || found->may_be_in ||
      found < entries_.begin() + static_cast<std::ptrdiff_t>(in_flight_)) {
    return false;
  }
  bytes_ -= found->cost;
  entries_.erase(found);
  return true;
}

}  // namespace dogwood
