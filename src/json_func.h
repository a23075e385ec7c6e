/** Access to fields of JSON objects whose types have not been checked. */
#ifndef SRC_JSON_FUNC_H_
#define SRC_JSON_FUNC_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string_view>

namespace dogwood {

/** Returns the value of a number field; 0 if it is absent or not a non-negative
 * integer. */
auto NumberField(const boost::json::object& object, std::string_view name)
    -> std::uint64_t;
/** Returns the value of a string field; empty if it is absent or not a string.
 */
auto TextField(const boost::json::object& object, std::string_view name)
    -> std::string_view;

}  // namespace dogwood

#endif  // SRC_JSON_FUNC_H_
