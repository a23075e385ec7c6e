/** Type of failures, and the result types that carry them. */
#ifndef SRC_ERROR_TYPE_H_
#define SRC_ERROR_TYPE_H_

#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace dogwood {

/** Kind of a failure; each maps to one HTTP status, see HttpStatusOf(). */
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
  kStoreFull,         ///< 507
};

/** Whether a backend server may have run the request. */
enum class ran_state {
  kNo,     ///< The request cannot have reached a backend server.
  kMaybe,  ///< A backend server may have run it, completely or in part.
};

/** A failure, as returned, logged and reported to callers. */
struct failure {
  error_code code = error_code::kInternal;
  std::string message;             ///< Human-readable description.
  ran_state ran = ran_state::kNo;  ///< Whether the request may have run.
  std::string step;                ///< Step that failed.
  std::string peer;  ///< Other end of the connection; empty if none.
};

/** Result of a function that does no I/O. */
template <typename T>
using result = boost::leaf::result<T>;

/** Result of a coroutine. Coroutines cannot use result, because LEAF keeps
 * error objects in thread-local contexts and a coroutine may resume on another
 * thread. */
template <typename T>
using outcome = boost::system::result<T, failure>;

/** Customization point of boost::system::result: throws when value() is called
 * on a failure. */
[[noreturn]] auto throw_exception_from_error(const failure& error,
                                             const boost::source_location& loc)
    -> void;

}  // namespace dogwood

#endif  // SRC_ERROR_TYPE_H_
