#include "src/http_type.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <utility>

#include "src/error_func.h"

namespace dogwood {

auto http_headers::Get(std::string_view name) const -> std::string_view {
  for (const auto& field : fields) {
    if (boost::iequals(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

auto http_headers::Set(std::string_view name, std::string_view value) -> void {
  Remove(name);
  fields.push_back({std::string(name), std::string(value)});
}

auto http_headers::Remove(std::string_view name) -> void {
  std::erase_if(fields, [name](const http_header& field) {
    return boost::iequals(field.name, name);
  });
}

auto http_request::Path() const -> std::string_view {
  return std::string_view(target).substr(0, target.find('?'));
}

auto http_request::Query(std::string_view name) const
    -> std::optional<std::string> {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) {
    return std::nullopt;
  }
  const auto params = url->params();
  const auto found = params.find(name);
  if (found == params.end()) {
    return std::nullopt;
  }
  return (*found).value;
}

auto JsonResponse(unsigned status, std::string json) -> http_response {
  http_response response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = std::move(json);
  return response;
}

auto FailureResponse(const failure& error) -> http_response {
  auto response = JsonResponse(HttpStatusOf(error.code),
                               boost::json::serialize(ToJson(error)));
  response.headers.Set("Dogwood-Ran", NameOf(error.ran));
  return response;
}

}  // namespace dogwood
