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

/** Identity of this process in log lines, and its log levels. */
struct log_state {
  std::string host;    ///< Name of this host.
  std::string daemon;  ///< Role of this process, such as "entryd".
  std::array<std::atomic<log_level>, kCategoryCount> levels;  ///< By category.
};

/** Returns the log state of this process. */
auto State() -> log_state& {
  static log_state state;
  return state;
}

/** Returns the index of `name` in `names`; nothing if it is absent. */
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

/** Applies one item of a level list, such as "info" or "job=debug". Returns
 * false if it is invalid. */
auto ApplyLevel(std::string_view item) -> bool {
  const auto equals = item.find('=');
  const auto level = IndexOf(kLevelNames, equals == std::string_view::npos
                                              ? item
                                              : item.substr(equals + 1));
  if (!level) {
    return false;
  }
  if (equals == std::string_view::npos) {
    for (auto& entry : State().levels) {
      entry = static_cast<log_level>(*level);
    }
    return true;
  }
  const auto category = IndexOf(kCategoryNames, item.substr(0, equals));
  if (!category) {
    return false;
  }
  State().levels[*category] = static_cast<log_level>(*level);
  return true;
}

/** Writes one line to standard output. */
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

/** Queue of lines for the writer thread, with a rate limit. */
class line_queue {
 public:
  /** Queues a line for the writer thread; writes it directly if the thread has
   * not been started. */
  auto Add(log_level level, std::string text) -> void {
    std::unique_lock lock(mutex_);
    if (!has_writer_) {
      lock.unlock();
      WriteLine(level, text);
      return;
    }
    Refill();
    // Part of the budget is reserved for warnings and errors.
    const double reserve = level < log_level::kWarning ? rate_ / 2 : 0;
    if (budget_ < reserve + 1 || lines_.size() >= kMaxLines) {
      ++dropped_;
      return;
    }
    budget_ -= 1;
    lines_.emplace_back(level, std::move(text));
    if (lines_.size() == 1) {
      lock.unlock();
      line_added_.notify_one();
    }
  }

  /** Starts the writer thread with the given rate limit. */
  auto Start(double lines_per_s) -> void {
    const std::lock_guard lock(mutex_);
    rate_ = lines_per_s;
    budget_ = 2 * rate_;
    refilled_at_ = std::chrono::steady_clock::now();
    has_writer_ = true;
    std::thread([this] { Run(); }).detach();
  }

  /** Waits until all lines have been written. Returns false if that takes until
   * `deadline`. */
  auto AwaitWritten(time_point deadline) -> bool {
    std::unique_lock lock(mutex_);
    is_awaited_ = true;
    flush_requested_.notify_all();
    return written_.wait_until(lock, deadline, [this] { return HasWritten(); });
  }

 private:
  /** Maximum number of queued lines. */
  static constexpr std::size_t kMaxLines = 4096;
  /** Delay between a wake-up of the writer and the write, so that it writes
   * lines in batches rather than one at each wake-up. */
  static constexpr std::chrono::milliseconds kWriteInterval{50};

  auto HasWritten() const -> bool { return lines_.empty() && !is_writing_; }

  /** Writes all queued lines, and how many were dropped if any were. */
  auto WriteLines() -> void {
    std::deque<std::pair<log_level, std::string>> lines;
    std::uint64_t dropped = 0;
    {
      const std::lock_guard lock(mutex_);
      lines.swap(lines_);
      dropped = std::exchange(dropped_, 0);
      is_writing_ = true;
    }
    for (const auto& [level, text] : lines) {
      WriteLine(level, text);
    }
    if (dropped > 0) {
      WriteLine(log_level::kWarning,
                "\"event\":\"log_lines_dropped\",\"host\":\"" + State().host +
                    "\",\"count\":" + std::to_string(dropped) + "}");
    }
    {
      const std::lock_guard lock(mutex_);
      is_writing_ = false;
    }
    written_.notify_all();
  }

  auto Refill() -> void {
    const auto now = std::chrono::steady_clock::now();
    const auto seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    budget_ = std::min(2 * rate_, budget_ + rate_ * seconds);
    refilled_at_ = now;
  }

  auto Run() -> void {
    while (true) {
      {
        std::unique_lock lock(mutex_);
        line_added_.wait(lock, [this] { return !lines_.empty(); });
        flush_requested_.wait_for(lock, kWriteInterval,
                                  [this] { return is_awaited_; });
      }
      WriteLines();
    }
  }

  std::mutex mutex_;
  std::condition_variable line_added_;
  std::condition_variable flush_requested_;
  std::condition_variable written_;
  std::deque<std::pair<log_level, std::string>> lines_;
  double rate_ = 0;    // Lines per second.
  double budget_ = 0;  // Lines that may be queued now; at most 2 s of the rate.
  std::uint64_t dropped_ = 0;
  std::chrono::steady_clock::time_point refilled_at_;
  bool has_writer_ = false;
  bool is_writing_ = false;  // The writer thread holds lines.
  bool is_awaited_ = false;  // AwaitWritten() has been called.
};

/** Returns the queue of this process. It is never destroyed, because the writer
 * thread uses it until the process exits. */
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
  // The line may be written later, so it carries the time of the event.
  fields["unix_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  fields["event"] = event;
  fields["level"] = kLevelNames[static_cast<std::size_t>(level)];
  fields["category"] = kCategoryNames[index];
  fields["host"] = State().host;
  fields["daemon"] = State().daemon;
  // The logger's format string writes the opening brace and the write time.
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

auto FlushLog(time_point deadline) -> bool {
  return Queue().AwaitWritten(deadline);
}

}  // namespace dogwood
