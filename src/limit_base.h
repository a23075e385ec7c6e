/** Fleet-wide rate limits: the owner's token buckets and each host's share.
 *
 * A workspace with rate r and burst b may have at most b + r*T requests
 * admitted in any interval of length T over all hosts. The owner keeps
 * level + outstanding <= b, where outstanding is the number of tokens that are
 * granted and neither reported nor expired. Requests admitted in an interval
 * use tokens that were in the bucket or outstanding at its start, or were added
 * since, which are at most b + r*T. */
#ifndef SRC_LIMIT_BASE_H_
#define SRC_LIMIT_BASE_H_

#include <map>
#include <mutex>
#include <span>
#include <vector>

#include "src/limit_type.h"

namespace dogwood {

/** Owners expire grants later than the hosts that use them, by this factor, so
 * that clock rates may be off by up to 5% each way. */
constexpr double kLimitDriftFactor = 1.15;

/** Token buckets of the limits that this host owns. Thread-safe. */
class limit_owner_table {
 public:
  /** Tokens expire `grant_ttl` after they were requested. `first_grant_id` is
   * a random number, so that a report on a former owner's grant does not match
   * a grant of this owner. */
  limit_owner_table(duration grant_ttl, std::uint64_t first_grant_id);

  /** Earliest time at which an owner since `owner_since` may grant tokens. The
   * former owner's last grants have expired then: their lifetime, with clock
   * drift, has passed since that owner stopped. */
  auto FirstGrantAt(time_point owner_since) const -> time_point;
  /** Applies reports and grants up to `want` tokens. `owner_since` is when this
   * host certainly became owner. A bucket that is created since then starts
   * empty at FirstGrantAt(). */
  auto Grant(const workspace_id& workspace,
             const limit_rate& rate,
             std::uint32_t want,
             std::span<const grant_report> reports,
             time_point owner_since,
             time_point now) -> token_grant;
  /** Evicts full buckets. This is safe because a bucket that is created again
   * fills from FirstGrantAt() on and so is not fuller. */
  auto EvictFull(time_point now) -> void;

 private:
  struct granted_tokens {
    std::uint32_t tokens = 0;  ///< Neither reported nor expired.
    time_point expires;        ///< From then on no host uses them.
  };
  struct bucket {
    double level = 0;        ///< Tokens not granted.
    double outstanding = 0;  ///< Sum of the tokens of `grants`.
    /** Outstanding grants by id, so oldest first. */
    std::map<grant_id, granted_tokens> grants;
    time_point filled_at;    ///< Time of the last fill.
    time_point owner_since;  ///< Start of the ownership it belongs to.
    limit_rate rate;         ///< Rate of the last fill.
  };

  auto BucketOf(const workspace_id& workspace, time_point owner_since)
      -> bucket&;
  auto Advance(bucket& b, const limit_rate& rate, time_point now) -> void;
  auto NewGrantId() -> grant_id;

  std::mutex mutex_;
  duration grant_ttl_;
  std::uint64_t next_grant_id_;
  std::map<workspace_id, bucket> buckets_;
};

/** Tokens that this host holds, and the requests that it should send to the
 * owners of limits. Thread-safe. */
class limit_share_table {
 public:
  limit_share_table(limit_mode mode, duration request_interval);

  /** Sets the number of hosts that share each limit; used by kStaticSplit only.
   */
  auto SetHostCount(std::size_t hosts) -> void;
  /** Records the demand of one request and admits it if a token is held;
   * otherwise it counts as waiting. */
  auto Admit(const workspace_id& workspace,
             const limit_rate& rate,
             time_point now) -> bool;
  /** Tries again to admit a waiting request, without recording demand again. */
  auto AdmitWaiting(const workspace_id& workspace,
                    const limit_rate& rate,
                    time_point now) -> bool;
  /** Records that a waiting request has timed out or was cancelled. */
  auto StopWaiting(const workspace_id& workspace) -> void;
  /** Returns the token requests that are due. At most one per workspace is
   * outstanding; it counts as lost at `deadline`. The reports in them are not
   * kept, since a report is sent only once. */
  auto DueRequests(time_point now, time_point deadline)
      -> std::vector<token_request>;
  /** Applies the answer to a token request that was sent at `sent`. */
  auto ApplyGrant(const workspace_id& workspace,
                  const token_grant& grant,
                  time_point sent) -> void;
  /** Returns when a refused caller should retry, not before `now`. */
  auto RetryAt(const workspace_id& workspace, time_point now) -> time_point;

 private:
  struct held_grant {
    grant_id id;               ///< Assigned by the owner.
    std::uint32_t tokens = 0;  ///< Remaining tokens.
    std::uint32_t used = 0;    ///< Tokens used since the last report.
    time_point expires;        ///< Tokens are not used from then on.
  };
  struct share {
    std::vector<held_grant> grants;  ///< Oldest first.
    double demand_per_s = 0;         ///< Moving average of requests per second.
    std::uint32_t arrived = 0;       ///< Requests since `window_start`.
    std::uint32_t waiting = 0;       ///< Requests waiting for a token.
    time_point window_start;         ///< Start of the demand window.
    /** Earliest time of the next token request. */
    time_point next_request_at;
    /** A token request is outstanding until then. */
    time_point response_deadline;
    time_point retry_at;      ///< Set by an answer without tokens.
    double local_level = 0;   ///< kStaticSplit: tokens.
    time_point local_filled;  ///< kStaticSplit: last fill; 0 if never.
  };

  auto ConsumeToken(share& s, const limit_rate& rate, time_point now) -> bool;
  auto ConsumeLocalToken(share& s, const limit_rate& rate, time_point now)
      -> bool;
  auto MeasureDemand(share& s, time_point now) -> void;
  auto HeldTarget(const share& s) const -> std::uint32_t;
  auto MakeRequest(const workspace_id& workspace, share& s, time_point now)
      -> token_request;

  std::mutex mutex_;
  limit_mode mode_;
  duration request_interval_;
  std::size_t hosts_ = 1;
  std::map<workspace_id, share> shares_;
};

}  // namespace dogwood

#endif  // SRC_LIMIT_BASE_H_
