/** Types of the fleet-wide request limits. */
#ifndef SRC_LIMIT_TYPE_H_
#define SRC_LIMIT_TYPE_H_

#include <chrono>
#include <cstdint>

#include "src/unit_type.h"

namespace dogwood {

/** Limit of one workspace over all hosts together. */
struct limit_rate {
  double per_s = 0;  ///< Requests a second.
  double burst = 0;  ///< Requests at once.
  auto operator<=>(const limit_rate&) const = default;
};

/** How hosts share a limit. */
enum class limit_mode {
  kDemandShares,   ///< Grants ahead of demand from the owner of the limit.
  kCentralBucket,  ///< One token asked for each request (baseline).
  kStaticSplit,    ///< rate/N and burst/N on each of N hosts (baseline).
};

/** What an owner gives. */
struct token_grant {
  std::uint32_t tokens = 0;  ///< Requests that may be admitted.
  duration life{};           ///< They expire this long after the ask was sent.
  duration retry_after{};    ///< When to ask again, if none were given.
};

/** An ask that is due. */
struct token_ask {
  workspace_id workspace;    ///< Whose limit.
  std::uint32_t tokens = 0;  ///< How many are wanted.
};

}  // namespace dogwood

#endif  // SRC_LIMIT_TYPE_H_
