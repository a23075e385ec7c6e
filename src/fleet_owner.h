/** When a host reads the owners of the group's partitions. */
#ifndef SRC_FLEET_OWNER_H_
#define SRC_FLEET_OWNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "src/unit_type.h"

namespace dogwood {

/** Decides when the owners of the partitions are read. No clock, no I/O.
 *
 * Load pattern: all hosts of a large fleet start at once. The store raises the
 * generation when a member comes or goes, but partitions change hands later and
 * without a further generation: their former owners give them up when they
 * renew their membership with the new generation, up to two renewals later.
 * Until then the first host owns all partitions, and the others would take it
 * for the only member. */
class owner_reads {
 public:
  /** Partitions may change hands for `member_life` after a change. */
  explicit owner_reads(std::chrono::milliseconds member_life)
      : member_life_(member_life) {}

  /** Records a renewal at `now`, after which the store has listed `owned`
   * partitions as this host's. */
  auto RecordJoin(std::uint64_t generation, std::size_t owned, time_point now)
      -> void {
    if (generation != generation_ || (owned > 0) != owns_any_) {
      settles_at_ = now + member_life_;
    }
    generation_ = generation;
    owns_any_ = owned > 0;
  }

  /** Whether a host that knows the owners of generation `known` reads them at
   * `now`. `follows_store` is false if other hosts tell it newer ones. */
  auto IsDue(std::uint64_t known, bool follows_store, time_point now) const
      -> bool {
    if (generation_ < known) {
      return true;  // The store counts anew.
    }
    return follows_store &&
           (generation_ > known || (owns_any_ && now < settles_at_));
  }

 private:
  std::chrono::milliseconds member_life_;
  std::uint64_t generation_ = 0;
  bool owns_any_ = false;
  time_point settles_at_;  // Partitions may change hands until then.
};

}  // namespace dogwood

#endif  // SRC_FLEET_OWNER_H_
