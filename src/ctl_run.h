/** Command line, help and output of the tool. */
#ifndef SRC_CTL_RUN_H_
#define SRC_CTL_RUN_H_

#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "src/ctl_type.h"

namespace dogwood {

/** Environment of the tool, so that tests need none. */
struct ctl_environment {
  std::string address;          ///< DOGWOOD_ADDRESS, empty if unset.
  std::string token_file;       ///< DOGWOOD_TOKEN_FILE, empty if unset.
  ctl_transport transport;      ///< Sends requests.
  std::function<void()> pause;  ///< Waits between two tries of a change.
  std::ostream* out = nullptr;  ///< Output.
  std::ostream* err = nullptr;  ///< Messages.
  /** Told the timeout before the first request. */
  std::function<void(std::chrono::seconds)> set_timeout;
};

/** Runs the tool with the arguments after the program's name. */
auto RunCtl(const std::vector<std::string>& arguments,
            const ctl_environment& environment) -> ctl_exit;

/** Help on one command, or on all of them if `command` is null. */
auto CtlHelp(const ctl_command* command) -> std::string;

/** `value` as text for people: objects as name and value, lists of objects as
 * tables. */
auto FormatTable(const boost::json::value& value) -> std::string;

}  // namespace dogwood

#endif  // SRC_CTL_RUN_H_
