/** Command line, help text and output of dogwoodctl. */
#ifndef SRC_CTL_RUN_H_
#define SRC_CTL_RUN_H_

#include <boost/json/value.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "src/ctl_type.h"

namespace dogwood {

/** Inputs, outputs and transport of the tool, which tests replace. */
struct ctl_environment {
  std::string address;          ///< DOGWOOD_ADDRESS, empty if unset.
  std::string token_file;       ///< DOGWOOD_TOKEN_FILE, empty if unset.
  ctl_transport transport;      ///< Sends a request to an address.
  std::function<void()> pause;  ///< Waits before a change is retried.
  std::ostream* out = nullptr;  ///< Results and help texts.
  std::ostream* err = nullptr;  ///< Error messages.
  /** Receives --timeout before the first request is sent; may be empty. */
  std::function<void(std::chrono::seconds)> set_timeout;
};

/** Runs the tool; `arguments` leaves out the program name. */
auto RunCtl(const std::vector<std::string>& arguments,
            const ctl_environment& environment) -> ctl_exit;

/** Returns the help text of `command`, or the general one if it is null. */
auto CtlHelp(const ctl_command* command) -> std::string;

/** Formats `value` for people: an object as lines of name and value, a list of
 * objects as a table. */
auto FormatTable(const boost::json::value& value) -> std::string;

}  // namespace dogwood

#endif  // SRC_CTL_RUN_H_
