#include "src/log_func.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

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

/** Writes one line now. */
auto WriteLine(log_level level, const std::string& text) -> void {
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

/** Lines on their way to standard output. */
class line_queue {
 public:
  /** Writes a line, or keeps it for the writer if there is one. */
  auto Add(log_level level, std::string text) -> void {
    std::unique_lock lock(mutex_);
    if (!has_writer_) {
      lock.unlock();
      WriteLine(level, text);
      return;
    }
    Refill();
    // Warnings and errors may use what is kept back from other lines.
    const double reserve = level < log_level::kWarning ? rate_ / 2 : 0;
    if (budget_ < reserve + 1 || lines_.size() >= kMostLines) {
      ++dropped_;
      return;
    }
    budget_ -= 1;
    lines_.emplace_back(level, std::move(text));
    if (lines_.size() == 1) {
      lock.unlock();
      filled_.notify_one();
    }
  }

  /** Starts the writer. */
  auto Start(double lines_per_s) -> void {
    const std::lock_guard lock(mutex_);
    rate_ = lines_per_s;
    budget_ = 2 * rate_;
    filled_at_ = std::chrono::steady_clock::now();
    has_writer_ = true;
    std::thread([this] { Run(); }).detach();
  }

  /** Writes what waits. */
  auto Flush() -> void {
    std::deque<std::pair<log_level, std::string>> lines;
    std::uint64_t dropped = 0;
    {
      const std::lock_guard lock(mutex_);
      lines.swap(lines_);
      dropped = std::exchange(dropped_, 0);
    }
    const std::lock_guard writing(write_mutex_);
    for (const auto& [level, text] : lines) {
      WriteLine(level, text);
    }
    if (dropped > 0) {
      WriteLine(log_level::kWarning,
                "\"event\":\"log_lines_dropped\",\"host\":\"" + State().host +
                    "\",\"count\":" + std::to_string(dropped) + "}");
    }
  }

 private:
  /** Most lines that wait for the writer. */
  static constexpr std::size_t kMostLines = 4096;
  /** The writer takes lines together rather than one at each wake-up. */
  static constexpr std::chrono::milliseconds kWritePeriod{50};

  auto Refill() -> void {
    const auto now = std::chrono::steady_clock::now();
    const auto seconds =
        std::chrono::duration<double>(now - filled_at_).count();
    budget_ = std::min(2 * rate_, budget_ + rate_ * seconds);
    filled_at_ = now;
  }

  auto Run() -> void {
    while (true) {
      {
        std::unique_lock lock(mutex_);
        filled_.wait(lock, [this] { return !lines_.empty(); });
      }
      std::this_thread::sleep_for(kWritePeriod);
      Flush();
    }
  }

  std::mutex mutex_;
  std::mutex write_mutex_;  // After mutex_ in lock order, never held with it.
  std::condition_variable filled_;
  std::deque<std::pair<log_level, std::string>> lines_;
  double rate_ = 0;    // Lines a second.
  double budget_ = 0;  // Lines that may be taken now.
  std::uint64_t dropped_ = 0;
  std::chrono::steady_clock::time_point filled_at_;
  bool has_writer_ = false;
};

/** The process's only queue; never destroyed, since its thread uses it. */
auto Queue() -> line_queue& {
  static auto* queue = new line_queue;
  return *queue;
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
  return SetLogLevels(levels);
}

auto SetLogLevels(std::string_view levels) -> bool {
  while (!levels.empty()) {
    const auto comma = levels.find(',');
    if (!ApplyLevel(levels.substr(0, comma))) {
      return false;
    }
    levels = comma == std::string_view::npos ? "" : levels.substr(comma + 1);
  }
  return true;
}

auto LogEvent(log_level level,
              log_category category,
              std::string_view event,
              boost::json::object fields) -> void {
  const auto index = static_cast<std::size_t>(category);
  if (level < State().levels[index].load()) {
    return;
  }
  // Lines wait for their writer, so they carry the time at which they arose.
  fields["unix_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  fields["event"] = event;
  fields["level"] = kLevelNames[static_cast<std::size_t>(level)];
  fields["category"] = kCategoryNames[index];
  fields["host"] = State().host;
  fields["daemon"] = State().daemon;
  // The format writes the opening brace and the time.
  Queue().Add(level, boost::json::serialize(fields).substr(1));
}

auto Log(log_level level, log_category category, const log_line& line) -> void {
  LogEvent(
      level, category, "message",
      {{"step", line.step}, {"peer", line.peer}, {"message", line.message}});
}

auto StartLogWriter(double lines_per_s) -> void {
  Queue().Start(lines_per_s);
}

auto FlushLog() -> void {
  Queue().Flush();
}

}  // namespace dogwood
