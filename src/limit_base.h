/** Fleet-wide limits: the owner's buckets and each host's share.
 *
 * A workspace with rate r and burst b may have at most b + r*T requests
 * admitted in any interval T over all hosts. The owner's bucket holds at most
 * b - r*d tokens, d being the life of a grant; tokens used in an interval T
 * were granted within T + d, so at most (b - r*d) + r*(T + d) are used. */
#ifndef SRC_LIMIT_BASE_H_
#define SRC_LIMIT_BASE_H_

#include <map>
#include <mutex>
#include <vector>

#include "src/limit_type.h"

namespace dogwood {

/** Buckets of the limits that this host owns. Thread-safe. */
class granter_table {
 public:
  /** Life of grants at most; shorter where the burst is small. */
  explicit granter_table(duration grant_life);

  /** Takes up to `want` tokens. `owner_since` is when this host became owner
   * for certain: a bucket that is new since then starts empty, because the
   * former owner's last grants may still be in use. A changed rate keeps the
   * tokens, bounded by the new capacity. */
  auto Grant(const workspace_id& workspace,
             const limit_rate& rate,
             std::uint32_t want,
             time_point owner_since,
             time_point now) -> token_grant;
  /** Forgets buckets unused since `before`. A forgotten bucket starts empty
   * again. */
  auto Forget(time_point before) -> void;

 private:
  struct bucket {
    limit_rate rate;         ///< Rate it is filled at.
    double tokens = 0;       ///< Tokens at `filled_at`.
    time_point filled_at;    ///< Last fill.
    time_point owner_since;  ///< Ownership that it belongs to.
  };

  std::mutex mutex_;
  duration grant_life_;
  std::map<workspace_id, bucket> buckets_;
};

/** Tokens that this host holds, and what it should ask for. Thread-safe. */
class share_table {
 public:
  share_table(limit_mode mode, duration ask_period);

  /** Number of hosts that share each limit; used by kStaticSplit only. */
  auto SetHostCount(std::size_t hosts) -> void;
  /** Notes one request and admits it if a token is held. */
  auto Admit(const workspace_id& workspace,
             const limit_rate& rate,
             time_point now) -> bool;
  /** Admits a request that Admit() did not, without noting demand again. */
  auto AdmitWaiting(const workspace_id& workspace,
                    const limit_rate& rate,
                    time_point now) -> bool;
  /** Asks that are due now. At most one for a workspace is outstanding; it
   * counts as lost at `deadline`. */
  auto DueAsks(time_point now, time_point deadline) -> std::vector<token_ask>;
  /** Takes the answer to an ask that was sent at `sent`. */
  auto TakeGrant(const workspace_id& workspace,
                 const token_grant& grant,
                 time_point sent) -> void;
  /** When a refused caller should try again, at least now. */
  auto RetryAt(const workspace_id& workspace, time_point now) -> time_point;

 private:
  struct lot {
    std::uint32_t tokens = 0;  ///< Tokens left.
    time_point expires;        ///< Not used from then on.
  };
  struct share {
    std::vector<lot> lots;      ///< Oldest first.
    double demand_per_s = 0;    ///< EWMA of requests.
    double seen = 0;            ///< Requests since `window_start`.
    std::uint32_t waiting = 0;  ///< Requests not admitted since the last ask.
    time_point window_start;    ///< Start of the demand window.
    time_point next_ask;        ///< No ask before then.
    time_point ask_deadline;    ///< An ask is outstanding until then.
    double local_tokens = 0;    ///< kStaticSplit: own bucket.
    time_point local_filled;    ///< kStaticSplit: last fill.
  };

  auto AdmitShare(share& s, const limit_rate& rate, time_point now) -> bool;

  std::mutex mutex_;
  limit_mode mode_;
  duration ask_period_;
  std::size_t hosts_ = 1;
  std::map<workspace_id, share> shares_;
};

}  // namespace dogwood

#endif  // SRC_LIMIT_BASE_H_
