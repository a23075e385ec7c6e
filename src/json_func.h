/** Fields of JSON objects whose types are not known. */
#ifndef SRC_JSON_FUNC_H_
#define SRC_JSON_FUNC_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string_view>

namespace dogwood {

/** Value of a number field, 0 if it is absent or no whole number. */
auto NumberField(const boost::json::object& object, std::string_view name)
    -> std::uint64_t;
/** Value of a text field, empty if it is absent or no text. */
auto TextField(const boost::json::object& object, std::string_view name)
    -> std::string_view;

}  // namespace dogwood

#endif  // SRC_JSON_FUNC_H_
