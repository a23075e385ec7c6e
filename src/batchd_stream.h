/** Streaming execution of completion items, so that a run that was preempted
 * for online requests can be resumed. */
#ifndef SRC_BATCHD_STREAM_H_
#define SRC_BATCHD_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwood {

/** Returns the body of a completion with streaming enabled. Returns
 * std::nullopt if the answer cannot be assembled from a stream without loss,
 * for example with several choices, tools or unknown fields. */
auto ToStreamingBody(std::string_view body) -> std::optional<std::string>;

/** Assembles the answer of a completion from its stream. */
class stream_assembler {
 public:
  /** Consumes bytes of a stream of server-sent events. */
  auto Feed(std::string_view data) -> void;
  /** Discards a partially received event. The stream can be resumed after
   * tokens(). */
  auto DiscardPartialEvent() -> void { buffer_.clear(); }
  /** Returns the number of events with text so far, for X-Resume-From. */
  auto tokens() const -> std::uint64_t { return tokens_; }
  /** Returns whether the end of the stream has been read. */
  auto IsComplete() const -> bool { return is_complete_; }
  /** Returns whether an event was not a completion event. */
  auto IsMalformed() const -> bool { return is_malformed_; }
  /** Returns the answer in the format of a request without streaming. */
  auto ToJson() const -> std::string;

 private:
  auto HandleEvent(std::string_view data) -> void;

  std::string buffer_;
  std::string id_;
  std::string model_;
  std::string text_;
  std::string finish_reason_;
  std::string usage_;  // JSON, empty if the server does not report it.
  std::uint64_t tokens_ = 0;
  bool is_chat_ = false;
  bool is_complete_ = false;
  bool is_malformed_ = false;
};

}  // namespace dogwood

#endif  // SRC_BATCHD_STREAM_H_
