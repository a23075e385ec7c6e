#include "src/deployment_evacuation.h"

namespace dogwood {

auto evacuation_table::Replace(const data_centre_set& evacuated, time_point now)
    -> evacuation_changes {
  evacuation_changes changes;
  for (const auto& [data_centre, since] : since_) {
    if (!evacuated.contains(data_centre)) {
      changes.ended.push_back(data_centre);
    }
  }
  for (const auto& data_centre : changes.ended) {
    since_.erase(data_centre);
  }
  for (const auto& data_centre : evacuated) {
    if (since_.try_emplace(data_centre, now).second) {
      changes.begun.push_back(data_centre);
    }
  }
  revision_ += changes.IsEmpty() ? 0 : 1;
  return changes;
}

auto evacuation_table::All() const -> data_centre_set {
  data_centre_set all;
  for (const auto& [data_centre, since] : since_) {
    all.insert(data_centre);
  }
  return all;
}

}  // namespace dogwood
