#include "src/setting_func.h"

#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "src/error_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

constexpr std::string_view kReadStep = "read settings";

/** Returns the parse options of settings files, which allow comments and
 * trailing commas. */
auto ParseOptions() -> json::parse_options {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

/** Creates an error whose message starts with the name of the file. */
auto MakeError(std::string_view source, const std::string& why)
    -> boost::leaf::error_id {
  return Fail({.code = error_code::kBadRequest,
               .message = std::string(source) + ": " + why,
               .step = std::string(kReadStep),
               .peer = ""});
}

/** Describes the permitted values of a row, for messages and documentation. */
auto DescribeRange(const setting_row& row) -> std::string {
  std::ostringstream text;
  switch (row.kind) {
    case setting_kind::kInteger:
    case setting_kind::kReal:
      text << row.min << " to " << row.max;
      break;
    case setting_kind::kText:
      text << (row.choices.empty() ? "a string" : row.choices);
      break;
    case setting_kind::kTextList:
      text << "a list of strings";
      break;
    case setting_kind::kBoolean:
      text << "true or false";
      break;
  }
  return text.str();
}

/** Whether `value` is one of the row's choices. Any value is if there are none.
 */
auto IsChoice(const setting_row& row, std::string_view value) -> bool {
  auto rest = row.choices;
  if (rest.empty()) {
    return true;
  }
  while (true) {
    const auto bar = rest.find('|');
    if (rest.substr(0, bar) == value) {
      return true;
    }
    if (bar == std::string_view::npos) {
      return false;
    }
    rest = rest.substr(bar + 1);
  }
}

/** Returns the line number, counted from 1, of a position in `text`. */
auto LineOf(std::string_view text, std::size_t position) -> std::size_t {
  std::size_t line = 1;
  for (const char c : text.substr(0, position)) {
    line += c == '\n' ? 1 : 0;
  }
  return line;
}

}  // namespace

/** Builds setting_values from a JSON object. */
class setting_reader {
 public:
  setting_reader(setting_table table, std::string_view source)
      : table_(table), source_(source) {}

  /** Reads every row of the table. Fails if a required setting is missing, a
   * value is not permitted, or a key is not in the table. */
  auto Read(const json::object& object) -> result<setting_values> {
    for (const auto& item : object) {
      if (!IsKnown(item.key())) {
        return MakeError(source_,
                         "unknown setting \"" + std::string(item.key()) + "\"");
      }
    }
    for (const auto& row : table_) {
      BOOST_LEAF_CHECK(ReadRow(row, object));
    }
    return std::move(values_);
  }

 private:
  /** Whether the table has a setting `name`. */
  auto IsKnown(std::string_view name) const -> bool {
    for (const auto& row : table_) {
      if (row.name == name) {
        return true;
      }
    }
    return false;
  }

  /** Reads the value of one row, or its default if the object lacks it. */
  auto ReadRow(const setting_row& row, const json::object& object)
      -> result<void> {
    const auto* given = object.if_contains(row.name);
    if (given == nullptr && row.fallback.empty()) {
      return MakeError(source_, "setting \"" + std::string(row.name) +
                                    "\" is required: " + std::string(row.doc));
    }
    const auto value = given != nullptr ? *given : json::parse(row.fallback);
    if (!Store(row, value)) {
      return MakeError(source_, "setting \"" + std::string(row.name) +
                                    "\" is " + json::serialize(value) +
                                    ", permitted is " + DescribeRange(row) +
                                    " " + std::string(row.unit));
    }
    return {};
  }

  /** Stores a value; returns false if it is not permitted. */
  auto Store(const setting_row& row, const json::value& value) -> bool {
    const std::string name(row.name);
    switch (row.kind) {
      case setting_kind::kInteger:
      case setting_kind::kReal:
        return StoreNumber(row, value);
      case setting_kind::kBoolean:
        if (value.is_bool()) {
          values_.numbers_[name] = value.get_bool() ? 1 : 0;
        }
        return value.is_bool();
      case setting_kind::kText:
        if (value.is_string() && IsChoice(row, value.get_string())) {
          values_.texts_[name] = value.get_string();
          return true;
        }
        return false;
      case setting_kind::kTextList:
        return StoreList(name, value);
    }
    return false;
  }

  /** Stores a number; returns false if it is out of range or not a number of
   * the row's kind. */
  auto StoreNumber(const setting_row& row, const json::value& value) -> bool {
    if (!value.is_number()) {
      return false;
    }
    const auto number = value.to_number<double>();
    const bool is_integral = number == std::floor(number);
    if (number < row.min || number > row.max ||
        (row.kind == setting_kind::kInteger && !is_integral)) {
      return false;
    }
    values_.numbers_[std::string(row.name)] = number;
    return true;
  }

  /** Stores a list; returns false unless all its elements are strings. */
  auto StoreList(const std::string& name, const json::value& value) -> bool {
    if (!value.is_array()) {
      return false;
    }
    std::vector<std::string> list;
    for (const auto& element : value.get_array()) {
      if (!element.is_string()) {
        return false;
      }
      list.emplace_back(element.get_string());
    }
    values_.lists_[name] = std::move(list);
    return true;
  }

  setting_table table_;
  std::string_view source_;
  setting_values values_;
};

auto setting_values::Integer(std::string_view name) const -> std::int64_t {
  return static_cast<std::int64_t>(Real(name));
}

auto setting_values::Real(std::string_view name) const -> double {
  return numbers_.find(name)->second;
}

auto setting_values::Text(std::string_view name) const -> const std::string& {
  return texts_.find(name)->second;
}

auto setting_values::TextList(std::string_view name) const
    -> const std::vector<std::string>& {
  return lists_.find(name)->second;
}

auto setting_values::Boolean(std::string_view name) const -> bool {
  return Real(name) != 0;
}

auto setting_values::Milliseconds(std::string_view name) const
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(Integer(name));
}

auto ParseSettings(setting_table table,
                   std::string_view json,
                   std::string_view source) -> result<setting_values> {
  json::stream_parser parser({}, ParseOptions());
  json::error_code ec;
  const auto parsed_size = parser.write_some(json.data(), json.size(), ec);
  if (!ec) {
    parser.finish(ec);
  }
  if (ec) {
    return MakeError(source, "line " +
                                 std::to_string(LineOf(json, parsed_size)) +
                                 " is not valid JSON: " + ec.message());
  }
  const auto value = parser.release();
  if (!value.is_object()) {
    return MakeError(source, "the file must contain a single JSON object");
  }
  return setting_reader(table, source).Read(value.get_object());
}

auto ReadFile(const std::string& path) -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto ReadSettings(setting_table table, const std::string& path)
    -> result<setting_values> {
  const auto text = ReadFile(path);
  if (!text) {
    return MakeError(path, "the file cannot be read");
  }
  return ParseSettings(table, *text, path);
}

auto PrintSettings(setting_table table) -> std::string {
  std::ostringstream text;
  text << "{\n";
  for (const auto& row : table) {
    text << "  // " << row.doc << " (" << DescribeRange(row);
    text << (row.unit.empty() ? "" : ", ") << row.unit << ")\n";
    const bool required = row.fallback.empty();
    text << (required ? "  // required: \"" : "  \"") << row.name << "\": ";
    text << (required ? "..." : row.fallback) << ",\n";
  }
  text << "}\n";
  return text.str();
}

auto DescribeSettings(setting_table table, std::string_view title)
    -> std::string {
  std::ostringstream text;
  text << "## " << title << "\n\n";
  text << "| setting | permitted | unit | default | meaning |\n";
  text << "|---|---|---|---|---|\n";
  for (const auto& row : table) {
    auto range = DescribeRange(row);
    for (auto position = range.find('|'); position != std::string::npos;
         position = range.find('|', position)) {
      range.replace(position, 1, ", ");
    }
    text << "| `" << row.name << "` | " << range << " | " << row.unit << " | ";
    text << (row.fallback.empty() ? "required" : row.fallback) << " | ";
    text << row.doc << " |\n";
  }
  return text.str();
}

auto SettingsFromCommandLine(setting_table table,
                             std::string_view program,
                             int argc,
                             const char* const* argv,
                             int& exit_code) -> const setting_values* {
  static setting_values values;
  cxxopts::Options options{std::string(program)};
  options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>())(
      "check-settings", "check the settings file and exit")(
      "print-settings", "print the default settings and exit")(
      "describe-settings", "print the settings as Markdown and exit")(
      "help", "print this text and exit");
  try {
    const auto given = options.parse(argc, argv);
    exit_code = 0;
    if (given.count("help") != 0) {
      std::cout << options.help();
      return nullptr;
    }
    if (given.count("print-settings") != 0) {
      std::cout << PrintSettings(table);
      return nullptr;
    }
    if (given.count("describe-settings") != 0) {
      std::cout << DescribeSettings(table, program);
      return nullptr;
    }
    if (given.count("settings") == 0) {
      std::cerr << "--settings FILE is required\n";
      exit_code = 2;
      return nullptr;
    }
    auto read = ToOutcome([&] {
      return ReadSettings(table, given["settings"].as<std::string>());
    });
    if (!read) {
      std::cerr << read.error().message << "\n";
      exit_code = 2;
      return nullptr;
    }
    values = std::move(read.value());
    return given.count("check-settings") != 0 ? nullptr : &values;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    exit_code = 2;
    return nullptr;
  }
}

}  // namespace dogwood
