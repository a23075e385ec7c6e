/** Types of dogwoodctl, the command-line client for operators. */
#ifndef SRC_CTL_TYPE_H_
#define SRC_CTL_TYPE_H_

#include <boost/json/value.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/error_type.h"
#include "src/http_type.h"

namespace dogwood {

/** Exit codes of the tool. */
enum class ctl_exit {
  kOk = 0,           ///< Success.
  kRefused = 1,      ///< The request was refused; nothing changed.
  kUsage = 2,        ///< Invalid command line.
  kUnreachable = 3,  ///< No response, or currently unavailable.
};

/** Step of failures caused by an invalid command line. */
constexpr std::string_view kUsageStep = "command line";

/** Output formats. */
enum class ctl_format { kTable, kJson };

/** Values of the options that every command takes. */
struct ctl_globals {
  std::vector<std::string> addresses;      ///< Operator addresses, "ip:port".
  std::string token_file;                  ///< File with the operator token.
  ctl_format format = ctl_format::kTable;  ///< Output format.
  std::chrono::seconds timeout{30};        ///< For each request.
};

/** Sends one request to an address and waits for the complete response. */
using ctl_transport =
    std::function<outcome<http_response>(const std::string& address,
                                         const http_request& request)>;

/** Arguments and options of a command. */
struct ctl_input {
  std::vector<std::string> arguments;          ///< Those after the command.
  std::map<std::string, std::string> options;  ///< By name, without dashes.

  /** Returns the value of an option, nothing if it was not given. */
  auto Option(const std::string& name) const -> std::optional<std::string> {
    const auto it = options.find(name);
    return it == options.end() ? std::nullopt : std::optional(it->second);
  }
};

class ctl_session;

/** Runs a command and returns the value to print. */
using ctl_function = auto(*)(ctl_session& session, const ctl_input& input)
                         -> outcome<boost::json::value>;

/** Entry of the table of commands, which defines parsing, help text and
 * completion. */
struct ctl_command {
  std::string_view words;      ///< Such as "workspace create".
  std::string_view arguments;  ///< Such as "NAME"; "..." for one or more.
  std::string_view options;    ///< Option names, separated by spaces.
  std::string_view doc;        ///< Help text of one line.
  ctl_function run;            ///< Implementation.
};

/** Entry of the table of options that only some commands take. */
struct ctl_option {
  std::string_view name;   ///< Without dashes.
  std::string_view value;  ///< Placeholder in the help text.
  std::string_view doc;    ///< Help text of one line.
};

/** Returns a failure for an invalid command line. */
inline auto UsageFailure(std::string message) -> failure {
  return {.code = error_code::kBadRequest,
          .message = std::move(message),
          .step = std::string(kUsageStep),
          .peer = ""};
}

}  // namespace dogwood

#endif  // SRC_CTL_TYPE_H_
