/** Tests of the validation of settings files. */
#include <array>

#include "src/core.h"
#include "src/setting.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using dogwood::setting_kind;

constexpr std::array kTable{
    dogwood::setting_row{"port", setting_kind::kInteger, "", 1, 65535, "80",
                         "Port."},
    dogwood::setting_row{"name", setting_kind::kText, "", 0, 0, "", "Name."},
};

/** Returns the error message for the settings `json`; empty if they are valid.
 */
auto ErrorMessageOf(std::string_view json) -> std::string {
  const auto read = dogwood::ToOutcome(
      [&] { return dogwood::ParseSettings(kTable, json, "file.json"); });
  return read ? "" : read.error().message;
}

}  // namespace

// Guards against silently replacing an invalid value by its default, and
// against messages that do not name the setting, its range or the line.
Test(setting, bad_values_are_refused_with_name_and_range) {
  cr_assert_eq(ErrorMessageOf(R"({"name":"x", /* c */ "port":8,})"), "");
  const auto range = ErrorMessageOf(R"({"name":"x","port":70000})");
  cr_assert(range.find("port") != std::string::npos);
  cr_assert(range.find("65535") != std::string::npos);
  cr_assert(ErrorMessageOf(R"({"port":8})").find("name") != std::string::npos);
  cr_assert(ErrorMessageOf(R"({"name":"x","prot":8})").find("prot") !=
            std::string::npos);
  cr_assert(ErrorMessageOf("{\n\n\"name\" 3}").find("line 3") !=
            std::string::npos);
}
