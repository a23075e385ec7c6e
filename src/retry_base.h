/** Rules for retries: when a failed request may be sent again, and a budget for
 * the total number of retries. */
#ifndef SRC_RETRY_BASE_H_
#define SRC_RETRY_BASE_H_

#include <algorithm>
#include <cstddef>
#include <mutex>

#include "src/error_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** State of a request after an attempt that failed. */
struct retry_state {
  bool idempotent = false;               ///< May run more than once.
  ran_state ran = ran_state::kMaybe;     ///< Whether a server may have run it.
  std::size_t bytes_sent_to_caller = 0;  ///< Bytes of an answer.
  unsigned attempts = 1;                 ///< Attempts so far.
  unsigned max_attempts = 3;             ///< Limit, the first one included.
  time_point deadline;                   ///< Deadline of the request.
};

/** Whether the request may be sent again, given `balance` tokens in the budget.
 */
inline auto MayRetry(const retry_state& state, double balance, time_point now)
    -> bool {
  if (state.bytes_sent_to_caller > 0) {
    return false;
  }
  if (!state.idempotent && state.ran != ran_state::kNo) {
    return false;
  }
  return state.attempts < state.max_attempts && balance >= 1 &&
         now < state.deadline;
}

/** Token bucket that limits retries: each request adds a fraction of a token,
 * each retry consumes one. Without it, retries would multiply the load while
 * all servers fail. Thread-safe. */
class retry_budget {
 public:
  retry_budget(double per_request, double capacity)
      : per_request_(per_request), capacity_(capacity), balance_(capacity) {}

  /** Records a first attempt, which adds to the budget. */
  auto RecordRequest() -> void {
    const std::lock_guard lock(mutex_);
    balance_ = std::min(capacity_, balance_ + per_request_);
  }

  /** Decides as MayRetry() does and consumes a token if a retry is allowed. */
  auto TryRetry(const retry_state& state, time_point now) -> bool {
    const std::lock_guard lock(mutex_);
    if (!MayRetry(state, balance_, now)) {
      return false;
    }
    balance_ -= 1;
    return true;
  }

 private:
  std::mutex mutex_;
  double per_request_;
  double capacity_;
  double balance_;
};

}  // namespace dogwood

#endif  // SRC_RETRY_BASE_H_
