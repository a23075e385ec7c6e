#include "src/dispatch_wait.h"

#include <algorithm>

namespace dogwood {
namespace {

/** Callers abandon a stream if no event comes for the longest of these: a fixed
 * time, a multiple of the objective, and a multiple of the longest gap between
 * events that is on time (the platform's pages, "Requests"). */
constexpr std::chrono::milliseconds kMinEventTimeout{2000};
constexpr int kObjectiveMultiple = 4;
constexpr int kEventGapMultiple = 8;
/** The typical run time is limited to the remaining time divided by this, so
 * that a route whose runs have become slow is still tried and its times are
 * measured again. */
constexpr int kMaxRunDivisor = 2;

/** Returns how long a caller waits for the next event. */
auto EventTimeout(const route_rule& route) -> duration {
  return std::max({kMinEventTimeout, kObjectiveMultiple * route.objective,
                   kEventGapMultiple * route.event_gap_objective});
}

}  // namespace

auto StartLimits(const route_rule& route,
                 time_point arrived,
                 time_point deadline,
                 const run_times& typical) -> start_limits {
  const auto run =
      std::min(typical.complete, (deadline - arrived) / kMaxRunDivisor);
  start_limits limits{
      .latest_on_time_start = arrived + route.objective - typical.first_event,
      .latest_start = deadline - run};
  if (route.kind == request_kind::kStream) {
    limits.latest_start =
        std::min(limits.latest_start,
                 arrived + EventTimeout(route) - typical.first_event);
  }
  return limits;
}

auto ContinuationLimits(const route_rule& route,
                        time_point last_event,
                        time_point deadline,
                        const run_times& typical) -> start_limits {
  return {.latest_on_time_start =
              last_event + route.event_gap_objective - typical.first_event,
          .latest_start = std::min(deadline, last_event + EventTimeout(route)) -
                          typical.first_event};
}

}  // namespace dogwood
