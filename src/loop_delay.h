/** Delay of an event loop: how late its timers fire. */
#ifndef SRC_LOOP_DELAY_H_
#define SRC_LOOP_DELAY_H_

#include <algorithm>

#include "src/unit_type.h"

namespace dogwood {

/** Largest delay of the timers of an event loop within the last kWindow to
 * 2 * kWindow. A loop that is late serves nobody meanwhile: the host is short
 * of processor time, or a handler has blocked it. */
class loop_delay {
 public:
  static constexpr std::chrono::seconds kWindow{10};

  /** Records that a timer that was due at `due` has fired at `now`. */
  auto Record(time_point due, time_point now) -> void {
    if (now >= window_ends_) {
      previous_ = now < window_ends_ + kWindow ? current_ : duration();
      current_ = duration();
      window_ends_ = now + kWindow;
    }
    current_ = std::max(current_, now - due);
  }

  /** Returns the largest recorded delay. */
  auto Largest() const -> duration { return std::max(previous_, current_); }

 private:
  time_point window_ends_;
  duration current_{};
  duration previous_{};
};

}  // namespace dogwood

#endif  // SRC_LOOP_DELAY_H_
