/** Items that engines run as streams, so that a run that was ended for online
 * requests can go on where it stopped. */
#ifndef SRC_BATCHD_STREAM_H_
#define SRC_BATCHD_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwood {

/** The body of a completion with streaming turned on. Nothing if the answer
 * could not be put together from a stream without loss, as with several
 * choices, tools or fields that are not known here. */
auto StreamBody(std::string_view body) -> std::optional<std::string>;

/** Puts the answer of a completion together from its stream. */
class stream_answer {
 public:
  /** Takes bytes of a stream of server-sent events. */
  auto Feed(std::string_view data) -> void;
  /** Forgets the begin of an event that was cut off; the stream goes on after
   * tokens(). */
  auto CutOff() -> void { buffer_.clear(); }
  /** Events with text so far; what X-Resume-From takes. */
  auto tokens() const -> std::uint64_t { return tokens_; }
  /** Whether the end of the stream has been read. */
  auto IsWhole() const -> bool { return is_whole_; }
  /** Whether an event was not one of a completion. */
  auto IsMalformed() const -> bool { return is_malformed_; }
  /** The answer as if it had not been streamed. */
  auto ToJson() const -> std::string;

 private:
  auto HandleEvent(std::string_view data) -> void;

  std::string buffer_;
  std::string id_;
  std::string model_;
  std::string text_;
  std::string finish_reason_;
  std::string usage_;  // JSON, if the server reports it.
  std::uint64_t tokens_ = 0;
  bool is_chat_ = false;
  bool is_whole_ = false;
  bool is_malformed_ = false;
};

}  // namespace dogwood

#endif  // SRC_BATCHD_STREAM_H_
