/** Table of a daemon's settings, from which the checks, the default settings
 * file and the documentation are derived. */
#ifndef SRC_SETTING_TYPE_H_
#define SRC_SETTING_TYPE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dogwood {

/** Type of the value of a setting. */
enum class setting_kind {
  kInteger,   ///< Integer within [min, max].
  kReal,      ///< Number within [min, max].
  kText,      ///< String; one of `choices` if those are not empty.
  kTextList,  ///< List of strings.
  kBoolean,   ///< true or false.
};

/** One row of a settings table. */
struct setting_row {
  std::string_view name;  ///< Key in the settings file.
  setting_kind kind;
  std::string_view unit;          ///< Unit of a number; empty if none.
  double min = 0;                 ///< Minimum of a number.
  double max = 0;                 ///< Maximum of a number.
  std::string_view fallback;      ///< Default as JSON; empty if required.
  std::string_view doc;           ///< Description for docs/settings.md.
  std::string_view choices = "";  ///< Permitted strings, separated by '|'.
};

using setting_table = std::span<const setting_row>;

/** Validated values by name. The getters require a name that is in the table
 * with the getter's type. */
class setting_values {
 public:
  auto Integer(std::string_view name) const -> std::int64_t;
  auto Real(std::string_view name) const -> double;
  auto Text(std::string_view name) const -> const std::string&;
  auto TextList(std::string_view name) const -> const std::vector<std::string>&;
  auto Boolean(std::string_view name) const -> bool;
  /** Returns the integer setting `name` as milliseconds. */
  auto Milliseconds(std::string_view name) const -> std::chrono::milliseconds;

 private:
  friend class setting_reader;
  std::map<std::string, double, std::less<>> numbers_;
  std::map<std::string, std::string, std::less<>> texts_;
  std::map<std::string, std::vector<std::string>, std::less<>> lists_;
};

}  // namespace dogwood

#endif  // SRC_SETTING_TYPE_H_
