/** Parsing of the fields of server-sent events. */
#ifndef SRC_SSE_FUNC_H_
#define SRC_SSE_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwood {

/** The fields of one event that relaying needs. */
struct event_fields {
  std::optional<std::uint64_t> id;  ///< Unset if absent or not a number.
  std::string data;                 ///< Data lines joined by '\n'.
  bool has_data = false;            ///< The event has at least one data line.
};

/** Parses one complete event, as returned by sse_parser. */
auto ParseEventFields(std::string_view event) -> event_fields;

}  // namespace dogwood

#endif  // SRC_SSE_FUNC_H_
