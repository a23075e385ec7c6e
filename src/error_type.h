/** Failures that carry the step and the peer at which they arose. */
#ifndef SRC_ERROR_TYPE_H_
#define SRC_ERROR_TYPE_H_

#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace dogwood {

/** Kinds of failure; each maps to one HTTP status, see HttpStatusOf(). */
enum class error_code {
  kBadRequest,        ///< 400
  kUnauthorized,      ///< 401
  kForbidden,         ///< 403
  kNotFound,          ///< 404
  kConflict,          ///< 409
  kTooLarge,          ///< 413
  kTooManyRequests,   ///< 429
  kInternal,          ///< 500
  kBadGateway,        ///< 502
  kUnavailable,       ///< 503
  kDeadlineExceeded,  ///< 504
};

/** Whether a backend server may have run the request. */
enum class ran_state {
  kNo,     ///< Nothing can have reached a backend server.
  kMaybe,  ///< A backend server may have run it, wholly or in part.
};

/** One failure, as returned, logged and shown to callers. */
struct failure {
  error_code code = error_code::kInternal;  ///< Kind.
  std::string message;                      ///< What went wrong, for a person.
  ran_state ran = ran_state::kNo;           ///< Whether a server may have run.
  std::string step;                         ///< Step at which it arose.
  std::string peer;                         ///< Other end, empty if none.
};

/** Result of a decision library. */
template <typename T>
using result = boost::leaf::result<T>;

/** Result of a coroutine. LEAF keeps error objects in thread-local contexts,
 * which do not survive a coroutine's move between threads. */
template <typename T>
using outcome = boost::system::result<T, failure>;

/** Needed by boost::system::result to throw on value() of a failure. */
[[noreturn]] auto throw_exception_from_error(const failure& error,
                                             const boost::source_location& loc)
    -> void;

}  // namespace dogwood

#endif  // SRC_ERROR_TYPE_H_
