/** A caller's request as the host sees it, free of the names on the wire. */
#ifndef SRC_CALLER_TYPE_H_
#define SRC_CALLER_TYPE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "src/http_type.h"
#include "src/unit_type.h"

namespace dogwood {

using attempt_id = strong<struct attempt_tag, std::string>;

/** What a caller's request asks for. */
enum class caller_call {
  kServe,       ///< A route's request, or a submission of a batch job.
  kJobResults,  ///< Results of a batch job from a position on.
  kJobItem,     ///< Body of an item.
  kJobEnd,      ///< End of a batch job.
};

/** Fields of a request that decide its way. */
struct caller_request {
  caller_call call = caller_call::kServe;  ///< What it asks for.
  std::string host;                        ///< Host name without port.
  std::string path;                        ///< Path without query.
  attempt_id attempt;                      ///< The caller's name of this try.
  std::string key_hash;  ///< SHA-256 of the key, hex; empty if there is none.
  std::optional<std::chrono::milliseconds>
      time_left;                   ///< Caller waits so long.
  std::uint64_t resume_after = 0;  ///< Last event that the caller has; 0: none.
  std::string job;                 ///< Job of the calls on jobs.
  std::string item;                ///< Item of kJobItem.
  std::uint64_t position = 0;      ///< First position of kJobResults.
  std::chrono::milliseconds result_wait{};  ///< kJobResults may wait so long.
};

/** Load that a server tells in its answers. */
struct reported_load {
  unsigned running = 0;  ///< Requests that run.
  unsigned waiting = 0;  ///< Requests that wait for a slot.
  unsigned slots = 0;    ///< Slots.
};

/** What the head of a server's answer says. */
struct server_answer {
  unsigned status = 0;     ///< HTTP status.
  attempt_id attempt;      ///< Request it belongs to; empty if untold.
  bool is_proven = false;  ///< Carries the server's proof of work.
  bool not_run = false;    ///< The server states that it did not run.
  bool is_stream = false;  ///< The body is a series of events.
  std::optional<reported_load> load;  ///< Load, if told.
  std::optional<unsigned> idle_s;     ///< Seconds that the connection is kept.
};

/** What the host decides about a request before it sends it to a server. */
struct server_order {
  server_id server;                       ///< The only server that may run it.
  workspace_id workspace;                 ///< Empty on open routes.
  std::chrono::milliseconds time_left{};  ///< The server stops work after it.
  std::uint64_t resume_after = 0;         ///< Last event received; 0: none.
};

}  // namespace dogwood

#endif  // SRC_CALLER_TYPE_H_
