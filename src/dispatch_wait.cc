#include "src/dispatch_wait.h"

#include <algorithm>

namespace dogwood {
namespace {

/** Callers leave a stream that is silent for the longest of these: a length of
 * time, a multiple of the objective, and a multiple of the longest pause that
 * is on time (the platform's pages, "Requests"). */
constexpr std::chrono::milliseconds kLeastPatience{2000};
constexpr int kObjectivePatience = 4;
constexpr int kGapPatience = 8;
/** A usual time takes this part of what is left at most, so that a route whose
 * runs have become slow is still tried, and its times are learned anew. */
constexpr int kMostRunDivisor = 2;

/** How long a caller waits for the first event. */
auto Patience(const route_rule& route) -> duration {
  return std::max({kLeastPatience, kObjectivePatience * route.objective,
                   kGapPatience * route.event_gap_objective});
}

}  // namespace

auto StartLimits(const route_rule& route,
                 time_point arrived,
                 time_point deadline,
                 const run_times& usual) -> start_limits {
  const auto run =
      std::min(usual.whole, (deadline - arrived) / kMostRunDivisor);
  start_limits limits{
      .latest_on_time_start = arrived + route.objective - usual.first_event,
      .latest_start = deadline - run};
  if (route.kind == request_kind::kStream) {
    limits.latest_start = std::min(
        limits.latest_start, arrived + Patience(route) - usual.first_event);
  }
  return limits;
}

}  // namespace dogwood
