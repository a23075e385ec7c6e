/** HTTP/1.1 messages, independent of the library that parses them. */
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

/** Ordered header fields. Names are compared ignoring case. */
struct http_headers {
  std::vector<http_header> fields;  ///< In the order received.

  /** Returns the first value of `name`; empty if absent. */
  auto Get(std::string_view name) const -> std::string_view;
  /** Replaces all values of `name`. */
  auto Set(std::string_view name, std::string_view value) -> void;
  /** Removes all values of `name`. */
  auto Remove(std::string_view name) -> void;
};

/** A request with its complete body. */
struct http_request {
  std::string method;  ///< Such as "POST".
  std::string target;  ///< Path with query, as sent.
  http_headers headers;
  std::string body;
  std::string peer;  ///< Address of the sender, "ip:port".

  /** Returns the target without its query. */
  auto Path() const -> std::string_view;
  /** Returns the percent-decoded value of a query parameter; nothing if it is
   * absent or the target cannot be parsed. */
  auto Query(std::string_view name) const -> std::optional<std::string>;
};

/** Whether a character is one of those that no field value may have: the
 * control characters except the tab (RFC 9110, 5.5). */
auto IsControlInField(char c) -> bool;

/** Returns why the head of a request cannot be sent as it is, naming the field;
 * nothing if it can. Whatever its parts come from, a head that passes is read
 * by a server as exactly one request: the target is a path without blanks,
 * names of fields are tokens and values have no control characters (RFC
 * 9110, 5.5 and 5.6.2), and neither a field nor the head is too long. */
auto HeadProblem(const http_request& request) -> std::optional<std::string>;

/** Status and header fields of a response. */
struct http_head {
  unsigned status = 200;
  http_headers headers;
};

/** A response with its complete body. */
struct http_response {
  unsigned status = 200;
  http_headers headers;  ///< Without the framing fields.
  std::string body;
};

/** Creates a response with a JSON body. */
auto JsonResponse(unsigned status, std::string json) -> http_response;

/** Creates the response that reports a failure as JSON, with Dogwood-Ran set
 * to whether the request may have run. */
auto FailureResponse(const failure& error) -> http_response;

/** Limits on the requests to one server. */
struct http_limits {
  std::size_t header_bytes = 16UL << 10;  ///< Maximum size of a head.
  std::size_t body_bytes = 8UL << 20;     ///< Maximum size of a body.
  unsigned idle_ms = 60000;    ///< Timeout of idle, body reads and writes.
  unsigned header_ms = 60000;  ///< Timeout of reading a head.
};

}  // namespace dogwood

#endif  // SRC_HTTP_TYPE_H_
