/** Paths and values of the tree: which are well formed. Internal to library
 * config. */
#ifndef SRC_CONFIG_FUNC_H_
#define SRC_CONFIG_FUNC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "src/config_type.h"

namespace dogwood {

/** Name of a key within its workspace. */
struct key_path {
  workspace_id workspace;  ///< Workspace.
  key_id key;              ///< Key.
};

/** Path of the parent node, "/" for a child of the root, empty for the root. */
auto ParentPath(std::string_view path) -> std::string_view;

/** Prefix that the paths of all descendants start with. */
auto PrefixBelow(std::string_view path) -> std::string;

/** The key that `path` names, nothing if it names no key. */
auto KeyPathOf(std::string_view path) -> std::optional<key_path>;

/** What is wrong with `path`, nothing if it is well formed. */
auto WrongWithPath(std::string_view path) -> std::optional<std::string>;

/** What is wrong with `change` whatever the tree holds, nothing if it is well
 * formed. */
auto WrongWithChange(const config_change& change) -> std::optional<std::string>;

/** `text` with 'A' to 'Z' as lower case. */
auto ToLower(std::string_view text) -> std::string;

/** The value nearest to `value` that writing and reading as JSON keeps exactly.
 * Boost.JSON 1.81 may read a double as the neighbour of the one written, so a
 * value taken from a snapshot could differ from the one taken from the log. */
auto CanonicalValue(boost::json::value value) -> boost::json::value;

}  // namespace dogwood

#endif  // SRC_CONFIG_FUNC_H_
