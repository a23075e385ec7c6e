/** Messages of HTTP/1.1, free of the library that parses them. */
#ifndef SRC_HTTP_TYPE_H_
#define SRC_HTTP_TYPE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/error_type.h"

namespace dogwood {

/** One header field. */
struct http_header {
  std::string name;   ///< Name as sent.
  std::string value;  ///< Value without surrounding space.
};

/** Header fields in order. Names compare without regard to case. */
struct http_headers {
  std::vector<http_header> fields;  ///< In order of arrival.

  /** First value of `name`, empty if absent. */
  auto Get(std::string_view name) const -> std::string_view;
  /** Replaces all values of `name`. */
  auto Set(std::string_view name, std::string_view value) -> void;
  /** Removes all values of `name`. */
  auto Remove(std::string_view name) -> void;
};

/** A request with its whole body. */
struct http_request {
  std::string method;    ///< Such as "POST".
  std::string target;    ///< Path with query, as sent.
  http_headers headers;  ///< All fields.
  std::string body;      ///< Whole body.
  std::string peer;      ///< Address of the sender, "ip:port".

  /** Target without its query. */
  auto Path() const -> std::string_view;
  /** Percent-decoded value of a query parameter. */
  auto Query(std::string_view name) const -> std::optional<std::string>;
};

/** Status and header fields of an answer. */
struct http_head {
  unsigned status = 200;  ///< Status code.
  http_headers headers;   ///< All fields.
};

/** An answer with its whole body. */
struct http_response {
  unsigned status = 200;  ///< Status code.
  http_headers headers;   ///< Fields besides framing.
  std::string body;       ///< Whole body.
};

/** An answer of JSON text. */
auto JsonResponse(unsigned status, std::string json) -> http_response;

/** The answer that tells a caller of a failure, and whether anything has run.
 */
auto FailureResponse(const failure& error) -> http_response;

/** Limits of one server. */
struct http_limits {
  std::size_t header_bytes = 16UL << 10;  ///< Longest head.
  std::size_t body_bytes = 8UL << 20;     ///< Longest body.
  unsigned idle_ms = 60000;               ///< Longest silence of a caller.
  unsigned header_ms = 60000;             ///< Longest time to send a head.
};

}  // namespace dogwood

#endif  // SRC_HTTP_TYPE_H_
