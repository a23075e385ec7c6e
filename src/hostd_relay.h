/** One attempt of a request at one server, and the passing on of its answer.
 */
#ifndef SRC_HOSTD_RELAY_H_
#define SRC_HOSTD_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/caller_type.h"
#include "src/deployment.h"
#include "src/dispatch.h"
#include "src/entryd_backend.h"
#include "src/http.h"

namespace dogwood {

struct host_state;

/** How far the events of a stream have come over all attempts. */
struct stream_progress {
  std::uint64_t last_event = 0;  ///< Last event taken; 0: none.
  bool has_head = false;         ///< The first server's head was taken.
};

/** Takes the parts of an answer. */
class answer_sink {
 public:
  virtual ~answer_sink() = default;
  /** Head of a stream; once, before its first events. False: nobody wants
   * it. */
  virtual auto HandleHead(const http_head& head)
      -> boost::asio::awaitable<bool> = 0;
  /** Whole events, as sent. False: nobody wants more. */
  virtual auto HandleEvents(std::string events)
      -> boost::asio::awaitable<bool> = 0;
};

/** What an attempt is given. */
struct attempt_order {
  const http_request* request = nullptr;  ///< As the caller sent it.
  attempt_id attempt;                     ///< Its name.
  registered_server server;               ///< Where to.
  workspace_id workspace;                 ///< Whose it is.
  service_id service;                     ///< For the usual times.
  time_point deadline;                    ///< Of the whole request.
  bool is_repeatable = false;             ///< It may run more than once.
  bool may_move = false;  ///< Another server may go on: silence ends this one.
  bool is_batch = false;  ///< Runs for nobody who waits.
};

/** What came of an attempt. */
struct attempt_result {
  run_outcome outcome = run_outcome::kComplete;  ///< For the placement.
  bool may_have_run = false;                     ///< The server may have begun.
  bool is_complete = false;             ///< The answer came to its end.
  std::optional<http_response> answer;  ///< Whole answer that is no stream.
  failure error;                        ///< If nothing whole came.
  time_point first_event;               ///< When the first event came.
};

/** Lets others end an attempt. */
struct attempt_handle {
  std::shared_ptr<backend_connection> connection;  ///< In use, or nullptr.
  bool aborted = false;                            ///< Abort() was called.
  /** Closes the connection. */
  auto Abort() -> void {
    aborted = true;
    if (connection != nullptr) {
      connection->Abort();
    }
  }
};

/** Runs one attempt. Streams go to `sink` as they come; other answers are in
 * the result. `progress` and `handle` must outlive the call. */
auto RunAttempt(host_state& host,
                const attempt_order& order,
                stream_progress& progress,
                attempt_handle& handle,
                answer_sink& sink) -> boost::asio::awaitable<attempt_result>;

}  // namespace dogwood

#endif  // SRC_HOSTD_RELAY_H_
