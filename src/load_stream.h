/** Streamed online requests of a load run. */
#ifndef SRC_LOAD_STREAM_H_
#define SRC_LOAD_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/load_report.h"
#include "src/load_type.h"

namespace dogwood {

/** Online request to send. */
struct stream_request {
  std::string address;  ///< Entry host, "ip:port".
  std::string key;      ///< Caller key.
  std::string prompt;   ///< Prompt, to check the text.
  std::string body;     ///< JSON body.
  unsigned tokens = 0;  ///< Tokens of a complete response.
  time_point started;   ///< Arrival time; latencies count from it.
  time_point deadline;  ///< The request is abandoned then.
};

/** Result of an online request. */
struct stream_result {
  load_result result = load_result::kBroken;
  unsigned status = 0;       ///< HTTP status, 0 without a response.
  std::string reason;        ///< Of a refusal: status and error code.
  std::uint64_t tokens = 0;  ///< Tokens received.
};

/** Incremental parser of a stream of server-sent events, which may be split
 * anywhere. Collects the text of the tokens. */
class token_reader {
 public:
  /** Parses the next bytes of the stream; returns the number of tokens they
   * complete. */
  auto HandleData(std::string_view data) -> unsigned;
  /** Returns whether "[DONE]" was received. */
  auto IsDone() const -> bool { return done_; }
  /** Returns whether an error event or invalid JSON was received. */
  auto HasError() const -> bool { return error_; }
  /** Returns the text of all tokens so far. */
  auto Text() const -> const std::string& { return text_; }

 private:
  /** Parses one event; returns the number of tokens in it, 0 or 1. */
  auto HandleEvent(std::string_view event) -> unsigned;

  std::string buffer_;
  std::string text_;
  bool done_ = false;
  bool error_ = false;
};

/** Sends a request and records its token latencies in `stats`. The result stays
 * for the caller to record. */
auto SendStream(stream_request request, workspace_stats& stats)
    -> boost::asio::awaitable<stream_result>;

}  // namespace dogwood

#endif  // SRC_LOAD_STREAM_H_
