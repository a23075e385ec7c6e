#include "src/dispatch_drain.h"

#include <algorithm>

namespace dogwood {
namespace {

/** Time that a run gets, as a multiple of its typical duration. */
constexpr int kRunMultiple = 2;

}  // namespace

auto LatestDrainStart(const drain_times& drain,
                      time_point deadline,
                      duration typical_run) -> time_point {
  if (deadline <= drain.ends) {
    return time_point::max();
  }
  if (typical_run <= duration()) {
    return time_point::min();
  }
  return std::min(drain.learned, drain.ends - kRunMultiple * typical_run);
}

}  // namespace dogwood
