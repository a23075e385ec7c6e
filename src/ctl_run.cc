#include "src/ctl_run.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <ostream>
#include <utility>

#include "src/ctl_command.h"
#include "src/ctl_session.h"
#include "src/error_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Upper bound of --timeout in seconds. */
constexpr int kMaxTimeoutSeconds = 3600;

/** Parsed command line. */
struct ctl_command_line {
  const ctl_command* command = nullptr;  ///< Null for the general help.
  bool help = false;                     ///< --help was given.
  ctl_globals globals;                   ///< Global options.
  ctl_input input;                       ///< Arguments and options of it.
};

/** Returns the number of words of `command` if `words` begins with all of them,
 * 0 otherwise. */
auto MatchedWords(const ctl_command& command,
                  const std::vector<std::string>& words) -> std::size_t {
  const auto wanted = SplitWords(command.words);
  return wanted.size() <= words.size() &&
                 std::equal(wanted.begin(), wanted.end(), words.begin())
             ? wanted.size()
             : 0;
}

/** Returns the command that `words` begins with, null if there is none. */
auto FindCommand(const std::vector<std::string>& words) -> const ctl_command* {
  for (const auto& command : CtlCommands()) {
    if (MatchedWords(command, words) > 0) {
      return &command;
    }
  }
  return nullptr;
}

/** Lists the commands whose first word is `first`, for error messages. */
auto CommandsStartingWith(const std::string& first) -> std::string {
  std::string names;
  for (const auto& command : CtlCommands()) {
    if (SplitWords(command.words).front() == first) {
      names += (names.empty() ? "" : ", ") + std::string(command.words);
    }
  }
  return names;
}

/** Declares the options that every command takes. */
auto GlobalOptions() -> cxxopts::Options {
  cxxopts::Options options("dogwoodctl");
  options.add_options()("address", "", cxxopts::value<std::string>())(
      "token-file", "", cxxopts::value<std::string>())(
      "output", "", cxxopts::value<std::string>()->default_value("table"))(
      "timeout", "", cxxopts::value<int>()->default_value("30"))("help", "");
  return options;
}

/** Parses `arguments` with `options`. */
auto Parse(cxxopts::Options& options, const std::vector<std::string>& arguments)
    -> cxxopts::ParseResult {
  std::vector<const char*> argv{"dogwoodctl"};
  for (const auto& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  return options.parse(static_cast<int>(argv.size()), argv.data());
}

/** Splits a comma-separated list; empty elements are dropped. */
auto SplitCommas(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> parts;
  std::string part;
  for (const char c : text + ",") {
    if (c != ',') {
      part += c;
    } else if (!part.empty()) {
      parts.push_back(std::exchange(part, ""));
    }
  }
  return parts;
}

/** Validates the global options. The environment supplies the addresses and the
 * token file that the command line leaves out. */
auto ReadGlobals(const cxxopts::ParseResult& parsed,
                 const ctl_environment& environment) -> outcome<ctl_globals> {
  ctl_globals globals;
  for (const auto& given : parsed.arguments()) {
    if (given.key() == "address") {
      for (auto& address : SplitCommas(given.value())) {
        globals.addresses.push_back(std::move(address));
      }
    }
  }
  if (globals.addresses.empty()) {
    globals.addresses = SplitCommas(environment.address);
  }
  globals.token_file = parsed.count("token-file") != 0
                           ? parsed["token-file"].as<std::string>()
                           : environment.token_file;
  const auto output = parsed["output"].as<std::string>();
  if (output != "table" && output != "json") {
    return UsageFailure("--output \"" + output +
                        "\" is neither table nor json");
  }
  globals.format = output == "json" ? ctl_format::kJson : ctl_format::kTable;
  const auto timeout = parsed["timeout"].as<int>();
  if (timeout < 1 || timeout > kMaxTimeoutSeconds) {
    return UsageFailure("--timeout " + std::to_string(timeout) +
                        " is not within 1 to " +
                        std::to_string(kMaxTimeoutSeconds));
  }
  globals.timeout = std::chrono::seconds(timeout);
  return globals;
}

/** Checks that a command got the right number of arguments, none of them empty.
 */
auto CheckArguments(const ctl_command& command, const ctl_input& input)
    -> outcome<void> {
  const auto wanted = SplitWords(command.arguments).size();
  const bool repeats = command.arguments.ends_with("...");
  const auto given = input.arguments.size();
  if (given < wanted || (given > wanted && !repeats)) {
    return UsageFailure(std::string(command.words) + " takes " +
                        (command.arguments.empty()
                             ? "no arguments"
                             : std::string(command.arguments)) +
                        "; got " + std::to_string(given) + " arguments");
  }
  const auto is_empty = [](const std::string& text) { return text.empty(); };
  if (std::any_of(input.arguments.begin(), input.arguments.end(), is_empty)) {
    return UsageFailure("an argument is empty");
  }
  return {};
}

/** Parses a command line whose command is known. */
auto ReadCommand(const ctl_command& command,
                 const std::vector<std::string>& arguments,
                 const ctl_environment& environment)
    -> outcome<ctl_command_line> {
  auto options = GlobalOptions();
  const auto own = SplitWords(command.options);
  for (const auto name : own) {
    options.add_options()(std::string(name), "", cxxopts::value<std::string>());
  }
  const auto parsed = Parse(options, arguments);
  ctl_command_line line;
  line.command = &command;
  line.help = parsed.count("help") != 0;
  if (line.help) {
    return line;
  }
  auto globals = ReadGlobals(parsed, environment);
  if (!globals) {
    return globals.error();
  }
  line.globals = std::move(globals.value());
  for (const auto name : own) {
    const std::string key(name);
    if (parsed.count(key) != 0) {
      line.input.options[key] = parsed[key].as<std::string>();
    }
  }
  const auto& words = parsed.unmatched();
  const auto matched = MatchedWords(command, words);
  if (matched == 0) {
    return UsageFailure("options come before or after \"" +
                        std::string(command.words) + "\", not within");
  }
  line.input.arguments.assign(
      words.begin() + static_cast<std::ptrdiff_t>(matched), words.end());
  auto checked = CheckArguments(command, line.input);
  if (!checked) {
    return checked.error();
  }
  return line;
}

/** Parses a command line: finds the command first, then parses again with the
 * options that the command takes. */
auto ReadCommandLine(const std::vector<std::string>& arguments,
                     const ctl_environment& environment)
    -> outcome<ctl_command_line> {
  try {
    auto options = GlobalOptions();
    options.allow_unrecognised_options();
    const auto parsed = Parse(options, arguments);
    const auto& words = parsed.unmatched();
    const auto* command = FindCommand(words);
    if (command != nullptr) {
      return ReadCommand(*command, arguments, environment);
    }
    if (parsed.count("help") != 0) {
      ctl_command_line line;
      line.help = true;
      return line;
    }
    if (words.empty()) {
      return UsageFailure("a command is required; see dogwoodctl --help");
    }
    const auto candidates = CommandsStartingWith(words.front());
    return UsageFailure(
        candidates.empty()
            ? "unknown command \"" + words.front() + "\"; see dogwoodctl --help"
            : "incomplete command; commands are: " + candidates);
  } catch (const cxxopts::exceptions::exception& e) {
    return UsageFailure(e.what());
  }
}

/** Prints the result of a command. Strings are printed as they are in both
 * formats. */
auto Print(const json::value& value,
           ctl_format format,
           const ctl_environment& environment) -> void {
  if (format == ctl_format::kTable || value.is_string()) {
    *environment.out << FormatTable(value);
  } else {
    *environment.out << json::serialize(value) << "\n";
  }
}

/** Prints a failure and returns its exit code. */
auto PrintFailure(const failure& error, const ctl_environment& environment)
    -> ctl_exit {
  const auto code = ExitCodeOf(error);
  auto& err = *environment.err;
  err << "dogwoodctl: " << error.message;
  if (code != ctl_exit::kUsage) {
    err << " [" << NameOf(error.code);
    err << (error.step.empty() ? "" : ", " + error.step);
    err << (error.peer.empty() ? "" : ", " + error.peer) << "]";
  }
  err << "\n";
  return code;
}

}  // namespace

auto RunCtl(const std::vector<std::string>& arguments,
            const ctl_environment& environment) -> ctl_exit {
  auto line = ReadCommandLine(arguments, environment);
  if (!line) {
    return PrintFailure(line.error(), environment);
  }
  if (line->help) {
    *environment.out << CtlHelp(line->command);
    return ctl_exit::kOk;
  }
  if (environment.set_timeout) {
    environment.set_timeout(line->globals.timeout);
  }
  ctl_session session(line->globals, environment.transport, environment.pause);
  const auto value = line->command->run(session, line->input);
  if (!value) {
    return PrintFailure(value.error(), environment);
  }
  Print(value.value(), line->globals.format, environment);
  environment.out->flush();
  return ctl_exit::kOk;
}

}  // namespace dogwood
