/** Public header of library daemon: startup and stop of all daemons. */
#ifndef SRC_DAEMON_H_
#define SRC_DAEMON_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <initializer_list>
#include <iostream>
#include <memory>
#include <string_view>
#include <utility>

#include "src/core.h"
#include "src/setting.h"

namespace dogwood {

/** Blocks `signals` in this thread and in those that it starts, so that one
 * that comes before its handler exists is kept until HandleSignals(). */
auto HoldSignals(std::initializer_list<int> signals) -> void;

/** Returns a set that handles `signals`, and unblocks them in this thread.
 * Those held by HoldSignals() are delivered to the set. */
auto HandleSignals(boost::asio::io_context& io,
                   std::initializer_list<int> signals)
    -> std::shared_ptr<boost::asio::signal_set>;

/** Prepares the process for signals before it does anything else: blocks the
 * stop signals until AwaitStopSignal(), and ignores SIGPIPE, so that the
 * process outlives the reader of its standard output. */
auto PrepareForSignals() -> void;

/** Effect of a second stop signal while a daemon stops. */
enum class second_signal {
  kIgnored,       ///< The daemon goes on to finish the requests in flight.
  kExitsProcess,  ///< The process exits at once.
};

/** Completes at the first SIGTERM or SIGINT. Later signals are logged and
 * handled as `second` says. */
auto AwaitStopSignal(boost::asio::io_context& io, second_signal second)
    -> boost::asio::awaitable<void>;

/** Properties of one daemon's program. */
struct daemon_program {
  setting_table table;    ///< Must have rows "host" and "log_levels".
  std::string_view name;  ///< Name of the binary.
  std::string_view role;  ///< Name in log lines, such as "entryd".
};

/** Main function of a daemon. `read` converts the validated settings to an
 * outcome of the daemon's options; `serve` runs the daemon with them and
 * returns the exit code. Returns 2 if the command line or a setting is invalid.
 * A stop signal that comes before `serve` awaits it is kept. */
template <typename Read, typename Serve>
auto RunDaemon(const daemon_program& program,
               int argc,
               const char* const* argv,
               Read read,
               Serve serve) -> int {
  PrepareForSignals();
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
              << "\" is not a valid list of log levels\n";
    return 2;
  }
  return serve(std::move(options.value()));
}

}  // namespace dogwood

#endif  // SRC_DAEMON_H_
