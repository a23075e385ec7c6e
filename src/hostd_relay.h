/** One attempt to run a request at one server, with the forwarding of its
 * answer.
 */
#ifndef SRC_HOSTD_RELAY_H_
#define SRC_HOSTD_RELAY_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/caller_type.h"
#include "src/deployment.h"
#include "src/dispatch.h"
#include "src/entryd_backend.h"
#include "src/http.h"

namespace dogwood {

struct host_state;

/** Progress of an event stream over all attempts. */
struct stream_progress {
  std::uint64_t last_event = 0;  ///< Last event received; 0: none.
  /** Set once the head of an answer has been forwarded. */
  bool has_head = false;
};

/** Receives the parts of a streamed answer. */
class answer_sink {
 public:
  virtual ~answer_sink() = default;
  /** Receives the head of a stream, once, before its first events. Returns
   * false if the receiver has gone. */
  virtual auto HandleHead(const http_head& head)
      -> boost::asio::awaitable<bool> = 0;
  /** Receives complete events as the server sent them. Returns false if the
   * receiver has gone. */
  virtual auto HandleEvents(std::string events)
      -> boost::asio::awaitable<bool> = 0;
};

/** Parameters of an attempt. */
struct attempt_spec {
  /** The request as the caller sent it; must outlive the attempt. */
  const http_request* request = nullptr;
  attempt_id attempt;          ///< Identifier of the request.
  registered_server server;    ///< Server to send it to.
  workspace_id workspace;      ///< Workspace of the request.
  service_id service;          ///< Service whose answer times apply.
  time_point deadline;         ///< Deadline of the request over all attempts.
  bool is_repeatable = false;  ///< The request may run more than once.
  /** Batch item: no caller waits for the next event, and the attempt ends if
   * the server falls silent for long. */
  bool is_batch = false;
  /** Called when the server has been silent for unusually long, and again as
   * long as it is. Empty if no other server may continue. */
  std::function<void()> on_silence;
  /** Times to the first event, and between events, that are still on time; zero
   * if none are declared. No attempt is given up within them. */
  duration first_event_objective{};
  duration event_gap_objective{};
};

/** Result of an attempt. */
struct attempt_result {
  /** Outcome reported to the placement. */
  run_outcome outcome = run_outcome::kComplete;
  bool may_have_run = false;  ///< The server may have run the request.
  /** The attempt was ended because the server was silent and another one had
   * room. */
  bool was_left_silent = false;
  /** The server broke off as one does that crashes on the request. */
  bool may_have_crashed = false;
  bool is_complete = false;  ///< The answer arrived completely.
  /** Complete answer that is not a stream. */
  std::optional<http_response> answer;
  failure error;           ///< Why no complete or successful answer arrived.
  time_point first_event;  ///< Arrival of the first event.
  stream_times times;      ///< Of the answer, if it is a stream.
};

/** Allows other coroutines to abort an attempt. */
struct attempt_handle {
  std::shared_ptr<backend_connection> connection;  ///< In use, or nullptr.
  bool aborted = false;    ///< Set by Abort() and MoveOn().
  bool has_moved = false;  ///< Set by MoveOn().
  /** Closes the connection in use and marks the attempt as aborted. */
  auto Abort() -> void {
    aborted = true;
    if (connection != nullptr) {
      connection->Abort();
    }
  }
  /** As Abort(), because the server is silent and another one has room. */
  auto MoveOn() -> void {
    has_moved = true;
    Abort();
  }
};

/** Returns the servers of a service to which an attempt would use an idle
 * connection. */
auto ConnectedServers(host_state& host,
                      const service_id& service,
                      bool is_repeatable) -> std::vector<server_id>;

/** Runs one attempt. Streams are forwarded to `sink` as they arrive; other
 * answers are in the result. All arguments must outlive the call. */
auto RunAttempt(host_state& host,
                const attempt_spec& spec,
                stream_progress& progress,
                attempt_handle& handle,
                answer_sink& sink) -> boost::asio::awaitable<attempt_result>;

}  // namespace dogwood

#endif  // SRC_HOSTD_RELAY_H_
