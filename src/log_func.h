/** Structured logs: one JSON line each. */
#ifndef SRC_LOG_FUNC_H_
#define SRC_LOG_FUNC_H_

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace dogwood {

/** Part of the system a line is about; each has its own level. */
enum class log_category {
  kCore,    ///< Start, stop, settings.
  kLink,    ///< Connections between our processes.
  kHttp,    ///< Callers', operators' and platform connections.
  kConfig,  ///< Configuration fold and proofs.
  kMember,  ///< Joins, leaves, losses.
  kLimit,   ///< Rates and grants.
  kRoute,   ///< Choice of servers, retries.
  kJob,     ///< Batch jobs.
  kCount,   ///< Number of categories.
};

/** Level of a line; a category shows lines at its level and above. */
enum class log_level { kDebug, kInfo, kWarning, kError };

/** One line. */
struct log_line {
  std::string message;  ///< What happened.
  std::string step;     ///< Step, empty if none.
  std::string peer;     ///< Other end, empty if none.
};

/** Sets up logging for this process. `levels` is "info" or a list such as
 * "info,job=debug"; returns false if it cannot be read. */
auto StartLog(std::string_view host,
              std::string_view daemon,
              std::string_view levels) -> bool;

/** Changes the levels while the process runs; see StartLog(). Those before the
 * first part that cannot be read are changed also if it returns false. */
auto SetLogLevels(std::string_view levels) -> bool;

/** Writes one line of a named event with its fields if the category's level
 * allows it. Thread-safe. */
auto LogEvent(log_level level,
              log_category category,
              std::string_view event,
              boost::json::object fields) -> void;

/** From now on lines are written by a thread of their own, so that a reader
 * that does not keep up blocks nobody. At most `lines_per_s` lines are written;
 * those beyond are dropped, and their number is told. */
auto StartLogWriter(double lines_per_s) -> void;
/** Writes the lines that wait. */
auto FlushLog() -> void;

/** Writes one line if the category's level allows it. Thread-safe. */
auto Log(log_level level, log_category category, const log_line& line) -> void;

}  // namespace dogwood

#endif  // SRC_LOG_FUNC_H_
