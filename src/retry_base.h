/** When a failed request may be sent again, and how often in total. */
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
  unsigned max_attempts = 3;             ///< Attempts at most.
  time_point deadline;                   ///< Of the whole request.
};

/** Whether the request may be sent again if the budget holds `balance`. */
inline auto MayRetry(const retry_state& question,
                     double balance,
                     time_point now) -> bool {
  if (question.bytes_sent_to_caller > 0) {
    return false;
  }
  if (!question.idempotent && question.ran != ran_state::kNo) {
    return false;
  }
  return question.attempts < question.max_attempts && balance >= 1 &&
         now < question.deadline;
}

/** Token bucket of retries: each request adds a part of a token, each retry
 * takes one. Without it a failing fleet would get a multiple of its load.
 * Thread-safe. */
class retry_budget {
 public:
  retry_budget(double per_request, double capacity)
      : per_request_(per_request), capacity_(capacity), balance_(capacity) {}

  /** Notes a first attempt. */
  auto RecordRequest() -> void {
    const std::lock_guard lock(mutex_);
    balance_ = std::min(capacity_, balance_ + per_request_);
  }

  /** Decides as MayRetry() does and takes a token if so. */
  auto TryRetry(const retry_state& question, time_point now) -> bool {
    const std::lock_guard lock(mutex_);
    if (!MayRetry(question, balance_, now)) {
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
