#include "src/sse_func.h"

#include <charconv>

namespace dogwood {
namespace {

/** Returns the value of a line "name: value"; nothing if its name is not
 * `name`. */
auto FieldValue(std::string_view line, std::string_view name)
    -> std::optional<std::string_view> {
  if (!line.starts_with(name) || line.size() <= name.size() ||
      line[name.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

}  // namespace

auto ParseEventFields(std::string_view event) -> event_fields {
  event_fields fields;
  while (!event.empty()) {
    // A line ends with CR, LF or both; the empty line within CR LF has no
    // field.
    const auto end = event.find_first_of("\r\n");
    const auto line = event.substr(0, end);
    event = end == std::string_view::npos ? "" : event.substr(end + 1);
    if (const auto id = FieldValue(line, "id")) {
      std::uint64_t number = 0;
      const auto* last = id->data() + id->size();
      if (std::from_chars(id->data(), last, number).ptr == last &&
          !id->empty()) {
        fields.id = number;
      }
    } else if (const auto data = FieldValue(line, "data")) {
      if (fields.has_data) {
        fields.data += '\n';
      }
      fields.has_data = true;
      fields.data += *data;
    }
  }
  return fields;
}

}  // namespace dogwood
