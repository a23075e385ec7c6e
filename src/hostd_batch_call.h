/** Failures of calls on batch jobs, shared by the host that a caller is
 * connected to and the owner of a job's partition. Internal to hostd. */
#ifndef SRC_HOSTD_BATCH_CALL_H_
#define SRC_HOSTD_BATCH_CALL_H_

#include <string>

#include "src/batch.h"
#include "src/error_type.h"
#include "src/http.h"

namespace dogwood {

/** Status of an answer between hosts: the owner has the job, but no such item
 * that is open. Callers get 404, which between hosts tells that the job is not
 * there. */
inline constexpr unsigned kNoOpenItemStatus = 410;

/** Returns the failure of a call, which may have taken effect only if its time
 * is over. */
auto CallFailure(error_code code, std::string message) -> failure;

/** Returns an answer that reports a failure. */
auto FailureAnswer(error_code code, std::string message) -> http_response;

/** Returns the failure of a job that the store has no room for in one append.
 * Its caller need not repeat it. */
auto TooLargeFailure(const append_limits& limits) -> failure;

}  // namespace dogwood

#endif  // SRC_HOSTD_BATCH_CALL_H_
