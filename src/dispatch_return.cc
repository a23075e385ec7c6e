#include "src/dispatch_return.h"

#include <algorithm>

namespace dogwood {
namespace {

/** A request counts as a retry if its remaining time is below this fraction of
 * the longest that was seen on its route. */
constexpr double kRetryThreshold = 0.97;
/** Until a host has seen this many requests of a route, the route's answer
 * limit counts as seen too: the longest seen so far may be that of a retry. */
constexpr std::size_t kMinRequests = 20;

}  // namespace

auto retry_detector::RecordAndCheckRetry(
    const route_rule& route,
    std::chrono::milliseconds time_remaining,
    std::uint64_t resume_after) -> bool {
  longest_time_remaining_ = std::max(longest_time_remaining_, time_remaining);
  const auto longest =
      requests_ < kMinRequests
          ? std::max(longest_time_remaining_, route.answer_timeout)
          : longest_time_remaining_;
  ++requests_;
  return resume_after > 0 ||
         static_cast<double>(time_remaining.count()) <
             kRetryThreshold * static_cast<double>(longest.count());
}

}  // namespace dogwood
