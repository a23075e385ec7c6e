/** Wall clock time for records that other hosts read. */
#ifndef SRC_WALL_CLOCK_H_
#define SRC_WALL_CLOCK_H_

#include <chrono>

#include "src/job_type.h"

namespace dogwood {

/** Returns the current time in milliseconds since the Unix epoch. */
inline auto UnixNow() -> unix_ms {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return unix_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count()));
}

}  // namespace dogwood

#endif  // SRC_WALL_CLOCK_H_
