/** Use of workspace limits over changes of the dispatcher.
 *
 * A dispatcher tells hosts, with its answers, how much of a limit is in use.
 * Hosts tell this to the next dispatcher, together with grants that a
 * dispatcher they report to has not made itself. */
#ifndef SRC_DISPATCH_USAGE_H_
#define SRC_DISPATCH_USAGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch_type.h"
#include "src/limit_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Tokens of a workspace that were consumed and not refilled by a time. */
struct limit_usage {
  workspace_id workspace;
  limit_rate rate;  ///< Limit of the workspace.
  double used = 0;  ///< Tokens in use; above the burst after double grants.
  time_point at;    ///< Time to which `used` applies.
  dispatcher_term source;  ///< Dispatcher that has told it.
};

/** Grants of a workspace's tokens that a host has received. */
struct limit_grants {
  workspace_id workspace;
  limit_rate rate;          ///< Limit of the workspace.
  std::uint32_t count = 0;  ///< Number of tokens.
  time_point at;            ///< Time of the first of them.
  dispatcher_term source;   ///< Dispatcher that has made them.
};

/** What a host tells a dispatcher about the use of limits. */
struct usage_report {
  /** Whether a dispatcher has answered the host recently: limits that are not
   * listed are then hardly in use. */
  bool is_informed = false;
  std::vector<limit_usage> known;    ///< As told by dispatchers.
  std::vector<limit_grants> grants;  ///< Received and not reported before.
};

/** Buckets of a dispatcher. No clock, no I/O. Not thread-safe. */
class limit_ledger {
 public:
  /** Without informed reports a limit begins with `initial_share` of its burst.
   */
  explicit limit_ledger(double initial_share) : initial_share_(initial_share) {}

  /** Forgets everything. */
  auto Clear() -> void;
  /** Records a host's report. `decides` is false until the dispatcher grants
   * its first token; until then reports may come in any order. */
  auto Record(const usage_report& report, bool decides, time_point now) -> void;
  /** Takes a token; false if none is left. */
  auto Consume(const workspace_id& workspace,
               const limit_rate& rate,
               time_point now) -> bool;
  /** Returns a token that was not used. */
  auto Refund(const workspace_id& workspace) -> void;
  /** Returns the use of the limits of which at least `min_share` of the burst
   * is in use, and of which Consume() has been asked. */
  auto Usage(double min_share, time_point now) const
      -> std::vector<limit_usage>;
  /** Returns the tokens of a workspace in use. */
  auto Used(const workspace_id& workspace, time_point now) const -> double;

 private:
  /** Something reported: a use to which the bucket rises, or grants to add. */
  struct event {
    time_point at;
    double tokens = 0;
    bool is_usage = false;
    bool is_local = false;
  };
  /** Refill of a bucket that was full already. */
  struct unused_refill {
    time_point at;      ///< Begin of the interval in which it was lost.
    double tokens = 0;  ///< Tokens lost.
  };
  struct bucket {
    limit_rate rate;
    double used = 0;    ///< Tokens in use at `at`.
    time_point at;      ///< Time of the last change.
    bool open = false;  ///< Whether the start without reports was applied.
    /** Grants of other dispatchers until then are part of `used`. */
    time_point covered_until;
    std::vector<event> events;  ///< Reported and not applied yet.
    /** Against which grants that are reported late are counted. */
    std::deque<unused_refill> unused;
  };

  static auto Refill(bucket& b, time_point now) -> void;
  static auto ApplyEvents(bucket& b) -> void;
  /** Returns what remains of tokens that were granted at `at`, and are only now
   * known, after the refill that would have made up for them. */
  static auto CountLate(bucket& b, double tokens, time_point at) -> double;

  double initial_share_;
  bool informed_ = false;
  std::map<workspace_id, bucket> buckets_;
};

/** What one host remembers of the use of limits. No clock, no I/O. Not
 * thread-safe. */
class usage_memory {
 public:
  /** Records the use of a limit as told by a dispatcher. */
  auto RecordUsage(const limit_usage& usage) -> void;
  /** Records a token granted to this host by `source`. */
  auto RecordGrant(const workspace_id& workspace,
                   const limit_rate& rate,
                   dispatcher_term source,
                   time_point now) -> void;
  /** Returns what the dispatcher on host `target` is to know, without what it
   * has told or granted itself. */
  auto MakeReport(const std::string& target, time_point now) -> usage_report;
  /** Records that `target` has answered a report, as a dispatcher that decides
   * if `ready`. */
  auto RecordReply(const std::string& target,
                   dispatcher_term term,
                   bool ready,
                   time_point now) -> void;
  /** Records that `target` has not answered the report that followed the one of
   * time `previous`. */
  auto RecordNoReply(const std::string& target, time_point previous) -> void;
  /** Returns the time of the latest report to `target`. */
  auto ReportedUntil(const std::string& target) const -> time_point;
  /** Returns the tokens in use as far as this host knows. */
  auto Used(const workspace_id& workspace, time_point now) const -> double;

 private:
  struct grant {
    workspace_id workspace;
    limit_rate rate;
    dispatcher_term source;
    time_point at;
  };
  struct recipient {
    time_point reported_until;  ///< Grants until then have been reported.
    /** Its term while it answers as a dispatcher that decides. */
    std::optional<dispatcher_term> term;
  };

  std::optional<time_point> last_contact_;
  std::map<workspace_id, limit_usage> known_;
  std::deque<grant> grants_;  // In order of time.
  std::map<std::string, recipient> recipients_;
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_USAGE_H_
