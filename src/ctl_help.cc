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
    "                       used if one does not answer. DOGWOOD_ADDRESS\n"
    "  --token-file FILE    File with the operator token. DOGWOOD_TOKEN_FILE\n"
    "  --output FORMAT      table (default) or json\n"
    "  --timeout SECONDS    Longest wait for an answer; default 30\n"
    "  --help               Prints this text\n"
    "\n"
    "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 unreachable or "
    "not\n"
    "available now\n";

/** Options that every command takes, for completion. */
constexpr std::string_view kGlobalOptions =
    "--address --token-file --output --timeout --help";

/** "command ARGUMENTS" of a row. */
auto UsageOf(const ctl_command& command) -> std::string {
  std::string text(command.words);
  if (!command.arguments.empty()) {
    text += ' ';
    text += command.arguments;
  }
  return text;
}

/** `text` padded to `width`, at least by one space. */
auto Padded(std::string text, std::size_t width) -> std::string {
  text.resize(std::max(width, text.size() + 1), ' ');
  return text;
}

/** Lines for the options of a command. */
auto OptionLines(const ctl_command& command) -> std::string {
  constexpr std::size_t kWidth = 24;
  std::string text;
  for (const auto name : SplitWords(command.options)) {
    for (const auto& option : CtlOptions()) {
      if (option.name == name) {
        auto usage = "  --" + std::string(name) + " ";
        usage += option.value;
        text += Padded(std::move(usage), kWidth) + std::string(option.doc);
        text += '\n';
      }
    }
  }
  return text.empty() ? text : "Options:\n" + text + "\n";
}

/** Options that take a value, separated by '|', as a pattern of bash. */
auto ValueOptionsPattern() -> std::string {
  std::string pattern = "--address|--token-file|--output|--timeout";
  for (const auto& option : CtlOptions()) {
    pattern += "|--" + std::string(option.name);
  }
  return pattern;
}

/** What may follow each beginning of a command. */
auto FollowingWords() -> std::map<std::string, std::set<std::string>> {
  std::map<std::string, std::set<std::string>> following;
  for (const auto& command : CtlCommands()) {
    std::string before;
    for (const auto word : SplitWords(command.words)) {
      following[before].insert(std::string(word));
      before += (before.empty() ? "" : " ") + std::string(word);
    }
    auto& options = following[before];
    for (const auto option : SplitWords(command.options)) {
      options.insert("--" + std::string(option));
    }
  }
  return following;
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
    text += Padded("  " + UsageOf(row), kWidth) + std::string(row.doc) + "\n";
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
      // The line is split at spaces, since COMP_WORDS splits IP:PORT too.
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
  for (const auto& row : FollowingWords()) {
    const auto& before = row.first;
    const bool is_command = std::any_of(
        CtlCommands().begin(), CtlCommands().end(),
        [&before](const auto& command) { return command.words == before; });
    text += "    \"" + before + '"';
    // Arguments of a command follow its words.
    text += is_command ? " | \"" + before + " \"*" : "";
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
