/** Types of the placement of requests on backend servers. */
#ifndef SRC_DISPATCH_TYPE_H_
#define SRC_DISPATCH_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/deployment_type.h"
#include "src/limit_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Names one ask of one host, and the slot that it leads to. */
using ticket_id = strong<struct ticket_tag, std::uint64_t>;

/** Where something is. */
struct host_location {
  data_centre_id data_centre;  ///< Data centre.
  region_id region;            ///< Its region.
};

/** Who waits for the work. */
enum class work_class : std::uint8_t {
  kOnline,  ///< A caller waits.
  kBatch,   ///< An item of a batch job; makes room for online work.
};

/** A host's ask for a slot. */
struct placement_request {
  host_id host;                           ///< Who asks.
  ticket_id ticket;                       ///< Unique among its asks.
  service_id service;                     ///< Where the request may run.
  workspace_id workspace;                 ///< Whose it is; empty: nobody's.
  work_class work = work_class::kOnline;  ///< Who waits.
  unsigned priority = 0;                  ///< 0 is the highest.
  bool takes_token = false;               ///< Counts to the workspace's limit.
  bool is_retry = false;                  ///< Was refused before.
  host_location place;                    ///< Of the host.
  time_point latest_on_time_start;        ///< Later starts miss the objective.
  time_point latest_start;                ///< Later starts help nobody.
  std::vector<server_id> avoided;         ///< Not to be chosen again.
};

/** What becomes of an ask. */
enum class placement_verdict : std::uint8_t {
  kGranted,     ///< `server` has a slot for it.
  kOverLimit,   ///< The workspace is at its limit.
  kNoCapacity,  ///< No slot will be free in time.
  kNoServer,    ///< No server of the service is known.
  kNotReady,    ///< The dispatcher has just begun or must not decide.
};

/** Answer to an ask. */
struct placement_answer {
  placement_verdict verdict = placement_verdict::kNotReady;  ///< Outcome.
  server_id server;                                          ///< With kGranted.
  std::uint32_t waiting = 0;  ///< Asks ahead when it was decided, for logs.
  std::uint32_t free = 0;     ///< Free slots then, for logs.
  time_point retry_at;        ///< When a refused caller may return.
};

/** An answer for the host that asked. */
struct placement_notice {
  host_id host;             ///< Who asked.
  ticket_id ticket;         ///< Which ask.
  placement_answer answer;  ///< Outcome.
};

/** How a run on a server ended. */
enum class run_outcome : std::uint8_t {
  kComplete,     ///< The whole answer came.
  kFailed,       ///< The server answered with a failure or broke off.
  kNotRun,       ///< The server stated that it did not run it.
  kFull,         ///< The same, because all its places were taken.
  kUnreachable,  ///< No connection, or silence.
  kCancelled,    ///< The caller left, or the run was ended for other work.
  kUnused,       ///< The slot was not used.
};

/** The end of a run. */
struct run_end_report {
  ticket_id ticket;                              ///< Which run.
  run_outcome outcome = run_outcome::kComplete;  ///< How it ended.
};

/** A slot that a host says it uses. */
struct held_slot {
  ticket_id ticket;                       ///< Its name of the run.
  server_id server;                       ///< Where it runs.
  work_class work = work_class::kOnline;  ///< What it is.
};

/** A run that is to make room. */
struct preemption {
  host_id host;      ///< Who runs it.
  ticket_id ticket;  ///< Which run.
};

/** Requests on a server, as its dispatcher counts them or as it has told. */
struct server_count {
  server_id server;         ///< Which.
  std::uint32_t count = 0;  ///< Requests.
};

/** Constants of the placement. Lengths of time are policy, not state. */
struct dispatch_policy {
  /** A host that has not reported for this long holds nothing any more. */
  std::chrono::milliseconds host_silence{1500};
  /** A slot that its host does not list counts as used for this long after it
   * was granted: the list may have been made before the grant arrived. */
  std::chrono::milliseconds grant_travel{600};
  /** A new dispatcher listens this long before it decides. */
  std::chrono::milliseconds warm_up{350};
  /** First pause of a server that could not be reached; it doubles. */
  std::chrono::milliseconds first_pause{300};
  /** Longest pause of a server that cannot be reached. */
  std::chrono::milliseconds longest_pause{3000};
  /** Pause of a server that was full although a slot was counted free. */
  std::chrono::milliseconds full_pause{100};
  /** Refused callers are asked to return within this span. */
  std::chrono::milliseconds first_return{600};
  std::chrono::milliseconds last_return{1600};
  /** Part of a workspace's burst that a new dispatcher starts with: the one
   * before may just have admitted the whole burst. */
  double first_burst = 0.5;
  /** Part of each server's slots that batch runs leave free, so that an online
   * request seldom has to end one: an ended run costs a connection, reads its
   * prompt again, and the server may still count it when the request comes. */
  double batch_reserve = 0.125;
  /** A load that a server has told counts for this long: twice the period of
   * the hosts' reports, which carry it. */
  std::chrono::milliseconds reported_load_ttl{600};
  /** Standard deviations added to the expected wait for a slot, so that 95 in
   * 100 of the asks that are taken at the limit of the queue start on time. */
  double wait_deviations = 1.65;
  /** Time of an online run that is assumed before any was measured. */
  std::chrono::milliseconds first_run_time{800};
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_TYPE_H_
