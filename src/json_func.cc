#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;

auto NumberField(const json::object& object, std::string_view name)
    -> std::uint64_t {
  const auto* value = object.if_contains(name);
  if (value == nullptr) {
    return 0;
  }
  json::error_code ec;
  const auto number = value->to_number<std::uint64_t>(ec);
  return ec ? 0 : number;
}

auto TextField(const json::object& object, std::string_view name)
    -> std::string_view {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return {value->get_string().data(), value->get_string().size()};
}

}  // namespace dogwood
