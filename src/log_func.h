/** Structured logs: one JSON line each. */
#ifndef SRC_LOG_FUNC_H_
#define SRC_LOG_FUNC_H_

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

/** Writes one line if the category's level allows it. Thread-safe. */
auto Log(log_level level, log_category category, const log_line& line) -> void;

}  // namespace dogwood

#endif  // SRC_LOG_FUNC_H_
