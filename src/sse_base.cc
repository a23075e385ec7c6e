#include "src/sse_base.h"

#include "src/core.h"

namespace dogwood {

template <last_event_rule Rule>
auto basic_sse_parser<Rule>::ParseLine(std::string_view line) -> void {
  constexpr std::string_view kField = "data:";
  if (!line.starts_with(kField)) {
    return;
  }
  auto value = line.substr(kField.size());
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (Rule::IsLast(value)) {
    is_last_ = true;
  }
}

template <last_event_rule Rule>
auto basic_sse_parser<Rule>::Feed(std::string_view data)
    -> result<std::vector<std::string>> {
  std::vector<std::string> events;
  for (const char c : data) {
    // An LF after a CR belongs to the same line break.
    const bool completes_crlf = c == '\n' && after_cr_;
    after_cr_ = c == '\r';
    if (completes_crlf) {
      if (!buffer_.empty()) {
        buffer_ += c;
        line_start_ = buffer_.size();
      } else if (!last_event_.empty()) {
        last_event_ += last_event_.ends_with("\r\n\r") ? "\n" : "";
      } else if (!events.empty()) {
        events.back() += c;
      }
      continue;
    }
    buffer_ += c;
    if (c != '\n' && c != '\r') {
      continue;
    }
    const auto line = std::string_view(buffer_).substr(
        line_start_, buffer_.size() - 1 - line_start_);
    if (!line.empty()) {
      ParseLine(line);
      line_start_ = buffer_.size();
      continue;
    }
    if (is_last_ && last_event_.empty()) {
      last_event_ = std::move(buffer_);
    } else if (last_event_.empty()) {
      events.push_back(std::move(buffer_));
    }
    buffer_.clear();
    line_start_ = 0;
    is_last_ = false;
  }
  if (buffer_.size() > kMaxEventBytes) {
    return Fail({.code = error_code::kBadGateway,
                 .message = "event is longer than " +
                            std::to_string(kMaxEventBytes) + " bytes",
                 .ran = ran_state::kMaybe,
                 .step = "read events",
                 .peer = ""});
  }
  return events;
}

template class basic_sse_parser<no_last_event>;
template class basic_sse_parser<done_event_is_last>;

}  // namespace dogwood
