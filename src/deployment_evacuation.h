/** Data centres to whose servers nothing more is to be sent. */
#ifndef SRC_DEPLOYMENT_EVACUATION_H_
#define SRC_DEPLOYMENT_EVACUATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

using data_centre_set = std::set<data_centre_id>;

/** The difference between two sets of evacuated data centres. */
struct evacuation_changes {
  std::vector<data_centre_id> begun;  ///< Only in the new set.
  std::vector<data_centre_id> ended;  ///< Only in the former set.

  auto IsEmpty() const -> bool { return begun.empty() && ended.empty(); }
};

/** The evacuated data centres and since when each has been evacuated. Has no
 * clock. Not thread-safe. */
class evacuation_table {
 public:
  /** Makes `evacuated` the evacuated data centres. Those that already were keep
   * their times. Returns what has changed; a change has a new revision. */
  auto Replace(const data_centre_set& evacuated, time_point now)
      -> evacuation_changes;

  auto Contains(const data_centre_id& data_centre) const -> bool {
    return since_.contains(data_centre);
  }
  /** Returns the evacuated data centres. */
  auto All() const -> data_centre_set;
  /** The evacuated data centres, with the time since when this process knows of
   * the evacuation. */
  auto since() const -> const std::map<data_centre_id, time_point>& {
    return since_;
  }
  /** Number of the newest change; 0 before the first. */
  auto revision() const -> std::uint64_t { return revision_; }

 private:
  std::map<data_centre_id, time_point> since_;
  std::uint64_t revision_ = 0;
};

}  // namespace dogwood

#endif  // SRC_DEPLOYMENT_EVACUATION_H_
