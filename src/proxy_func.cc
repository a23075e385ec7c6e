#include "src/proxy_func.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/pct_string_view.hpp>
#include <vector>

#include "src/core.h"

namespace dogwood {
namespace {

/** RFC 9110 section 7.6.1 and the fields that framing sets anew. */
constexpr std::array<std::string_view, 11> kHopByHop{
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate",  "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length",
    "Proxy-Authorization", "Expect"};

/** Fields that may carry a caller's credentials. */
constexpr std::array<std::string_view, 6> kCredentials{
    "Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key",
    "Api-Key",       "X-Auth-Token"};

/** Fields that only entry hosts set: with another request's id a caller could
 * cancel or resume that request. */
constexpr std::array<std::string_view, 3> kOwnFields{"X-Request-Id",
                                                     "X-Resume-From", "Host"};
constexpr std::string_view kOwnPrefix = "X-Dogwood-";

/** Query parameters that may carry a caller's credentials. */
constexpr std::array<std::string_view, 5> kKeyParameters{
    "key", "api_key", "api-key", "apikey", "access_token"};

/** Whether `names` holds `name` without regard to case. */
template <std::size_t N>
auto Contains(const std::array<std::string_view, N>& names,
              std::string_view name) -> bool {
  return std::ranges::any_of(
      names, [name](auto other) { return boost::iequals(name, other); });
}

/** Percent-decoded text; the text itself if it is not well-formed. */
auto Decoded(std::string_view text) -> std::string {
  const auto view = boost::urls::make_pct_string_view(text);
  if (!view) {
    return std::string(text);
  }
  boost::urls::encoding_opts options;
  options.space_as_plus = true;
  return view->decode(options);
}

/** Whether `text` holds `key`; an empty key is in no text. */
auto Holds(std::string_view text, std::string_view key) -> bool {
  return !key.empty() && text.find(key) != std::string_view::npos;
}

/** Whether a query parameter "name=value" carries credentials. */
auto CarriesKey(std::string_view parameter, std::string_view key) -> bool {
  const auto name = Decoded(parameter.substr(0, parameter.find('=')));
  return Contains(kKeyParameters, name) || Holds(Decoded(parameter), key);
}

/** A refusal of a caller's request. */
auto BadRequest(std::string message, std::string step)
    -> boost::leaf::error_id {
  return Fail({.code = error_code::kBadRequest,
               .message = std::move(message),
               .ran = ran_state::kNo,
               .step = std::move(step),
               .peer = ""});
}

/** Adds the text of one message, which is a string or a list of parts. */
auto AppendContent(const boost::json::value& content, std::string& text)
    -> void {
  if (content.is_string()) {
    text += content.get_string();
    return;
  }
  if (!content.is_array()) {
    return;
  }
  for (const auto& part : content.get_array()) {
    if (part.is_string()) {
      text += part.get_string();
    } else if (part.is_object()) {
      const auto* inner = part.get_object().if_contains("text");
      if (inner != nullptr && inner->is_string()) {
        text += inner->get_string();
      }
    }
  }
}

/** Joins the roles and texts of chat messages. */
auto JoinMessages(const boost::json::array& messages) -> std::string {
  std::string text;
  for (const auto& message : messages) {
    if (!message.is_object()) {
      continue;
    }
    const auto& fields = message.get_object();
    const auto* role = fields.if_contains("role");
    const auto* content = fields.if_contains("content");
    if (role != nullptr && role->is_string()) {
      text += role->get_string();
      text += '\n';
    }
    if (content != nullptr) {
      AppendContent(*content, text);
      text += '\n';
    }
  }
  return text;
}

}  // namespace

auto RemoveHopByHop(http_headers& headers) -> void {
  std::vector<std::string> named;
  for (const auto& field : headers.fields) {
    if (boost::iequals(field.name, "Connection")) {
      std::vector<std::string> parts;
      boost::split(parts, field.value, boost::is_any_of(","));
      named.insert(named.end(), parts.begin(), parts.end());
    }
  }
  for (auto& name : named) {
    boost::trim(name);
    headers.Remove(name);
  }
  std::erase_if(headers.fields, [](const http_header& field) {
    return Contains(kHopByHop, field.name);
  });
}

auto BearerKey(const http_headers& headers) -> std::string_view {
  constexpr std::string_view kScheme = "bearer ";
  const auto value = headers.Get("Authorization");
  if (!boost::istarts_with(value, kScheme)) {
    return {};
  }
  const auto start = value.find_first_not_of(' ', kScheme.size());
  return start == std::string_view::npos ? std::string_view()
                                         : value.substr(start);
}

auto StripQuery(std::string_view target, std::string_view key) -> std::string {
  const auto mark = target.find('?');
  std::string kept(target.substr(0, mark));
  if (mark == std::string_view::npos) {
    return kept;
  }
  char separator = '?';
  auto rest = target.substr(mark + 1);
  while (true) {
    const auto end = rest.find('&');
    const auto parameter = rest.substr(0, end);
    if (!CarriesKey(parameter, key)) {
      kept += separator;
      kept += parameter;
      separator = '&';
    }
    if (end == std::string_view::npos) {
      return kept;
    }
    rest = rest.substr(end + 1);
  }
}

auto BackendRequest(const http_request& request,
                    std::string_view target,
                    const proxy_stamp& stamp) -> result<http_request> {
  if (!boost::urls::parse_origin_form(target)) {
    return BadRequest("the request's target is not a valid path and query",
                      "parse target");
  }
  if (Holds(Decoded(target.substr(0, target.find('?'))), stamp.key)) {
    return BadRequest("the path holds the key", "parse target");
  }
  http_request passed;
  passed.method = request.method;
  passed.target = StripQuery(target, stamp.key);
  passed.headers = request.headers;
  passed.body = request.body;
  passed.peer = request.peer;
  RemoveHopByHop(passed.headers);
  std::erase_if(passed.headers.fields, [&](const http_header& field) {
    return Contains(kCredentials, field.name) ||
           Contains(kOwnFields, field.name) ||
           boost::istarts_with(field.name, kOwnPrefix) ||
           Holds(Decoded(field.value), stamp.key) ||
           Holds(field.value, stamp.key);
  });
  passed.headers.Set("X-Request-Id", stamp.request_id);
  if (!stamp.workspace.value.empty()) {
    passed.headers.Set("X-Dogwood-Workspace", stamp.workspace.value);
  }
  return passed;
}

auto CallerHeaders(const http_headers& headers, std::string_view request_id)
    -> http_headers {
  auto passed = headers;
  RemoveHopByHop(passed);
  passed.Remove("Dogwood-Ran");
  passed.Set("X-Request-Id", request_id);
  return passed;
}

auto ResponseMatchesRequest(const http_head& head, std::string_view request_id)
    -> bool {
  const auto named = head.headers.Get("X-Request-Id");
  return named.empty() || named == request_id;
}

auto IsEventStream(const http_headers& headers) -> bool {
  return boost::istarts_with(headers.Get("Content-Type"), "text/event-stream");
}

auto ParseModelCall(std::string_view body) -> result<model_call> {
  boost::json::error_code ec;
  const auto parsed = boost::json::parse(body, ec);
  if (ec || !parsed.is_object()) {
    return BadRequest("the body is not a JSON object", "parse body");
  }
  const auto& fields = parsed.get_object();
  const auto* model = fields.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return BadRequest("\"model\" is missing or no string", "parse body");
  }
  model_call call;
  call.model = model_id(std::string(model->get_string()));
  const auto* stream = fields.if_contains("stream");
  call.stream = stream != nullptr && stream->is_bool() && stream->get_bool();
  const auto* messages = fields.if_contains("messages");
  const auto* prompt = fields.if_contains("prompt");
  if (messages != nullptr && messages->is_array()) {
    call.prompt = JoinMessages(messages->get_array());
  } else if (prompt != nullptr) {
    AppendContent(*prompt, call.prompt);
  }
  return call;
}

auto IsIdempotentMethod(std::string_view method) -> bool {
  constexpr std::array<std::string_view, 6> kIdempotent{
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::ranges::find(kIdempotent, method) != kIdempotent.end();
}

auto FailureEvent(const failure& error) -> std::string {
  return "event: error\ndata: " + boost::json::serialize(ToJson(error)) +
         "\n\n";
}

}  // namespace dogwood
