/** What a host that is being stopped may still begin. */
#ifndef SRC_DISPATCH_DRAIN_H_
#define SRC_DISPATCH_DRAIN_H_

#include "src/unit_type.h"

namespace dogwood {

/** Times of a planned stop; unlimited while none is under way. */
struct drain_times {
  /** When the host learned that it is to stop. */
  time_point begun = time_point::max();
  /** Until then callers may not have learned that the host stops. */
  time_point learned = time_point::max();
  /** Answers that are not complete by then are cut off. */
  time_point ends = time_point::max();
};

/** Returns the latest time at which a request that must end by `deadline` may
 * begin at a server; time_point::min() if it may not begin at all.
 * `typical_run` is the typical duration of a complete run; zero if unknown.
 *
 * Load pattern: hosts are stopped in turn under load. Callers keep an address
 * for up to three times its announced lifetime, and kept connections bring one
 * more request each until the process exits. A request whose deadline passes
 * before the exit gets its answer in any case. A longer one is begun only while
 * callers cannot know better and only if twice its typical run fits: one that
 * is refused as not run costs its caller a retry elsewhere, one that is cut off
 * is lost. */
auto LatestDrainStart(const drain_times& drain,
                      time_point deadline,
                      duration typical_run) -> time_point;

}  // namespace dogwood

#endif  // SRC_DISPATCH_DRAIN_H_
