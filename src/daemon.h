/** Public header of library daemon: what the mains of the daemons share. */
#ifndef SRC_DAEMON_H_
#define SRC_DAEMON_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <string_view>
#include <utility>

#include "src/core.h"
#include "src/setting.h"

namespace dogwood {

/** What a second signal does while a daemon stops. */
enum class second_signal {
  kIgnored,       ///< Requests under way are not cut.
  kExitsProcess,  ///< The process ends at once.
};

/** Ends at the first SIGTERM or SIGINT. */
auto AwaitStopSignal(boost::asio::io_context& io, second_signal second)
    -> boost::asio::awaitable<void>;

/** What tells one daemon from another. */
struct daemon_program {
  setting_table table;    ///< Has rows "host" and "log_levels".
  std::string_view name;  ///< Of the program.
  std::string_view role;  ///< In log lines, such as "entryd".
};

/** Main of a daemon. `read` makes an outcome of its options from the checked
 * settings; `serve` takes the options, runs the daemon and returns the exit
 * code. Exit code 2: the command line or a setting is wrong. */
template <typename Read, typename Serve>
auto RunDaemon(const daemon_program& program,
               int argc,
               const char* const* argv,
               Read read,
               Serve serve) -> int {
  int exit_code = 0;
  const auto* values = SettingsFromCommandLine(program.table, program.name,
                                               argc, argv, exit_code);
  if (values == nullptr) {
    return exit_code;
  }
  auto options = read(*values);
  if (!options) {
    std::cerr << options.error().message << "\n";
    return 2;
  }
  const auto& levels = values->Text("log_levels");
  if (!StartLog(values->Text("host"), program.role, levels)) {
    std::cerr << "setting \"log_levels\": \"" << levels
              << "\" is not a list of levels\n";
    return 2;
  }
  return serve(std::move(options.value()));
}

}  // namespace dogwood

#endif  // SRC_DAEMON_H_
