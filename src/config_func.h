/** Validation of the paths and values of the configuration tree. Internal to
 * library config. */
#ifndef SRC_CONFIG_FUNC_H_
#define SRC_CONFIG_FUNC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "src/config_type.h"

namespace dogwood {

/** A key and its workspace. */
struct key_path {
  workspace_id workspace;
  key_id key;
};

/** Path of the parent node: "/" for a child of the root, empty for the root. */
auto ParentPath(std::string_view path) -> std::string_view;

/** Common prefix of the paths of all descendants. */
auto DescendantPrefix(std::string_view path) -> std::string;

/** The key at `path`, nothing if `path` is not the path of a key. */
auto ParseKeyPath(std::string_view path) -> std::optional<key_path>;

/** Why `path` is invalid, nothing if it is valid. */
auto FindPathError(std::string_view path) -> std::optional<std::string>;

/** Why `change` is invalid independent of the state of the tree, nothing if it
 * is valid. */
auto FindChangeError(const config_change& change) -> std::optional<std::string>;

/** `text` with the ASCII letters in lower case. */
auto ToLower(std::string_view text) -> std::string;

/** A value close to `value` that survives a JSON round trip exactly. Boost.JSON
 * 1.81 may parse a double as the neighbour of the one written, so that a value
 * from a snapshot could differ from the one from the log. */
auto CanonicalValue(boost::json::value value) -> boost::json::value;

}  // namespace dogwood

#endif  // SRC_CONFIG_FUNC_H_
