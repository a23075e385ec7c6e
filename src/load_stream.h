/** One streamed online request of a load run. */
#ifndef SRC_LOAD_STREAM_H_
#define SRC_LOAD_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/load_report.h"
#include "src/load_type.h"

namespace dogwood {

/** What to send. */
struct stream_request {
  std::string address;  ///< Entry host.
  std::string key;      ///< Caller key.
  std::string prompt;   ///< Prompt in the body.
  std::string body;     ///< Request body.
  unsigned tokens = 0;  ///< Tokens of a whole answer.
  time_point started;   ///< When the request arrived, to time from.
  time_point deadline;  ///< Given up then.
};

/** What came of it. */
struct stream_result {
  load_result result = load_result::kBroken;  ///< Kind.
  unsigned status = 0;       ///< HTTP status, 0 if there was none.
  std::string reason;        ///< Of a refusal: status and code.
  std::uint64_t tokens = 0;  ///< Tokens received.
};

/** Text of the tokens in server-sent events that may be cut anywhere. */
class token_reader {
 public:
  /** Takes bytes; returns how many tokens they complete. */
  auto Take(std::string_view data) -> unsigned;
  /** Whether "[DONE]" came. */
  auto IsDone() const -> bool { return done_; }
  /** Whether an error event came. */
  auto HasError() const -> bool { return error_; }
  /** All text so far. */
  auto Text() const -> const std::string& { return text_; }

 private:
  auto HandleEvent(std::string_view event) -> unsigned;

  std::string rest_;
  std::string text_;
  bool done_ = false;
  bool error_ = false;
};

/** Sends a request and times its tokens into `figures`. */
auto SendStream(stream_request request, workspace_figures& figures)
    -> boost::asio::awaitable<stream_result>;

}  // namespace dogwood

#endif  // SRC_LOAD_STREAM_H_
