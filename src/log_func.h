/** Structured logging: each log line is a JSON object. */
#ifndef SRC_LOG_FUNC_H_
#define SRC_LOG_FUNC_H_

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

#include "src/unit_type.h"

namespace dogwood {

/** Part of the system that a line is about; each has its own log level. */
enum class log_category {
  kCore,    ///< Start, stop, settings.
  kLink,    ///< Connections between our processes.
  kHttp,    ///< Callers', operators' and platform connections.
  kConfig,  ///< Replay of the configuration log, and proofs.
  kMember,  ///< Joins, leaves, losses.
  kLimit,   ///< Rate limits and grants.
  kRoute,   ///< Choice of servers, retries.
  kJob,     ///< Batch jobs.
  kCount,   ///< Number of categories.
};

/** Severity of a line; a category logs lines of its level and above. */
enum class log_level { kDebug, kInfo, kWarning, kError };

/** Content of one line. */
struct log_line {
  std::string message;
  std::string step;  ///< Step that it happened at; empty if none.
  std::string peer;  ///< Other end of the connection; empty if none.
};

/** Initializes logging for this process. `levels` is a level such as "info" or
 * a list such as "info,job=debug"; returns false if it cannot be parsed. */
auto StartLog(std::string_view host,
              std::string_view daemon,
              std::string_view levels) -> bool;

/** Changes the levels of the running process; see StartLog(). If it returns
 * false, the levels before the first invalid item have been changed. */
auto SetLogLevels(std::string_view levels) -> bool;

/** Logs a named event with its fields if the category's level includes it.
 * Thread-safe. */
auto LogEvent(log_level level,
              log_category category,
              std::string_view event,
              boost::json::object fields) -> void;

/** Starts a thread that writes the lines from now on, so that a slow reader of
 * standard output does not block the threads that log. The rate is limited to
 * `lines_per_s`; lines above it are dropped and counted in the event
 * log_lines_dropped. */
auto StartLogWriter(double lines_per_s) -> void;
/** Waits until the writer thread has written all lines, at most until
 * `deadline`: whoever reads standard output may be slow. Blocks the calling
 * thread. Returns whether all lines have been written. */
auto FlushLog(time_point deadline) -> bool;

/** Logs one line as event "message" if the category's level includes it.
 * Thread-safe. */
auto Log(log_level level, log_category category, const log_line& line) -> void;

}  // namespace dogwood

#endif  // SRC_LOG_FUNC_H_
