/** Fields of server-sent events. */
#ifndef SRC_SSE_FUNC_H_
#define SRC_SSE_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwood {

/** Fields of one event that relaying needs. */
struct event_fields {
  std::optional<std::uint64_t> id;  ///< Nothing if absent or no number.
  std::string data;                 ///< Data lines joined by '\n'.
  bool has_data = false;            ///< There is at least one data line.
};

/** Reads a whole event, as sse_parser gives it. */
auto ParseEventFields(std::string_view event) -> event_fields;

}  // namespace dogwood

#endif  // SRC_SSE_FUNC_H_
