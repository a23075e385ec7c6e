/** Types of the operators' command line tool. */
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
  kOk = 0,           ///< Done.
  kRefused = 1,      ///< The system said no; nothing was changed.
  kUsage = 2,        ///< The command line is wrong.
  kUnreachable = 3,  ///< No answer, or not available now; see the message.
};

/** Step of failures that are a wrong command line. */
constexpr std::string_view kUsageStep = "command line";

/** Output formats. */
enum class ctl_format { kTable, kJson };

/** Options that every command takes. */
struct ctl_globals {
  std::vector<std::string> addresses;      ///< Operator addresses, "ip:port".
  std::string token_file;                  ///< File with the operator token.
  ctl_format format = ctl_format::kTable;  ///< Output.
  std::chrono::seconds timeout{30};        ///< For each request.
};

/** Sends one request to an address and waits for the whole answer. */
using ctl_transport =
    std::function<outcome<http_response>(const std::string& address,
                                         const http_request& request)>;

/** What a command was given. */
struct ctl_input {
  std::vector<std::string> arguments;          ///< After the command's words.
  std::map<std::string, std::string> options;  ///< The command's own options.

  /** Value of an option, nothing if not given. */
  auto Option(const std::string& name) const -> std::optional<std::string> {
    const auto it = options.find(name);
    return it == options.end() ? std::nullopt : std::optional(it->second);
  }
};

class ctl_session;

/** Runs a command; the value is printed. */
using ctl_function = auto(*)(ctl_session& session, const ctl_input& input)
                         -> outcome<boost::json::value>;

/** Row of the table of commands, from which parsing, help and completion come.
 */
struct ctl_command {
  std::string_view words;      ///< Such as "workspace create".
  std::string_view arguments;  ///< Such as "NAME"; "..." for one or more.
  std::string_view options;    ///< Names of rows of the table of options.
  std::string_view doc;        ///< One line.
  ctl_function run;            ///< What it does.
};

/** Row of the table of options that some commands take. */
struct ctl_option {
  std::string_view name;   ///< Without dashes.
  std::string_view value;  ///< What the value is, for help.
  std::string_view doc;    ///< One line.
};

/** A failure that is a wrong command line. */
inline auto UsageFailure(std::string message) -> failure {
  return {.code = error_code::kBadRequest,
          .message = std::move(message),
          .step = std::string(kUsageStep),
          .peer = ""};
}

}  // namespace dogwood

#endif  // SRC_CTL_TYPE_H_
