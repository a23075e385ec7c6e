/** Types of callers' requests and servers' answers, independent of the
 * platform's names on the wire. */
#ifndef SRC_CALLER_TYPE_H_
#define SRC_CALLER_TYPE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "src/http_type.h"
#include "src/prompt_type.h"
#include "src/unit_type.h"

namespace dogwood {

using attempt_id = strong<struct attempt_tag, std::string>;

/** Operation that a caller requests. */
enum class caller_call {
  kServe,       ///< Run a request on a route, or submit a batch job.
  kJobResults,  ///< Read the results of a batch job from a position on.
  kJobItem,     ///< Read the body of an item.
  kJobEnd,      ///< End a batch job.
};

/** Fields of a request that determine its routing and handling. */
struct caller_request {
  caller_call call = caller_call::kServe;  ///< Requested operation.
  std::string host;                        ///< Host name without port.
  std::string path;                        ///< Path without query.
  attempt_id attempt;    ///< Identifier of the attempt, chosen by the caller.
  std::string key_hash;  ///< SHA-256 of the key, hex; empty if there is none.
  /** Time that the caller goes on waiting; empty if it sent none. */
  std::optional<std::chrono::milliseconds> time_remaining;
  /** Last event that the caller has received; 0: none. */
  std::uint64_t resume_after = 0;
  prompt_parts prompt;  ///< Parts of its prompt, if it names them.
  std::string job;   ///< Job identifier of kJobResults, kJobItem and kJobEnd.
  std::string item;  ///< Item identifier of kJobItem.
  std::uint64_t position = 0;  ///< First position of kJobResults.
  /** Longest wait of kJobResults for a result. */
  std::chrono::milliseconds result_wait{};
};

/** Load that a server reports in its answers. */
struct reported_load {
  unsigned running = 0;  ///< Number of running requests.
  unsigned waiting = 0;  ///< Number of requests that wait for a slot.
  unsigned slots = 0;    ///< Number of slots.
  /** How long work takes on the server at this moment, in percent of usual;
   * empty if it was not given or is no number. */
  std::optional<unsigned> slowness_percent = {};
};

/** Decoded head of a server's answer. */
struct server_answer {
  unsigned status = 0;  ///< HTTP status.
  attempt_id attempt;   ///< Request that it answers; empty if not given.
  /** Carries the server's seal, which proves that it ran the request. */
  bool has_proof = false;
  bool not_run = false;  ///< The server states that it did not run the request.
  /** The addressed server states that it leaves. */
  bool is_leaving = false;
  bool is_stream = false;             ///< The body is an event stream.
  std::optional<reported_load> load;  ///< Load, if reported.
  /** How much longer the server is cold, if it says so. */
  std::optional<std::chrono::milliseconds> cold_left;
  /** It says so with a value that cannot be used. */
  bool has_bad_cold_time = false;
  /** Keep-alive time of the connection in seconds, if announced. */
  std::optional<unsigned> keep_alive_s;
};

/** Values that the host sets in a request when it forwards it to a server. */
struct forward_spec {
  server_id server;        ///< The only server that may run it.
  workspace_id workspace;  ///< Empty on open routes.
  /** Remaining time, after which the server stops. */
  std::chrono::milliseconds time_remaining{};
  std::uint64_t resume_after = 0;  ///< Last event received; 0: none.
};

}  // namespace dogwood

#endif  // SRC_CALLER_TYPE_H_
