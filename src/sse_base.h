/** Parsers that split a stream of server-sent events and detect its end. */
#ifndef SRC_SSE_BASE_H_
#define SRC_SSE_BASE_H_

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/error_type.h"

namespace dogwood {

/** Maximum size of an event; a longer one is a failure of the server. */
constexpr std::size_t kMaxEventBytes = 256UL << 10;

/** Tells by an event's data whether it ends its stream. */
template <typename T>
concept last_event_rule = requires(std::string_view data) {
  { T::IsLast(data) } -> std::convertible_to<bool>;
};

/** Streams that end with their HTTP body only; any event may hold any data. */
struct no_last_event {
  static auto IsLast(std::string_view) -> bool { return false; }
};

/** Streams of the OpenAI-compatible interface, which end with `[DONE]`. */
struct done_event_is_last {
  static auto IsLast(std::string_view data) -> bool { return data == "[DONE]"; }
};

/** Incremental parser of server-sent events. */
template <last_event_rule Rule>
class basic_sse_parser {
 public:
  /** Parses the next bytes of the stream, in pieces of any size. Returns the
   * events that they complete, each as sent, with its blank line. The event
   * that ends the stream by `Rule`, and all that follows it, is not among them,
   * see last_event(). Fails with kBadGateway if an event is longer than
   * kMaxEventBytes. */
  auto Feed(std::string_view data) -> result<std::vector<std::string>>;
  /** Whether the event that ends the stream has been received. */
  auto IsDone() const -> bool { return !last_event_.empty(); }
  /** Returns the event that ends the stream as sent; empty if it has not been
   * received. It should be relayed only after the HTTP framing of the response
   * has ended too. */
  auto last_event() const -> const std::string& { return last_event_; }
  /** Whether the bytes received so far end within an event. */
  auto HasPartialEvent() const -> bool { return !buffer_.empty(); }

 private:
  auto ParseLine(std::string_view line) -> void;

  std::string buffer_;          // Bytes of the incomplete event.
  std::size_t line_start_ = 0;  // Start of the incomplete line in buffer_.
  bool is_last_ = false;        // The incomplete event ends the stream.
  bool after_cr_ = false;       // The last byte ended a line with CR.
  std::string last_event_;
};

/** Parser that passes on every event, whatever its data. */
using sse_parser = basic_sse_parser<no_last_event>;
/** Parser of streams that end with `data: [DONE]`. */
using openai_sse_parser = basic_sse_parser<done_event_is_last>;

}  // namespace dogwood

#endif  // SRC_SSE_BASE_H_
