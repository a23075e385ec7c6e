#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <map>

#include "src/ctl_run.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Number of spaces between two columns. */
constexpr std::size_t kColumnGap = 2;

/** Table as rows of cells. All rows have the same number of cells; the first
 * row of a list holds the column names. */
using cell_table = std::vector<std::vector<std::string>>;

/** Formats a value as a cell: strings without quotes, null as "-", other values
 * as JSON. */
auto CellOf(const json::value& value) -> std::string {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (value.is_null()) {
    return "-";
  }
  if (value.is_double()) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.15g", value.get_double());
    return text.data();
  }
  return json::serialize(value);
}

/** Formats a table with each column but the last padded to its widest cell. */
auto AlignColumns(const cell_table& table) -> std::string {
  std::vector<std::size_t> widths;
  for (const auto& row : table) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : table) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text.append(widths[i] - row[i].size() + kColumnGap, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

/** Returns whether `value` is a non-empty list that holds only objects. */
auto IsTable(const json::value& value) -> bool {
  return value.is_array() && !value.get_array().empty() &&
         std::all_of(value.get_array().begin(), value.get_array().end(),
                     [](const json::value& row) { return row.is_object(); });
}

/** Formats a list of objects as a table with one column for each field name
 * that occurs in any of them. */
auto FormatRows(const json::array& rows) -> std::string {
  std::vector<std::string> names;
  for (const auto& row : rows) {
    for (const auto& item : row.get_object()) {
      const std::string name(item.key());
      if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
      }
    }
  }
  cell_table table{names};
  for (const auto& row : rows) {
    std::vector<std::string> cells;
    for (const auto& name : names) {
      const auto* value = row.get_object().if_contains(name);
      cells.push_back(value == nullptr ? "-" : CellOf(*value));
    }
    table.push_back(std::move(cells));
  }
  return AlignColumns(table);
}

/** Formats an object: scalars first, then nested objects and tables under their
 * names. */
auto FormatObject(const json::object& object) -> std::string {
  cell_table lines;
  std::string sections;
  for (const auto& item : object) {
    const std::string name(item.key());
    const auto& value = item.value();
    if (IsTable(value)) {
      sections += "\n" + name + ":\n" + FormatRows(value.get_array());
    } else if (value.is_object() && !value.get_object().empty()) {
      sections += "\n" + name + ":\n" + FormatObject(value.get_object());
    } else {
      lines.push_back({name, CellOf(value)});
    }
  }
  return AlignColumns(lines) + sections;
}

}  // namespace

auto FormatTable(const json::value& value) -> std::string {
  if (value.is_string()) {
    std::string text(value.get_string());
    if (!text.empty() && text.back() != '\n') {
      text += '\n';
    }
    return text;
  }
  if (IsTable(value)) {
    return FormatRows(value.get_array());
  }
  if (value.is_array() && value.get_array().empty()) {
    return "none\n";
  }
  if (value.is_object()) {
    return FormatObject(value.get_object());
  }
  return CellOf(value) + "\n";
}

}  // namespace dogwood
