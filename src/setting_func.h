/** Reading, validation and printing of settings files. */
#ifndef SRC_SETTING_FUNC_H_
#define SRC_SETTING_FUNC_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/error_type.h"
#include "src/setting_type.h"

namespace dogwood {

/** Parses settings from JSON with comments. Fails with kBadRequest and a
 * message that names `source`, the setting, its value and the permitted range.
 */
auto ParseSettings(setting_table table,
                   std::string_view json,
                   std::string_view source) -> result<setting_values>;

/** Returns the contents of a file; nothing if it cannot be read. */
auto ReadFile(const std::string& path) -> std::optional<std::string>;

/** Reads and parses the settings file at `path`; see ParseSettings(). */
auto ReadSettings(setting_table table, const std::string& path)
    -> result<setting_values>;

/** Returns a settings file with the defaults and descriptions of the table. */
auto PrintSettings(setting_table table) -> std::string;

/** Returns the table as Markdown for docs/settings.md. */
auto DescribeSettings(setting_table table, std::string_view title)
    -> std::string;

/** Handles a daemon's command line: --settings FILE, --check-settings,
 * --print-settings, --describe-settings, --help. Returns the settings if the
 * daemon should run; otherwise returns nullptr and sets `exit_code`. */
auto SettingsFromCommandLine(setting_table table,
                             std::string_view program,
                             int argc,
                             const char* const* argv,
                             int& exit_code) -> const setting_values*;

}  // namespace dogwood

#endif  // SRC_SETTING_FUNC_H_
