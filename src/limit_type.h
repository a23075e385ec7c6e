/** Types of the fleet-wide request limits. */
#ifndef SRC_LIMIT_TYPE_H_
#define SRC_LIMIT_TYPE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Limit of one workspace over all hosts together. */
struct limit_rate {
  double per_s = 0;  ///< Requests a second.
  double burst = 0;  ///< Requests at once; below 1 nothing is admitted.
  auto operator<=>(const limit_rate&) const = default;
};

/** How hosts share a limit. */
enum class limit_mode {
  kDemandShares,   ///< Grants ahead of demand from the owner of the limit.
  kCentralBucket,  ///< One token asked for each request (baseline).
  kStaticSplit,    ///< rate/N and burst/N on each of N hosts (baseline).
};

/** Names one grant of one owner. */
using grant_id = strong<struct lot_tag, std::uint64_t>;

/** What an owner gives. */
struct token_grant {
  grant_id lot;              ///< Names the grant in reports.
  std::uint32_t tokens = 0;  ///< Requests that may be admitted.
  duration life{};           ///< They expire this long after the ask was sent.
  duration retry_after{};    ///< When to ask again, if none were given.
};

/** What has become of a grant's tokens since the last report. */
struct grant_report {
  grant_id lot;                ///< Which grant.
  std::uint32_t used = 0;      ///< Requests admitted.
  std::uint32_t returned = 0;  ///< Tokens given up unused.
};

/** An ask that is due, with reports on earlier grants. A report is sent once:
 * if the message is lost, the owner counts the tokens until they expire. */
struct token_request {
  workspace_id workspace;             ///< Whose limit.
  std::uint32_t tokens = 0;           ///< How many are wanted; may be 0.
  std::vector<grant_report> reports;  ///< On earlier grants.
};

}  // namespace dogwood

#endif  // SRC_LIMIT_TYPE_H_
