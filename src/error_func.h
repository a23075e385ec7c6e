/** Conversions of failures: to HTTP, to JSON, and from LEAF to outcome. */
#ifndef SRC_ERROR_FUNC_H_
#define SRC_ERROR_FUNC_H_

#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "src/error_type.h"

namespace dogwood {

/** HTTP status of an error code, as RFC 9110 names them. */
auto HttpStatusOf(error_code code) -> unsigned;

/** Error code that an HTTP status from a peer stands for. */
auto ErrorCodeOf(unsigned http_status) -> error_code;

/** Stable name of an error code, as in the "code" field. */
auto NameOf(error_code code) -> std::string_view;

/** "no" or "maybe", as in the Dogwood-Ran header. */
auto NameOf(ran_state ran) -> std::string_view;

/** The body {"error":{"code","message","ran","step","peer"}}. */
auto ToJson(const failure& error) -> boost::json::object;

/** A refusal before anything has run. */
auto NotRunFailure(error_code code, std::string message, std::string step)
    -> failure;

/** A LEAF error that carries `error`. */
inline auto Fail(failure error) -> boost::leaf::error_id {
  return boost::leaf::new_error(std::move(error));
}

/** Type of the value in a result<T>. */
template <typename R>
struct result_value;
template <typename T>
struct result_value<result<T>> {
  using type = T;  ///< The T.
};

/** Runs `f`, which returns result<T>, and turns its error into an outcome<T>.
 */
template <typename F>
auto ToOutcome(F&& f) {
  using value_type = typename result_value<decltype(f())>::type;
  return boost::leaf::try_handle_all(
      [&]() -> result<outcome<value_type>> {
        auto r = std::forward<F>(f)();
        if (!r) {
          return r.error();
        }
        if constexpr (std::is_void_v<value_type>) {
          return outcome<value_type>{};
        } else {
          return outcome<value_type>{std::move(r.value())};
        }
      },
      [](const failure& error) { return outcome<value_type>{error}; },
      [] {
        return outcome<value_type>{
            failure{.code = error_code::kInternal,
                    .message = "error without description",
                    .step = "unknown",
                    .peer = ""}};
      });
}

}  // namespace dogwood

#endif  // SRC_ERROR_FUNC_H_
