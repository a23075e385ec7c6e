#include "src/http_client.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include "src/core.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Maximum number of bytes read ahead. It bounds what the parser waits for in
 * one piece: the head, the line before a chunk, and the trailer. */
constexpr std::size_t kMaxReadAheadBytes = 128UL << 10;
/** Maximum number of bytes that ReadSome() returns. */
constexpr std::size_t kReadBytes = 16UL << 10;
/** Maximum number of bytes of a head that are read at once; most heads are
 * shorter. */
constexpr std::size_t kHeadReadBytes = 4UL << 10;
/** Interval at which an answer that has ended with its connection is checked
 * again while the server has not received the whole request. */
constexpr std::chrono::milliseconds kDeliveryPollInterval{5};

/** Statuses of the protocol (RFC 9110, 15). */
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
/** HTTP/1.1, as the parser numbers versions. */
constexpr unsigned kHttp11 = 11;
/** Maximum number of interim responses before the final one. */
constexpr int kMaxInterimResponses = 8;

/** Returns why a response cannot be used although the parser has accepted its
 * head; nothing if it can. */
auto ResponseProblem(const http::response_header<>& head)
    -> std::optional<std::string> {
  const auto status = head.result_int();
  if (status < kFirstStatus || status > kLastStatus) {
    return "status " + std::to_string(status) + " is not a status of HTTP";
  }
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  for (auto coding = first; coding != last; ++coding) {
    // The parser takes bytes in any other coding for the body itself.
    if (!beast::iequals(coding->value(), "chunked")) {
      return "transfer coding \"" + std::string(coding->value()) +
             "\" is not supported";
    }
    if (head.version() < kHttp11) {
      return "chunks in a response of HTTP/1.0";
    }
  }
  const auto length = head[http::field::content_length];
  const bool has_length = !length.empty() && length != "0";
  if (head.result() == http::status::no_content &&
      (first != last || has_length)) {
    return "status 204 with the framing of a body";
  }
  return std::nullopt;
}

/** Fails the parser at an extension of a chunk with a control character. The
 * parser lets them pass within quotes. */
auto CheckChunkExtension(std::uint64_t /*size*/,
                         beast::string_view extension,
                         beast::error_code& ec) -> void {
  if (std::ranges::any_of(extension, IsControlInField)) {
    ec = http::error::bad_chunk_extension;
  }
}

/** Whether lines of a head contain a folded one, which begins with a blank and
 * continues the line before it. No response may have them (RFC 9112, 5.2); the
 * parser joins them and does not tell. */
auto HasFoldedLine(std::string_view lines) -> bool {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

/** Returns the error that a socket has met and not reported yet. */
auto PendingError(int socket) -> beast::error_code {
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    error = errno;
  }
  return {error, boost::system::system_category()};
}

/** Whether the peer of a socket has yet to receive some of what was sent. False
 * if the system does not tell. */
auto HasUndelivered(int socket) -> bool {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/** Whether a socket is open and has no bytes to read. */
auto IsOpenAndIdle(int socket) -> bool {
  char byte = 0;
  const auto n = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

}  // namespace

/** State of a connection that uses Beast. */
struct http_connection::state {
  explicit state(const asio::any_io_executor& executor) : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxReadAheadBytes};  ///< Bytes read ahead.
  std::string peer;                               ///< "ip:port" of the server.
  /** Parser of the current response. */
  std::optional<http::response_parser<http::buffer_body>> parser;
  bool is_head = false;   ///< The request is a HEAD.
  bool complete = false;  ///< The response has been read to its end.
  bool failed = false;    ///< An operation has failed.

  /** Marks the connection as failed, closes it and returns the failure. */
  auto Fail(const beast::error_code& ec, std::string step, ran_state ran)
      -> failure {
    auto error = FailResponse(ec.message(), std::move(step));
    error.ran = ran;
    if (ec == beast::error::timeout) {
      error.code = error_code::kDeadlineExceeded;
    }
    return error;
  }

  /** As Fail(), because of what the server has sent. */
  auto FailResponse(std::string message, std::string step) -> failure {
    failed = true;
    stream.close();
    return {.code = error_code::kBadGateway,
            .message = std::move(message),
            .ran = ran_state::kMaybe,
            .step = std::move(step),
            .peer = peer};
  }

  /** Parses what has been read ahead of a head. Returns need_more until the
   * head is complete. */
  auto ParseHead() -> beast::error_code {
    beast::error_code ec;
    const auto received = buffer.cdata();
    const auto parsed = parser->put(received, ec);
    const std::string_view lines(static_cast<const char*>(received.data()),
                                 parsed);
    if (HasFoldedLine(lines)) {
      ec = http::error::bad_field;
    }
    buffer.consume(parsed);
    return ec;
  }

  /** Waits until the server has received the whole request. Fails if it resets
   * the connection first: a reset that follows the end of the server's bytes is
   * not told by a read. */
  auto AwaitDelivery(time_point deadline)
      -> asio::awaitable<beast::error_code> {
    while (!failed) {
      const auto socket = stream.socket().native_handle();
      const bool is_delivered = !HasUndelivered(socket);
      const auto error = PendingError(socket);
      if (error || is_delivered) {
        co_return error;
      }
      if (clock::now() >= deadline) {
        co_return beast::error::timeout;
      }
      co_await Sleep(kDeliveryPollInterval);
    }
    co_return asio::error::operation_aborted;
  }
};

http_connection::http_connection(std::shared_ptr<state> s)
    : state_(std::move(s)) {}

http_connection::~http_connection() = default;

auto http_connection::Connect(tcp::endpoint endpoint, time_point deadline)
    -> asio::awaitable<outcome<std::unique_ptr<http_connection>>> {
  auto executor = co_await asio::this_coro::executor;
  auto s = std::make_shared<state>(executor);
  s->peer = FormatEndpoint(endpoint);
  s->stream.expires_at(deadline);
  auto [ec] = co_await s->stream.async_connect(endpoint, kAwait);
  if (ec) {
    auto error = s->Fail(ec, "connect", ran_state::kNo);
    co_return error;
  }
  s->stream.socket().set_option(tcp::no_delay(true), ec);
  co_return std::unique_ptr<http_connection>(new http_connection(s));
}

auto http_connection::Send(const http_request& request, time_point deadline)
    -> asio::awaitable<outcome<void>> {
  if (auto problem = HeadProblem(request)) {
    co_return failure{.code = error_code::kBadRequest,
                      .message = std::move(*problem),
                      .ran = ran_state::kNo,
                      .step = "send request",
                      .peer = state_->peer};
  }
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const auto& field : request.headers.fields) {
    message.insert(field.name, field.value);
  }
  if (request.headers.Get("Host").empty()) {
    message.set(http::field::host, state_->peer);
  }
  message.erase(http::field::transfer_encoding);
  message.body() = request.body;
  message.prepare_payload();
  state_->is_head = request.method == "HEAD";
  PrepareForResponse();
  state_->stream.expires_at(deadline);
  auto [ec, n] = co_await http::async_write(state_->stream, message, kAwait);
  if (ec) {
    co_return state_->Fail(ec, "send request", ran_state::kMaybe);
  }
  co_return outcome<void>();
}

auto http_connection::PrepareForResponse() -> void {
  state_->complete = false;
  state_->parser.emplace();
  state_->parser->body_limit(boost::none);
  state_->parser->skip(state_->is_head);
  state_->parser->on_chunk_header(CheckChunkExtension);
}

auto http_connection::ReadHead(time_point deadline)
    -> asio::awaitable<outcome<http_head>> {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    auto head = co_await ReadAnyHead(deadline);
    const bool is_interim = head && head->status / 100 == 1;
    if (!is_interim) {
      co_return head;
    }
    if (head->status == kSwitchingProtocols) {
      co_return state_->FailResponse("the server switches to another protocol",
                                     "read head");
    }
    PrepareForResponse();
  }
  co_return state_->FailResponse("too many interim responses", "read head");
}

auto http_connection::ReadAnyHead(time_point deadline)
    -> asio::awaitable<outcome<http_head>> {
  auto& s = *state_;
  s.stream.expires_at(deadline);
  // The parser's own read of a head consumes the lines that are checked here.
  auto ec = s.ParseHead();
  while (ec == http::error::need_more) {
    const auto size = beast::read_size(s.buffer, kHeadReadBytes);
    if (size == 0) {
      co_return s.Fail(http::error::buffer_overflow, "read head",
                       ran_state::kMaybe);
    }
    auto space = s.buffer.prepare(size);
    auto [read_ec, n] = co_await s.stream.async_read_some(space, kAwait);
    s.buffer.commit(n);
    ec = read_ec ? read_ec : s.ParseHead();
  }
  if (ec) {
    co_return s.Fail(ec, "read head", ran_state::kMaybe);
  }
  const auto& message = s.parser->get();
  if (auto problem = ResponseProblem(message)) {
    co_return s.FailResponse(std::move(*problem), "read head");
  }
  http_head head;
  head.status = message.result_int();
  for (const auto& field : message) {
    head.headers.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  co_return head;
}

auto http_connection::ReadSome(time_point deadline)
    -> asio::awaitable<outcome<std::string>> {
  auto& parser = *state_->parser;
  while (!parser.is_done()) {
    std::string data(kReadBytes, '\0');
    parser.get().body().data = data.data();
    parser.get().body().size = data.size();
    state_->stream.expires_at(deadline);
    auto [ec, n] = co_await http::async_read_some(
        state_->stream, state_->buffer, parser, kAwait);
    if (ec && ec != http::error::need_buffer) {
      co_return state_->Fail(ec, "read body", ran_state::kMaybe);
    }
    data.resize(kReadBytes - parser.get().body().size);
    if (!data.empty()) {
      co_return data;
    }
  }
  // Only the end of the connection tells that such a body is whole.
  if (parser.need_eof() && !state_->complete) {
    const auto ec = co_await state_->AwaitDelivery(deadline);
    if (ec) {
      co_return state_->Fail(ec, "end of body", ran_state::kMaybe);
    }
  }
  state_->complete = true;
  co_return std::string();
}

auto http_connection::CanBeReused() const -> bool {
  // Unexpected bytes would be parsed as the response to the next request.
  return state_->complete && !state_->failed && state_->parser &&
         state_->parser->get().keep_alive() && state_->buffer.size() == 0 &&
         IsOpenAndIdle(state_->stream.socket().native_handle());
}

auto http_connection::Peer() const -> const std::string& {
  return state_->peer;
}

auto http_connection::Abort() -> void {
  asio::post(state_->stream.get_executor(), [s = state_] {
    s->failed = true;
    s->stream.close();
  });
}

auto Exchange(http_connection& connection,
              const http_request& request,
              const response_limits& limits,
              std::size_t max_body) -> asio::awaitable<outcome<http_response>> {
  auto sent = co_await connection.Send(request, limits.head_deadline);
  if (!sent) {
    co_return sent.error();
  }
  auto head = co_await connection.ReadHead(limits.head_deadline);
  if (!head) {
    co_return head.error();
  }
  http_response response;
  response.status = head->status;
  response.headers = std::move(head->headers);
  byte_budget unlimited(std::numeric_limits<std::size_t>::max());
  byte_budget::share share(limits.budget == nullptr ? unlimited
                                                    : *limits.budget);
  while (true) {
    const auto until = limits.max_pause < limits.deadline - clock::now()
                           ? clock::now() + limits.max_pause
                           : limits.deadline;
    auto part = co_await connection.ReadSome(until);
    if (!part) {
      auto error = part.error();
      error.message +=
          " after " + std::to_string(response.body.size()) + " bytes";
      co_return error;
    }
    if (part->empty()) {
      co_return response;
    }
    if (limits.progress != nullptr) {
      *limits.progress = clock::now();
    }
    response.body += part.value();
    const bool is_in_budget = share.Take(part->size());
    if (response.body.size() > max_body || !is_in_budget) {
      failure error{.code = error_code::kTooLarge,
                    .message = "answer is too long: " +
                               std::to_string(response.body.size()) +
                               " bytes so far, " + std::to_string(max_body) +
                               " are permitted, fewer beside other answers",
                    .ran = ran_state::kMaybe,
                    .step = "read body",
                    .peer = connection.Peer()};
      co_return error;
    }
  }
}

auto Exchange(http_connection& connection,
              const http_request& request,
              time_point deadline,
              std::size_t max_body) -> asio::awaitable<outcome<http_response>> {
  const response_limits limits{.head_deadline = deadline,
                               .deadline = deadline,
                               .max_pause = duration::max()};
  auto response = co_await Exchange(connection, request, limits, max_body);
  co_return response;
}

auto Fetch(tcp::endpoint endpoint,
           http_request request,
           time_point deadline,
           std::size_t max_body) -> asio::awaitable<outcome<http_response>> {
  auto connection = co_await http_connection::Connect(endpoint, deadline);
  if (!connection) {
    co_return connection.error();
  }
  auto response =
      co_await Exchange(*connection.value(), request, deadline, max_body);
  co_return response;
}

}  // namespace dogwood
