/** Tables of the commands and options of dogwoodctl. */
#ifndef SRC_CTL_COMMAND_H_
#define SRC_CTL_COMMAND_H_

#include <span>

#include "src/ctl_type.h"

namespace dogwood {

/** Returns all commands, in the order in which the help text lists them. */
auto CtlCommands() -> std::span<const ctl_command>;

/** Returns the options that only some commands take. */
auto CtlOptions() -> std::span<const ctl_option>;

/** Splits `text` at spaces; empty words are dropped. */
auto SplitWords(std::string_view text) -> std::vector<std::string_view>;

/** Generates the completion script for bash from the table of commands. */
auto BashCompletion() -> std::string;

}  // namespace dogwood

#endif  // SRC_CTL_COMMAND_H_
