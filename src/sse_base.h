/** Parser that splits a stream of server-sent events and detects its end. */
#ifndef SRC_SSE_BASE_H_
#define SRC_SSE_BASE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/error_type.h"

namespace dogwood {

/** Maximum size of an event; a longer one is a failure of the server. */
constexpr std::size_t kMaxEventBytes = 256UL << 10;

/** Incremental parser of server-sent events. */
class sse_parser {
 public:
  /** Parses the next bytes of the stream, in pieces of any size. Returns the
   * events that they complete, each as sent, with its blank line.
   * `data: [DONE]` is not among them, see done_event(). Fails with kBadGateway
   * if an event is longer than kMaxEventBytes. */
  auto Feed(std::string_view data) -> result<std::vector<std::string>>;
  /** Whether `data: [DONE]` has been received. */
  auto IsDone() const -> bool { return !done_event_.empty(); }
  /** Returns the event `data: [DONE]` as sent; empty if it has not been
   * received. It should be relayed only after the HTTP framing of the response
   * has ended too. */
  auto done_event() const -> const std::string& { return done_event_; }
  /** Whether the bytes received so far end within an event. */
  auto HasPartialEvent() const -> bool { return !buffer_.empty(); }

 private:
  auto ParseLine(std::string_view line) -> void;

  std::string buffer_;           // Bytes of the incomplete event.
  std::size_t line_start_ = 0;   // Start of the incomplete line in buffer_.
  bool event_has_done_ = false;  // The incomplete event contains [DONE].
  bool after_cr_ = false;        // The last byte ended a line with CR.
  std::string done_event_;
};

}  // namespace dogwood

#endif  // SRC_SSE_BASE_H_
