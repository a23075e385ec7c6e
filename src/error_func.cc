#include "src/error_func.h"

#include <array>
#include <stdexcept>
#include <string>

namespace dogwood {
namespace {

/** Row of the table of error codes. */
struct error_row {
  error_code code;
  unsigned status;        ///< HTTP status.
  std::string_view name;  ///< Name in JSON and logs.
};

constexpr std::array kErrorTable{
    error_row{error_code::kBadRequest, 400, "bad_request"},
    error_row{error_code::kUnauthorized, 401, "unauthorized"},
    error_row{error_code::kForbidden, 403, "forbidden"},
    error_row{error_code::kNotFound, 404, "not_found"},
    error_row{error_code::kConflict, 409, "conflict"},
    error_row{error_code::kTooLarge, 413, "too_large"},
    error_row{error_code::kTooManyRequests, 429, "too_many_requests"},
    error_row{error_code::kInternal, 500, "internal"},
    error_row{error_code::kBadGateway, 502, "bad_gateway"},
    error_row{error_code::kUnavailable, 503, "unavailable"},
    error_row{error_code::kDeadlineExceeded, 504, "deadline_exceeded"},
    error_row{error_code::kStoreFull, 507, "store_full"},
};

/** Returns the row of `code`; that of kInternal if there is none. */
auto RowOf(error_code code) -> const error_row& {
  for (const auto& row : kErrorTable) {
    if (row.code == code) {
      return row;
    }
  }
  return RowOf(error_code::kInternal);
}

}  // namespace

auto HttpStatusOf(error_code code) -> unsigned {
  return RowOf(code).status;
}

auto ErrorCodeOf(unsigned http_status) -> error_code {
  for (const auto& row : kErrorTable) {
    if (row.status == http_status) {
      return row.code;
    }
  }
  return http_status >= 400 && http_status < 500 ? error_code::kBadRequest
                                                 : error_code::kBadGateway;
}

auto NameOf(error_code code) -> std::string_view {
  return RowOf(code).name;
}

auto NameOf(ran_state ran) -> std::string_view {
  return ran == ran_state::kNo ? "no" : "maybe";
}

auto ToJson(const failure& error) -> boost::json::object {
  boost::json::object body;
  body["code"] = NameOf(error.code);
  body["message"] = error.message;
  body["ran"] = NameOf(error.ran);
  body["step"] = error.step;
  body["peer"] = error.peer;
  return boost::json::object{{"error", std::move(body)}};
}

auto throw_exception_from_error(const failure& error,
                                const boost::source_location& /*loc*/) -> void {
  throw std::runtime_error(error.step + ": " + error.message);
}

auto NotRunFailure(error_code code, std::string message, std::string step)
    -> failure {
  return {.code = code,
          .message = std::move(message),
          .ran = ran_state::kNo,
          .step = std::move(step),
          .peer = ""};
}

}  // namespace dogwood
