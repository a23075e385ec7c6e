#include "src/log_func.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

INITIALIZE_EASYLOGGINGPP

namespace dogwood {
namespace {

constexpr std::size_t kCategoryCount =
    static_cast<std::size_t>(log_category::kCount);
constexpr std::array<std::string_view, kCategoryCount> kCategoryNames{
    "core", "link", "http", "config", "member", "limit", "route", "job"};
constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info",
                                                      "warning", "error"};

/** Who logs, and from which level on. */
struct log_state {
  std::string host;    ///< Name of the host.
  std::string daemon;  ///< Name of the binary.
  std::array<std::atomic<log_level>, kCategoryCount> levels;  ///< By category.
};

/** The process's only log state. */
auto State() -> log_state& {
  static log_state state;
  return state;
}

/** Position of `name` in `names`. */
template <std::size_t N>
auto IndexOf(const std::array<std::string_view, N>& names,
             std::string_view name) -> std::optional<std::size_t> {
  for (std::size_t i = 0; i < N; ++i) {
    if (names[i] == name) {
      return i;
    }
  }
  return std::nullopt;
}

/** Applies one part of the level list, "info" or "job=debug". */
auto ApplyLevel(std::string_view part) -> bool {
  const auto equals = part.find('=');
  const auto level = IndexOf(kLevelNames, equals == std::string_view::npos
                                              ? part
                                              : part.substr(equals + 1));
  if (!level) {
    return false;
  }
  if (equals == std::string_view::npos) {
    for (auto& entry : State().levels) {
      entry = static_cast<log_level>(*level);
    }
    return true;
  }
  const auto category = IndexOf(kCategoryNames, part.substr(0, equals));
  if (!category) {
    return false;
  }
  State().levels[*category] = static_cast<log_level>(*level);
  return true;
}

}  // namespace

auto StartLog(std::string_view host,
              std::string_view daemon,
              std::string_view levels) -> bool {
  State().host = host;
  State().daemon = daemon;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}",%msg)");
  el::Loggers::reconfigureAllLoggers(conf);
  while (!levels.empty()) {
    const auto comma = levels.find(',');
    if (!ApplyLevel(levels.substr(0, comma))) {
      return false;
    }
    levels = comma == std::string_view::npos ? "" : levels.substr(comma + 1);
  }
  return true;
}

auto Log(log_level level, log_category category, const log_line& line) -> void {
  const auto index = static_cast<std::size_t>(category);
  if (level < State().levels[index].load()) {
    return;
  }
  boost::json::object fields;
  fields["level"] = kLevelNames[static_cast<std::size_t>(level)];
  fields["category"] = kCategoryNames[index];
  fields["host"] = State().host;
  fields["daemon"] = State().daemon;
  fields["step"] = line.step;
  fields["peer"] = line.peer;
  fields["message"] = line.message;
  // The format writes the opening brace and the time.
  const auto text = boost::json::serialize(fields).substr(1);
  switch (level) {
    case log_level::kDebug:
    case log_level::kInfo:
      LOG(INFO) << text;
      break;
    case log_level::kWarning:
      LOG(WARNING) << text;
      break;
    case log_level::kError:
      LOG(ERROR) << text;
      break;
  }
}

}  // namespace dogwood
