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
  double per_s = 0;  ///< Requests per second.
  double burst = 0;  ///< Bucket size; below 1 nothing is admitted.
  auto operator<=>(const limit_rate&) const = default;
};

/** How hosts share a limit. */
enum class limit_mode {
  kDemandShares,   ///< The owner grants tokens ahead, by each host's demand.
  kCentralBucket,  ///< Each request needs a token from the owner (baseline).
  kStaticSplit,    ///< rate/N and burst/N on each of N hosts (baseline).
};

/** Identifies one grant of one owner. */
using grant_id = strong<struct grant_tag, std::uint64_t>;

/** Answer of an owner to a token request. */
struct token_grant {
  grant_id id;               ///< Identifies the grant in reports.
  std::uint32_t tokens = 0;  ///< Number of requests that may be admitted.
  duration ttl{};            ///< Lifetime, counted from sending the request.
  duration retry_after{};    ///< Delay before a retry, if there are no tokens.
};

/** Use of a grant's tokens since the last report. */
struct grant_report {
  grant_id grant;
  std::uint32_t used = 0;      ///< Tokens used by admitted requests.
  std::uint32_t returned = 0;  ///< Tokens returned unused.
};

/** Request of a host for tokens of a workspace's limit, with reports on earlier
 * grants. A report is sent once: if the message is lost, the owner counts the
 * tokens as outstanding until they expire. */
struct token_request {
  workspace_id workspace;
  std::uint32_t tokens = 0;           ///< Tokens wanted; 0 if only reporting.
  std::vector<grant_report> reports;  ///< Reports on earlier grants.
};

}  // namespace dogwood

#endif  // SRC_LIMIT_TYPE_H_
