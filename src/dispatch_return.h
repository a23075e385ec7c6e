/** Which callers have been refused or cut off before. */
#ifndef SRC_DISPATCH_RETURN_H_
#define SRC_DISPATCH_RETURN_H_

#include <chrono>
#include <cstddef>

#include "src/deployment_type.h"

namespace dogwood {

/** Requests of one route. Callers do not say that they return, but one who does
 * has less time left than one who asks for the first time.
 *
 * Load pattern answered: all hosts stop together, and callers whose streams
 * were cut meet hosts that have seen no request yet. A caller refused twice
 * does not come back. */
class retry_detector {
 public:
  /** Notes a request with `time_left` of its caller's time, which goes on after
   * event `resume_after` if that is not 0; true if its caller returns. */
  auto Note(const route_rule& route,
            std::chrono::milliseconds time_left,
            std::uint64_t resume_after) -> bool;

 private:
  std::chrono::milliseconds longest_time_left_{};
  std::size_t requests_ = 0;
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_RETURN_H_
