#include "src/platform_client.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "src/error_func.h"
#include "src/http_client.h"
#include "src/json_func.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

/** Status of a read below the oldest retained offset. */
constexpr unsigned kStatusGone = 410;
/** Longest part of a peer's answer that an error message quotes. */
constexpr std::size_t kQuotedBytes = 200;

/** Calls one platform address and checks the answers. */
class platform_call {
 public:
  platform_call(asio::ip::tcp::endpoint endpoint,
                std::string step,
                time_point deadline)
      : endpoint_(std::move(endpoint)),
        step_(std::move(step)),
        deadline_(deadline) {}

  /** Sends a request and returns the answer, whatever its status. */
  auto Run(http_request request) const
      -> asio::awaitable<outcome<http_response>> {
    auto response = co_await Fetch(endpoint_, std::move(request), deadline_);
    if (!response) {
      auto error = response.error();
      error.step = step_ + ": " + error.step;
      co_return error;
    }
    co_return response;
  }

  /** A failure at this call. */
  auto Fails(error_code code, std::string message, ran_state ran) const
      -> failure {
    return {.code = code,
            .message = std::move(message),
            .ran = ran,
            .step = step_,
            .peer = FormatEndpoint(endpoint_)};
  }

  /** Failure for an answer with an error status. */
  auto StatusFailure(const http_response& response, ran_state ran) const
      -> failure {
    return Fails(ErrorCodeOf(response.status),
                 "the platform answered " + std::to_string(response.status) +
                     ": " + response.body.substr(0, kQuotedBytes),
                 ran);
  }

  /** Failure for an answer that is not what the interface says. */
  auto MalformedAnswer(const http_response& response, ran_state ran) const
      -> failure {
    return Fails(error_code::kBadGateway,
                 "the platform's answer is malformed: " +
                     response.body.substr(0, kQuotedBytes),
                 ran);
  }

 private:
  asio::ip::tcp::endpoint endpoint_;
  std::string step_;
  time_point deadline_;
};

/** The body as an object, nothing if it is none. */
auto BodyObject(const http_response& response) -> std::optional<json::object> {
  json::error_code ec;
  auto value = json::parse(response.body, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

/** Offset `name` of an object. */
auto OffsetOf(const json::object& object, std::string_view name)
    -> std::optional<log_offset> {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  json::error_code ec;
  const auto number = value->to_number<std::uint64_t>(ec);
  return ec ? std::nullopt : std::optional(log_offset(number));
}

/** Strings of list `name`; other elements are left out. */
auto TextsOf(const json::object& object, std::string_view name)
    -> std::vector<std::string> {
  std::vector<std::string> texts;
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return texts;
  }
  for (const auto& element : value->get_array()) {
    if (element.is_string()) {
      texts.emplace_back(element.get_string());
    }
  }
  return texts;
}

/** Reads the answer of a read with status 200 or 410. */
auto ReadPage(const json::object& body) -> std::optional<log_page> {
  const auto first = OffsetOf(body, "first");
  const auto next = OffsetOf(body, "next");
  if (!first || !next) {
    return std::nullopt;
  }
  log_page page;
  page.first = *first;
  page.next = *next;
  page.from = OffsetOf(body, "from").value_or(*first);
  if (const auto* records = body.if_contains("records")) {
    page.records = TextsOf(body, "records");
    // Leaving a record out would shift the offsets of those behind it.
    if (!records->is_array() ||
        records->get_array().size() != page.records.size()) {
      return std::nullopt;
    }
  }
  return page;
}

/** Reads one row of the host list, nothing if it has no name. */
auto ReadHost(const json::value& value) -> std::optional<listed_host> {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto& object = value.get_object();
  listed_host host;
  host.id = TextField(object, "id");
  host.is_backend_server = TextField(object, "kind") == "backend_server";
  host.address = TextField(object, "address");
  host.data_centre =
      data_centre_id(std::string(TextField(object, "data_centre")));
  host.region = region_id(std::string(TextField(object, "region")));
  host.leaving = TextField(object, "state") == "leaving";
  host.models = TextsOf(object, "models");
  host.services = TextsOf(object, "services");
  if (const auto slots = OffsetOf(object, "slots")) {
    host.slots = static_cast<unsigned>(slots->value);
  }
  if (const auto* checks = object.if_contains("checks_fencing")) {
    host.checks_fencing = checks->is_bool() && checks->get_bool();
  }
  return host.id.empty() ? std::nullopt : std::optional(std::move(host));
}

/** Target of a read. */
auto ReadTarget(const std::string& stream,
                log_offset from,
                unsigned limit,
                std::chrono::milliseconds wait) -> std::string {
  return "/v1/streams/" + stream +
         "/records?from=" + std::to_string(from.value) +
         "&limit=" + std::to_string(limit) +
         "&wait_ms=" + std::to_string(wait.count());
}

/** A request without body. */
auto GetRequest(std::string target) -> http_request {
  http_request request;
  request.method = "GET";
  request.target = std::move(target);
  return request;
}

}  // namespace

auto platform_client::Append(std::string stream,
                             std::vector<std::string> records,
                             time_point deadline) const
    -> asio::awaitable<outcome<append_range>> {
  const platform_call call(endpoint_, "append to " + stream, deadline);
  http_request request;
  request.method = "POST";
  request.target = "/v1/streams/" + stream + "/append";
  request.headers.Set("Content-Type", "application/json");
  json::object body;
  body["records"] = json::array(records.begin(), records.end());
  request.body = json::serialize(body);
  auto response = co_await call.Run(std::move(request));
  if (!response) {
    co_return response.error();
  }
  if (response->status != 200) {
    // Only a refusal that the interface names is sure to have had no effect.
    const bool is_refused = response->status >= 400 && response->status < 500;
    const auto ran = is_refused ? ran_state::kNo : ran_state::kMaybe;
    co_return call.StatusFailure(*response, ran);
  }
  const auto object = BodyObject(*response);
  const auto first = object ? OffsetOf(*object, "first") : std::nullopt;
  const auto next = object ? OffsetOf(*object, "next") : std::nullopt;
  if (!first || !next || next->value != first->value + records.size()) {
    co_return call.MalformedAnswer(*response, ran_state::kMaybe);
  }
  append_range range{*first, *next};
  co_return range;
}

auto platform_client::Read(std::string stream,
                           log_offset from,
                           unsigned limit,
                           std::chrono::milliseconds wait,
                           time_point deadline) const
    -> asio::awaitable<outcome<log_page>> {
  const platform_call call(endpoint_, "read " + stream, deadline);
  auto request = GetRequest(ReadTarget(stream, from, limit, wait));
  auto response = co_await call.Run(std::move(request));
  if (!response) {
    auto error = response.error();
    error.ran = ran_state::kNo;
    co_return error;
  }
  if (response->status == kStatusGone) {
    co_return call.Fails(error_code::kNotFound,
                         "offset " + std::to_string(from.value) +
                             " is below the oldest retained one: " +
                             response->body.substr(0, kQuotedBytes),
                         ran_state::kNo);
  }
  if (response->status != 200) {
    co_return call.StatusFailure(*response, ran_state::kNo);
  }
  const auto object = BodyObject(*response);
  auto page = object ? ReadPage(*object) : std::nullopt;
  if (!page || page->from != from || page->records.size() > limit) {
    co_return call.MalformedAnswer(*response, ran_state::kNo);
  }
  page->is_full = !page->records.empty() && page->records.size() == limit;
  co_return std::move(*page);
}

auto platform_client::ReadBounds(std::string stream, time_point deadline) const
    -> asio::awaitable<outcome<log_page>> {
  const platform_call call(endpoint_, "bounds of " + stream, deadline);
  auto request =
      GetRequest(ReadTarget(stream, log_offset(0), 0, std::chrono::seconds(0)));
  auto response = co_await call.Run(std::move(request));
  if (!response) {
    auto error = response.error();
    error.ran = ran_state::kNo;
    co_return error;
  }
  if (response->status != 200 && response->status != kStatusGone) {
    co_return call.StatusFailure(*response, ran_state::kNo);
  }
  const auto object = BodyObject(*response);
  auto page = object ? ReadPage(*object) : std::nullopt;
  if (!page) {
    co_return call.MalformedAnswer(*response, ran_state::kNo);
  }
  page->from = page->first;
  page->records.clear();
  co_return std::move(*page);
}

auto platform_client::Hosts(time_point deadline) const
    -> asio::awaitable<outcome<std::vector<listed_host>>> {
  const platform_call call(endpoint_, "host list", deadline);
  auto request = GetRequest("/v1/hosts");
  auto response = co_await call.Run(std::move(request));
  if (!response) {
    auto error = response.error();
    error.ran = ran_state::kNo;
    co_return error;
  }
  if (response->status != 200) {
    co_return call.StatusFailure(*response, ran_state::kNo);
  }
  const auto object = BodyObject(*response);
  const auto* rows = object ? object->if_contains("hosts") : nullptr;
  if (rows == nullptr || !rows->is_array()) {
    co_return call.MalformedAnswer(*response, ran_state::kNo);
  }
  std::vector<listed_host> hosts;
  for (const auto& row : rows->get_array()) {
    auto host = ReadHost(row);
    if (!host) {
      co_return call.MalformedAnswer(*response, ran_state::kNo);
    }
    hosts.push_back(std::move(*host));
  }
  co_return hosts;
}

}  // namespace dogwood
