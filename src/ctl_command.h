/** The commands of the tool. */
#ifndef SRC_CTL_COMMAND_H_
#define SRC_CTL_COMMAND_H_

#include <span>

#include "src/ctl_type.h"

namespace dogwood {

/** Table of all commands, in the order of help. */
auto CtlCommands() -> std::span<const ctl_command>;

/** Table of the options that some commands take. */
auto CtlOptions() -> std::span<const ctl_option>;

/** Splits the options of a command at spaces. */
auto SplitWords(std::string_view text) -> std::vector<std::string_view>;

/** Completion script for bash, made from the table of commands. */
auto BashCompletion() -> std::string;

}  // namespace dogwood

#endif  // SRC_CTL_COMMAND_H_
