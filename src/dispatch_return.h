/** Detection of callers that retry after a refusal or an interruption. */
#ifndef SRC_DISPATCH_RETURN_H_
#define SRC_DISPATCH_RETURN_H_

#include <chrono>
#include <cstddef>

#include "src/deployment_type.h"

namespace dogwood {

/** Detects retries among the requests of one route. Callers do not mark
 * retries, but a retry has less time remaining than a first attempt.
 *
 * It must also work on hosts that have seen no request yet: after a restart of
 * all hosts, callers whose streams were interrupted retry there, and a caller
 * that is refused twice gives up. */
class retry_detector {
 public:
  /** Records a request whose caller waits for `time_remaining` more; it resumes
   * after event `resume_after` if that is not 0. Returns whether it is a retry.
   */
  auto RecordAndCheckRetry(const route_rule& route,
                           std::chrono::milliseconds time_remaining,
                           std::uint64_t resume_after) -> bool;

 private:
  std::chrono::milliseconds longest_time_remaining_{};
  std::size_t requests_ = 0;
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_RETURN_H_
