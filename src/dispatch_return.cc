#include "src/dispatch_return.h"

#include <algorithm>

namespace dogwood {
namespace {

/** A request whose time left is below this part of the longest that its route
 * has seen was refused or has failed before. */
constexpr double kReturningShare = 0.97;
/** Until a host has seen so many requests of a route, the route's limit counts
 * as a time that callers have: the longest seen may be a returning caller's. */
constexpr std::size_t kEnoughRequests = 20;

}  // namespace

auto retry_detector::Note(const route_rule& route,
                          std::chrono::milliseconds time_left,
                          std::uint64_t resume_after) -> bool {
  longest_time_left_ = std::max(longest_time_left_, time_left);
  const auto longest = requests_ < kEnoughRequests
                           ? std::max(longest_time_left_, route.answer_timeout)
                           : longest_time_left_;
  ++requests_;
  return resume_after > 0 ||
         static_cast<double>(time_left.count()) <
             kReturningShare * static_cast<double>(longest.count());
}

}  // namespace dogwood
