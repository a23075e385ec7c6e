#include <algorithm>
#include <map>
#include <set>

#include "src/ctl_command.h"
#include "src/ctl_run.h"

namespace dogwood {
namespace {

constexpr std::string_view kGlobalHelp =
    "Global options:\n"
    "  --address IP:PORT    Operator address; may be repeated, the next one "
    "is\n"
    "                       used if one does not respond. DOGWOOD_ADDRESS\n"
    "  --token-file FILE    File with the operator token. DOGWOOD_TOKEN_FILE\n"
    "  --output FORMAT      table (default) or json\n"
    "  --timeout SECONDS    Timeout of each request; default 30\n"
    "  --help               Prints this text\n"
    "\n"
    "Exit codes: 0 success, 1 refused, 2 usage error, 3 unreachable or "
    "not\n"
    "available now\n";

/** Global options, as completion offers them. */
constexpr std::string_view kGlobalOptions =
    "--address --token-file --output --timeout --help";

/** Returns "command ARGUMENTS" for the usage line. */
auto UsageOf(const ctl_command& command) -> std::string {
  std::string text(command.words);
  if (!command.arguments.empty()) {
    text += ' ';
    text += command.arguments;
  }
  return text;
}

/** Pads `text` with spaces to `width`, with at least one space. */
auto Pad(std::string text, std::size_t width) -> std::string {
  text.resize(std::max(width, text.size() + 1), ' ');
  return text;
}

/** Returns the help lines for the options of a command; empty if it has none.
 */
auto OptionLines(const ctl_command& command) -> std::string {
  constexpr std::size_t kWidth = 24;
  std::string text;
  for (const auto name : SplitWords(command.options)) {
    for (const auto& option : CtlOptions()) {
      if (option.name == name) {
        auto usage = "  --" + std::string(name) + " ";
        usage += option.value;
        text += Pad(std::move(usage), kWidth) + std::string(option.doc);
        text += '\n';
      }
    }
  }
  return text.empty() ? text : "Options:\n" + text + "\n";
}

/** Returns a bash pattern, separated by '|', of the options that take a value.
 */
auto ValueOptionsPattern() -> std::string {
  std::string pattern = "--address|--token-file|--output|--timeout";
  for (const auto& option : CtlOptions()) {
    pattern += "|--" + std::string(option.name);
  }
  return pattern;
}

/** Maps each prefix of a command's words to its completions: the next words,
 * and the options once the command is complete. */
auto CompletionsByPrefix() -> std::map<std::string, std::set<std::string>> {
  std::map<std::string, std::set<std::string>> completions;
  for (const auto& command : CtlCommands()) {
    std::string prefix;
    for (const auto word : SplitWords(command.words)) {
      completions[prefix].insert(std::string(word));
      prefix += (prefix.empty() ? "" : " ") + std::string(word);
    }
    auto& options = completions[prefix];
    for (const auto option : SplitWords(command.options)) {
      options.insert("--" + std::string(option));
    }
  }
  return completions;
}

}  // namespace

auto CtlHelp(const ctl_command* command) -> std::string {
  constexpr std::size_t kWidth = 32;
  if (command != nullptr) {
    return "Usage: dogwoodctl " + UsageOf(*command) + " [options]\n\n" +
           std::string(command->doc) + "\n\n" + OptionLines(*command) +
           std::string(kGlobalHelp);
  }
  std::string text =
      "Usage: dogwoodctl [global options] COMMAND [arguments] [options]\n\n"
      "Commands:\n";
  for (const auto& row : CtlCommands()) {
    text += Pad("  " + UsageOf(row), kWidth) + std::string(row.doc) + "\n";
  }
  return text + "\n" + std::string(kGlobalHelp);
}

auto SplitWords(std::string_view text) -> std::vector<std::string_view> {
  std::vector<std::string_view> words;
  while (!text.empty()) {
    const auto space = text.find(' ');
    if (space != 0) {
      words.push_back(text.substr(0, space));
    }
    text = space == std::string_view::npos ? "" : text.substr(space + 1);
  }
  return words;
}

auto BashCompletion() -> std::string {
  std::string text =
      // The script splits the line at spaces itself: COMP_WORDS also splits
      // IP:PORT at the colon.
      "_dogwoodctl() {\n"
      "  local line=${COMP_LINE:0:COMP_POINT} before=\"\" current=\"\" i\n"
      "  local -a given\n"
      "  read -ra given <<< \"$line\"\n"
      "  [[ $line == *\" \" ]] || current=${given[-1]}\n"
      "  [[ $line == *\" \" ]] || unset \"given[-1]\"\n"
      "  for ((i = 1; i < ${#given[@]}; ++i)); do\n"
      "    case ${given[i]} in\n"
      "      " +
      ValueOptionsPattern() +
      ") ((++i)) ;;\n"
      "      -*) ;;\n"
      "      *) before+=\"${before:+ }${given[i]}\" ;;\n"
      "    esac\n"
      "  done\n"
      "  local words=\"" +
      std::string(kGlobalOptions) +
      "\"\n"
      "  case $before in\n";
  for (const auto& row : CompletionsByPrefix()) {
    const auto& prefix = row.first;
    const bool is_command = std::any_of(
        CtlCommands().begin(), CtlCommands().end(),
        [&prefix](const auto& command) { return command.words == prefix; });
    text += "    \"" + prefix + '"';
    // A complete command also matches when arguments follow it.
    text += is_command ? " | \"" + prefix + " \"*" : "";
    text += ") words+=\"";
    for (const auto& word : row.second) {
      text += " " + word;
    }
    text += "\" ;;\n";
  }
  text +=
      "  esac\n"
      "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$current\")\n"
      "}\n"
      "complete -F _dogwoodctl dogwoodctl\n";
  return text;
}

}  // namespace dogwood
