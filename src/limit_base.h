/** Fleet-wide limits: the owner's buckets and each host's share.
 *
 * A workspace with rate r and burst b may have at most b + r*T requests
 * admitted in any interval of length T over all hosts. The owner keeps
 * level + outstanding <= b, where outstanding counts every token granted and
 * neither reported nor expired. The requests admitted in an interval use
 * tokens that were in the level or outstanding at its start, or filled since,
 * which are at most b + r*T. */
#ifndef SRC_LIMIT_BASE_H_
#define SRC_LIMIT_BASE_H_

#include <map>
#include <mutex>
#include <span>
#include <vector>

#include "src/limit_type.h"

namespace dogwood {

/** Owners count grants this much longer than the hosts that use them, so that
 * clock rates may differ by up to 5% each way. */
constexpr double kLimitDriftFactor = 1.15;

/** Buckets of the limits that this host owns. Thread-safe. */
class limit_owner_table {
 public:
  /** `grant_ttl`: tokens expire this long after they were asked for.
   * `first_lot`: a random number, so that a report on a former owner's grant
   * does not name one of this owner's. */
  limit_owner_table(duration grant_ttl, std::uint64_t first_lot);

  /** From when on an owner since `owner_since` gives tokens: the former owner's
   * last grants expire one life after it stopped. */
  auto FirstGrantAt(time_point owner_since) const -> time_point;
  /** Takes reports and gives up to `want` tokens. `owner_since` is when this
   * host became owner for certain. A bucket that is new since then starts
   * empty once the former owner's last grants have expired. */
  auto Grant(const workspace_id& workspace,
             const limit_rate& rate,
             std::uint32_t want,
             std::span<const grant_report> reports,
             time_point owner_since,
             time_point now) -> token_grant;
  /** Forgets buckets that are full: a new bucket fills from `owner_since` on
   * and so is no fuller than they are. */
  auto EvictFull(time_point now) -> void;

 private:
  struct lot {
    std::uint32_t tokens = 0;  ///< Neither reported nor expired.
    time_point expires;        ///< No host uses them from then on.
  };
  struct bucket {
    double level = 0;              ///< Tokens not granted.
    double outstanding = 0;        ///< Sum over `lots`.
    std::map<grant_id, lot> lots;  ///< By id, so oldest first.
    time_point filled_at;          ///< Time of the last fill.
    time_point owner_since;        ///< Ownership that it belongs to.
    limit_rate rate;               ///< Rate of the last fill.
  };

  auto BucketOf(const workspace_id& workspace, time_point owner_since)
      -> bucket&;
  auto Advance(bucket& b, const limit_rate& rate, time_point now) -> void;
  auto NewLotId() -> grant_id;

  std::mutex mutex_;
  duration grant_life_;
  std::uint64_t next_lot_;
  std::map<workspace_id, bucket> buckets_;
};

/** Tokens that this host holds, and what it should ask for. Thread-safe. */
class limit_share_table {
 public:
  limit_share_table(limit_mode mode, duration request_interval);

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
  /** A request that waited has given up. */
  auto StopWaiting(const workspace_id& workspace) -> void;
  /** Asks that are due now. At most one for a workspace is outstanding; it
   * counts as lost at `deadline`. Reports in them are given up here. */
  auto DueRequests(time_point now, time_point deadline)
      -> std::vector<token_request>;
  /** Takes the answer to an ask that was sent at `sent`. */
  auto ApplyGrant(const workspace_id& workspace,
                  const token_grant& grant,
                  time_point sent) -> void;
  /** When a refused caller should try again, at least now. */
  auto RetryAt(const workspace_id& workspace, time_point now) -> time_point;

 private:
  struct lot {
    grant_id id;               ///< The owner's name of the grant.
    std::uint32_t tokens = 0;  ///< Tokens left.
    std::uint32_t used = 0;    ///< Used since the last report.
    time_point expires;        ///< Not used from then on.
  };
  struct share {
    std::vector<lot> lots;      ///< Oldest first.
    double demand_per_s = 0;    ///< Smoothed requests a second.
    std::uint32_t arrived = 0;  ///< Requests since `window_start`.
    std::uint32_t waiting = 0;  ///< Requests waiting for a token.
    time_point window_start;    ///< Start of the demand window.
    time_point next_ask;        ///< No ask before then.
    time_point ask_deadline;    ///< An ask is outstanding until then.
    time_point retry_at;        ///< From the last grant of none.
    double local_level = 0;     ///< kStaticSplit: tokens.
    time_point local_filled;    ///< kStaticSplit: last fill; 0 if never.
  };

  auto ConsumeToken(share& s, const limit_rate& rate, time_point now) -> bool;
  auto ConsumeLocalToken(share& s, const limit_rate& rate, time_point now)
      -> bool;
  auto MeasureDemand(share& s, time_point now) -> void;
  auto HeldTarget(const share& s) const -> std::uint32_t;
  auto MakeAsk(const workspace_id& workspace, share& s, time_point now)
      -> token_request;

  std::mutex mutex_;
  limit_mode mode_;
  duration ask_period_;
  std::size_t hosts_ = 1;
  std::map<workspace_id, share> shares_;
};

}  // namespace dogwood

#endif  // SRC_LIMIT_BASE_H_
