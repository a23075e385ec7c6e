#include "src/load_stream.h"

#include <boost/json.hpp>
#include <utility>

#include "src/http.h"
#include "src/load_func.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

/** Bytes of an error body after which reading stops. */
constexpr std::size_t kMaxErrorBytes = 64UL << 10;

/** Returns the milliseconds between two times. */
auto MsBetween(time_point from, time_point to) -> double {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

/** Builds the HTTP request, on a connection of its own. */
auto HttpRequestOf(const stream_request& request) -> http_request {
  http_request http;
  http.method = "POST";
  http.target = "/v1/completions";
  http.headers.Set("Authorization", "Bearer " + request.key);
  http.headers.Set("Content-Type", "application/json");
  http.headers.Set("Connection", "close");
  http.body = request.body;
  return http;
}

/** Returns the result of a refused request. Its reason is the HTTP status and
 * the error code in the body. */
auto RefusalOf(unsigned status, const std::string& body) -> stream_result {
  std::string code = "unknown";
  json::error_code ec;
  const auto value = json::parse(body, ec);
  if (!ec) {
    if (const auto* found = value.find_pointer("/error/code", ec);
        found != nullptr && found->is_string()) {
      code = found->get_string();
    }
  }
  return {.result = load_result::kRefused,
          .status = status,
          .reason = std::to_string(status) + " " + code,
          .tokens = 0};
}

/** Reads the body of an error response. */
auto ReadRefusal(http_connection& connection,
                 unsigned status,
                 time_point deadline) -> asio::awaitable<stream_result> {
  std::string body;
  while (body.size() < kMaxErrorBytes) {
    auto part = co_await connection.ReadSome(deadline);
    if (!part || part->empty()) {
      break;
    }
    body += *part;
  }
  co_return RefusalOf(status, body);
}

/** Classifies a streamed response whose HTTP framing is complete, by comparing
 * its text with that of the fake engine. */
auto ClassifyStream(const stream_request& request, const token_reader& reader)
    -> load_result {
  if (!reader.IsDone() || reader.HasError()) {
    return load_result::kBroken;
  }
  std::string expected;
  const auto key = ExpectedText(request.prompt);
  for (unsigned i = 0; i < request.tokens; ++i) {
    expected += (i == 0 ? "" : " ") + key + "-" + std::to_string(i);
  }
  return reader.Text() == expected ? load_result::kCompleted
                                   : load_result::kWrong;
}

/** Reads a streamed response to its end and records the token latencies. */
auto ReadTokens(http_connection& connection,
                const stream_request& request,
                workspace_stats& stats) -> asio::awaitable<stream_result> {
  token_reader reader;
  stream_result done{
      .result = load_result::kBroken, .status = 200, .reason = "", .tokens = 0};
  time_point last;
  while (true) {
    auto part = co_await connection.ReadSome(request.deadline);
    if (!part) {
      co_return done;
    }
    if (part->empty()) {
      done.result = ClassifyStream(request, reader);
      co_return done;
    }
    const auto now = clock::now();
    const auto tokens = reader.HandleData(*part);
    for (unsigned i = 0; i < tokens; ++i) {
      if (done.tokens++ == 0) {
        stats.first_token.Add(MsBetween(request.started, now));
        last = now;
      } else {
        // Tokens received in one read share the time since the previous token
        // equally.
        stats.between_tokens.Add(MsBetween(last, now) / tokens);
      }
    }
    last = tokens > 0 ? now : last;
  }
}

}  // namespace

auto token_reader::HandleEvent(std::string_view event) -> unsigned {
  constexpr std::string_view kData = "data: ";
  if (!event.starts_with(kData)) {
    error_ = error_ || event.starts_with("event: error");
    return 0;
  }
  event.remove_prefix(kData.size());
  if (event == "[DONE]") {
    done_ = true;
    return 0;
  }
  json::error_code ec;
  const auto value = json::parse(event, ec);
  if (ec || value.find_pointer("/error", ec) != nullptr) {
    error_ = true;
    return 0;
  }
  const auto* text = value.find_pointer("/choices/0/text", ec);
  if (text == nullptr || !text->is_string() || text->get_string().empty()) {
    return 0;
  }
  text_ += text->get_string();
  return 1;
}

auto token_reader::HandleData(std::string_view data) -> unsigned {
  buffer_ += data;
  unsigned tokens = 0;
  std::size_t from = 0;
  for (auto end = buffer_.find("\n\n", from); end != std::string::npos;
       end = buffer_.find("\n\n", from)) {
    tokens += HandleEvent(std::string_view(buffer_).substr(from, end - from));
    from = end + 2;
  }
  buffer_.erase(0, from);
  return tokens;
}

auto SendStream(stream_request request, workspace_stats& stats)
    -> asio::awaitable<stream_result> {
  stream_result failed{.result = load_result::kRefused,
                       .status = 0,
                       .reason = "connection",
                       .tokens = 0};
  const auto endpoint = ParseEndpoint(request.address);
  if (!endpoint) {
    co_return failed;
  }
  auto made = co_await http_connection::Connect(*endpoint, request.deadline);
  if (!made) {
    co_return failed;
  }
  auto& connection = **made;
  const auto http = HttpRequestOf(request);
  const auto sent = co_await connection.Send(http, request.deadline);
  if (!sent) {
    co_return failed;
  }
  const auto head = co_await connection.ReadHead(request.deadline);
  if (!head) {
    co_return failed;
  }
  if (head->status != 200) {
    co_return co_await ReadRefusal(connection, head->status, request.deadline);
  }
  co_return co_await ReadTokens(connection, request, stats);
}

}  // namespace dogwood
