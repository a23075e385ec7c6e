#include "src/http_type.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <utility>

#include "src/error_func.h"

namespace dogwood {
namespace {

/** Maximum bytes of a field and of all fields of a head that is sent. */
constexpr std::size_t kMaxFieldBytes = 32UL << 10;
constexpr std::size_t kMaxHeadBytes = 64UL << 10;
constexpr char kDelete = 0x7f;
/** What a token may have beside letters and digits. */
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

/** Whether a character is a control character; those of UTF-8 are not. */
auto IsControl(char c) -> bool {
  return (c >= 0 && c < ' ') || c == kDelete;
}

auto IsToken(std::string_view name) -> bool {
  return !name.empty() && std::ranges::all_of(name, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') ||
           kTokenMarks.find(c) != std::string_view::npos;
  });
}

/** Returns a name for a message, without what could break a line. */
auto Printable(std::string_view name) -> std::string {
  constexpr std::size_t kMaxNameBytes = 64;
  std::string text(name.substr(0, kMaxNameBytes));
  std::ranges::replace_if(text, IsControl, '?');
  return "\"" + text + "\"";
}

}  // namespace

auto IsControlInField(char c) -> bool {
  return c != '\t' && IsControl(c);
}

auto HeadProblem(const http_request& request) -> std::optional<std::string> {
  const auto& target = request.target;
  if (!target.starts_with('/') || std::ranges::any_of(target, [](char c) {
        return c == ' ' || IsControl(c);
      })) {
    return "path " + Printable(target) + " is not the path of a request";
  }
  auto bytes = request.method.size() + target.size();
  for (const auto& field : request.headers.fields) {
    if (!IsToken(field.name)) {
      return "field name " + Printable(field.name) + " is not a token";
    }
    if (std::ranges::any_of(field.value, IsControlInField)) {
      return "field " + Printable(field.name) + " has a control character";
    }
    const auto size = field.name.size() + field.value.size();
    if (size > kMaxFieldBytes) {
      return "field " + Printable(field.name) + " has " + std::to_string(size) +
             " bytes, " + std::to_string(kMaxFieldBytes) + " are permitted";
    }
    bytes += size;
  }
  if (bytes > kMaxHeadBytes) {
    return "head has " + std::to_string(bytes) + " bytes, " +
           std::to_string(kMaxHeadBytes) + " are permitted";
  }
  return std::nullopt;
}

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
