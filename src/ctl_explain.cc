#include "src/ctl_explain.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <istream>
#include <map>
#include <string_view>
#include <utility>

#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Events that update the state on which a host bases its decisions. */
constexpr std::array<std::string_view, 4> kContextEvents{
    "state_applied", "members_changed", "evacuation_begins", "evacuation_ends"};
/** Steps of general log lines that report such an update. */
constexpr std::array<std::string_view, 5> kContextSteps{
    "choose dispatcher", "report slots", "call store", "start", "stop"};
/** Events that report the outcome of a request or item. */
constexpr std::array<std::string_view, 3> kDecidingEvents{
    "request_end", "request_refused", "item_abandoned"};
/** Fields left out of "details": they have a column of their own or only
 * describe the log line. */
constexpr std::array<std::string_view, 7> kColumnFields{
    "time", "unix_ms", "event", "level", "category", "host", "daemon"};
constexpr std::string_view kTimeField = "unix_ms";

template <std::size_t n>
auto Contains(const std::array<std::string_view, n>& names,
              std::string_view name) -> bool {
  return std::ranges::find(names, name) != names.end();
}

/** Returns the time at which a line was logged, in Unix milliseconds. */
auto TimeOf(const json::object& line) -> std::int64_t {
  return line.at(kTimeField).to_number<std::int64_t>();
}

/** Returns whether any text field of the line contains `id`. */
auto Mentions(const json::object& line, const std::string& id) -> bool {
  return std::ranges::any_of(line, [&id](const auto& field) {
    return field.value().is_string() &&
           field.value().get_string().find(id) != json::string::npos;
  });
}

/** Formats the fields that have no column as "name=value", separated by
 * spaces. */
auto DetailsOf(const json::object& line) -> std::string {
  std::string details;
  for (const auto& field : line) {
    const auto& value = field.value();
    const bool is_empty = value.is_string() && value.get_string().empty();
    if (is_empty || Contains(kColumnFields, field.key())) {
      continue;
    }
    details += details.empty() ? "" : " ";
    details += std::string(field.key()) + "=" +
               (value.is_string() ? std::string(value.get_string())
                                  : json::serialize(value));
  }
  return details;
}

/** Returns the row for a line; "ms" counts from `first_ms`. */
auto RowOf(const json::object& line, std::int64_t first_ms) -> json::object {
  const auto event = TextField(line, "event");
  return {{"ms", TimeOf(line) - first_ms},
          {"host", TextField(line, "host")},
          {"event", event},
          {"decides", Contains(kDecidingEvents, event) ? "=>" : ""},
          {"details", DetailsOf(line)}};
}

}  // namespace

auto ReadLogLines(std::istream& input, std::vector<json::object>& lines)
    -> void {
  std::string text;
  while (std::getline(input, text)) {
    const auto start = text.find("{\"");
    if (start == std::string::npos) {
      continue;
    }
    json::error_code ec;
    auto value = json::parse(std::string_view(text).substr(start), ec);
    if (ec || !value.is_object()) {
      continue;
    }
    const auto* time = value.get_object().if_contains(kTimeField);
    if (time != nullptr && time->is_int64()) {
      lines.push_back(std::move(value.get_object()));
    }
  }
}

auto ExplainLog(std::vector<json::object> lines, const std::string& id)
    -> json::array {
  std::ranges::stable_sort(lines, {}, TimeOf);
  const auto first = std::ranges::find_if(
      lines, [&id](const json::object& line) { return Mentions(line, id); });
  json::array rows;
  if (first == lines.end()) {
    return rows;
  }
  const auto first_ms = TimeOf(*first);
  // Latest context line not yet shown, by host and then by event and step.
  std::map<std::string, std::map<std::string, const json::object*>> context;
  for (const auto& line : lines) {
    const std::string host(TextField(line, "host"));
    if (Mentions(line, id)) {
      for (const auto& [key, update] : std::exchange(context[host], {})) {
        rows.emplace_back(RowOf(*update, first_ms));
      }
      rows.emplace_back(RowOf(line, first_ms));
    } else if (Contains(kContextEvents, TextField(line, "event")) ||
               Contains(kContextSteps, TextField(line, "step"))) {
      const auto key = std::string(TextField(line, "event")) + "/" +
                       std::string(TextField(line, "step"));
      context[host][key] = &line;
    }
  }
  return rows;
}

}  // namespace dogwood
