/** Splits a stream of server-sent events and knows when it is whole. */
#ifndef SRC_SSE_BASE_H_
#define SRC_SSE_BASE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/error_type.h"

namespace dogwood {

/** Longest event in bytes; a longer one is a failure of the server. */
constexpr std::size_t kMaxEventBytes = 4UL << 20;

/** Takes bytes in pieces of any size and gives whole events. */
class sse_parser {
 public:
  /** Takes bytes; returns the events that are now whole, each with its blank
   * line, as sent. `data: [DONE]` is not among them, see done_event(). Fails
   * with kBadGateway on an event that is too long. */
  auto Feed(std::string_view data) -> result<std::vector<std::string>>;
  /** Whether `data: [DONE]` has come. */
  auto IsDone() const -> bool { return !done_event_.empty(); }
  /** The event `data: [DONE]` as sent, to be passed on once the answer's
   * framing has ended too. Empty if it has not come. */
  auto done_event() const -> const std::string& { return done_event_; }
  /** Whether a part of an event waits for its end. */
  auto HasPartialEvent() const -> bool { return !buffer_.empty(); }

 private:
  auto TakeLine(std::string_view line) -> void;

  std::string buffer_;           // Bytes of the event in progress.
  std::size_t line_start_ = 0;   // Start of the unfinished line in buffer_.
  bool event_has_done_ = false;  // The event in progress holds [DONE].
  bool after_cr_ = false;        // The last byte ended a line with CR.
  std::string done_event_;
};

}  // namespace dogwood

#endif  // SRC_SSE_BASE_H_
