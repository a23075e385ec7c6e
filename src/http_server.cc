#include "src/http_server.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <memory>
#include <tuple>
#include <utility>

#include "src/core.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

/** Shared by the acceptor and its connections. */
struct http_server::state {
  asio::io_context& io;
  http_limits limits;  ///< Of each connection, read before each request.
  http_handler handler;
  tcp::acceptor acceptor;
  std::atomic<bool> draining{false};   ///< Connections close after a response.
  std::atomic<std::size_t> active{0};  ///< Requests being handled.
};

namespace {

/** Delay after a failed accept. Without it a lack of file descriptors would
 * cause a busy loop. */
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/** Interval at which Finish() checks for active requests. */
constexpr std::chrono::milliseconds kFinishPollInterval{20};
/** Finish() returns only after this long without an active request, because a
 * request that is still being read does not count as active. */
constexpr std::chrono::milliseconds kQuietInterval{200};
/** A check of Finish() that comes this long after the one before says nothing:
 * requests that came meanwhile have not been read yet. */
constexpr std::chrono::milliseconds kLateCheck = kQuietInterval / 2;
/** Maximum number of bytes read ahead beyond the longest head. With it, it
 * bounds what the parser waits for in one piece: the head, the line before a
 * chunk, and the trailer. */
constexpr std::size_t kMaxReadAheadBytes = 64UL << 10;

/** Creates the failure for an error on the caller's connection. */
auto CallerFailure(const beast::error_code& ec,
                   std::string step,
                   std::string peer) -> failure {
  return {.code = error_code::kUnavailable,
          .message = ec.message(),
          .ran = ran_state::kMaybe,
          .step = std::move(step),
          .peer = std::move(peer)};
}

/** Whether a response with `status` has no body. */
auto HasNoBody(unsigned status) -> bool {
  return status == 204 || status == 304 || status / 100 == 1;
}

/** Implementation of http_exchange that uses Beast. */
class beast_exchange : public http_exchange {
 public:
  beast_exchange(beast::tcp_stream& stream,
                 http_request request,
                 bool keep_alive,
                 std::chrono::milliseconds write_timeout)
      : stream_(stream),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        write_timeout_(write_timeout) {}

  auto Request() const -> const http_request& override { return request_; }

  auto Respond(http_response response)
      -> asio::awaitable<outcome<void>> override {
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto& field : response.headers.fields) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(keep_alive_);
    message.body() = std::move(response.body);
    const bool no_body = HasNoBody(response.status);
    if (!no_body) {
      message.prepare_payload();
    }
    started_ = true;
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(request_.method == "HEAD" || no_body);
    stream_.expires_after(write_timeout_);
    beast::error_code ec;
    if (request_.method == "HEAD" || no_body) {
      std::tie(ec, std::ignore) =
          co_await http::async_write_header(stream_, serializer, kAwait);
    } else {
      std::tie(ec, std::ignore) =
          co_await http::async_write(stream_, serializer, kAwait);
    }
    if (ec) {
      co_return CallerFailure(ec, "write answer", request_.peer);
    }
    complete_ = true;
    co_return outcome<void>();
  }

  auto BeginStream(http_head head) -> asio::awaitable<outcome<void>> override {
    http::response<http::empty_body> message;
    message.version(11);
    message.result(head.status);
    for (const auto& field : head.headers.fields) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    started_ = true;
    stream_.expires_after(write_timeout_);
    auto [ec, n] =
        co_await http::async_write_header(stream_, serializer, kAwait);
    if (ec) {
      co_return CallerFailure(ec, "write head", request_.peer);
    }
    co_return outcome<void>();
  }

  auto WriteChunk(std::string_view data)
      -> asio::awaitable<outcome<void>> override {
    auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
    stream_.expires_after(write_timeout_);
    auto [ec, n] = co_await asio::async_write(stream_, chunk, kAwait);
    if (ec) {
      co_return CallerFailure(ec, "write chunk", request_.peer);
    }
    co_return outcome<void>();
  }

  auto EndStream() -> asio::awaitable<outcome<void>> override {
    auto last = http::make_chunk_last();
    stream_.expires_after(write_timeout_);
    auto [ec, n] = co_await asio::async_write(stream_, last, kAwait);
    if (ec) {
      co_return CallerFailure(ec, "write last chunk", request_.peer);
    }
    complete_ = true;
    co_return outcome<void>();
  }

  auto HasStartedResponse() const -> bool override { return started_; }

  auto IsCallerDisconnected() -> bool override {
    char byte = 0;
    const auto n = ::recv(stream_.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    return n == 0 ||
           (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  /** Whether the next request may be read from the connection. */
  auto MayContinue() const -> bool { return complete_ && keep_alive_; }

 private:
  beast::tcp_stream& stream_;
  http_request request_;
  bool keep_alive_;
  std::chrono::milliseconds write_timeout_;
  bool started_ = false;
  bool complete_ = false;
};

/** Converts a parsed request; moves its body out of `message`. */
auto ToRequest(http::request<http::string_body>& message, std::string peer)
    -> http_request {
  http_request request;
  request.method = message.method_string();
  request.target = message.target();
  for (const auto& field : message) {
    request.headers.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  request.peer = std::move(peer);
  return request;
}

/** Responds to a request that could not be read, if it violates the protocol or
 * a limit; does nothing if the connection failed. */
auto RejectRequest(beast::tcp_stream& stream,
                   const beast::error_code& ec,
                   const std::string& peer,
                   std::chrono::milliseconds write_timeout)
    -> asio::awaitable<void> {
  const bool too_large = ec == http::error::body_limit ||
                         ec == http::error::header_limit ||
                         ec == http::error::buffer_overflow;
  const bool is_protocol =
      ec.category() ==
      http::make_error_code(http::error::body_limit).category();
  if (!is_protocol || ec == http::error::end_of_stream ||
      ec == http::error::partial_message) {
    co_return;
  }
  failure error{
      .code = too_large ? error_code::kTooLarge : error_code::kBadRequest,
      .message = ec.message(),
      .ran = ran_state::kNo,
      .step = "read request",
      .peer = peer};
  beast_exchange exchange(stream, http_request{}, false, write_timeout);
  co_await exchange.RespondFailure(std::move(error));
}

/** Runs the handler. Logs an exception that leaves it; the connection is closed
 * then, unless the response was complete. */
auto RunHandler(const http_handler& handler, http_exchange& exchange)
    -> asio::awaitable<void> {
  try {
    co_await handler(exchange);
  } catch (const std::exception& e) {
    Log(log_level::kError, log_category::kHttp,
        {std::string("handler failed: ") + e.what(), "answer request",
         exchange.Request().peer});
  }
}

/** Keeps a request counted as active for its lifetime. */
class active_guard {
 public:
  explicit active_guard(std::atomic<std::size_t>& count) : count_(count) {
    ++count_;
  }
  active_guard(const active_guard&) = delete;
  auto operator=(const active_guard&) -> active_guard& = delete;
  ~active_guard() { --count_; }

 private:
  std::atomic<std::size_t>& count_;
};

/** Waits until bytes of the next request have come. Fails with timeout once the
 * connection has been idle for longer than the limit in force, which may change
 * during the wait. */
template <typename State>
auto AwaitRequest(const State& state, beast::tcp_stream& stream)
    -> asio::awaitable<beast::error_code> {
  const auto idle_since = clock::now();
  asio::steady_timer timer(stream.get_executor());
  while (true) {
    const auto until =
        idle_since + std::chrono::milliseconds(state.limits.idle_ms);
    if (clock::now() >= until) {
      co_return beast::error::timeout;
    }
    const auto is_waiting = std::make_shared<bool>(true);
    timer.expires_at(until);
    timer.async_wait([&stream, is_waiting](beast::error_code ec) {
      if (!ec && *is_waiting) {
        stream.socket().cancel(ec);
      }
    });
    const auto [ec] =
        co_await stream.socket().async_wait(tcp::socket::wait_read, kAwait);
    *is_waiting = false;
    timer.cancel();
    if (ec != asio::error::operation_aborted) {
      co_return ec;
    }
  }
}

/** Reads one request: waits for its head, then for its body, each with its own
 * timeout. */
auto ReadRequest(beast::tcp_stream& stream,
                 beast::flat_buffer& buffer,
                 http::request_parser<http::string_body>& parser,
                 const http_limits& limits)
    -> asio::awaitable<beast::error_code> {
  const std::chrono::milliseconds idle(limits.idle_ms);
  beast::error_code ec;
  std::size_t n = 0;
  stream.expires_after(std::chrono::milliseconds(limits.header_ms));
  std::tie(ec, n) =
      co_await http::async_read_header(stream, buffer, parser, kAwait);
  if (ec) {
    co_return ec;
  }
  stream.expires_after(idle);
  std::tie(ec, n) = co_await http::async_read(stream, buffer, parser, kAwait);
  co_return ec;
}

/** Serves one connection until it ends. */
template <typename State>
auto Serve(std::shared_ptr<State> state, tcp::socket accepted)
    -> asio::awaitable<void> {
  beast::error_code ec;
  const auto remote = accepted.remote_endpoint(ec);
  const auto peer = ec ? std::string("unknown") : FormatEndpoint(remote);
  accepted.set_option(tcp::no_delay(true), ec);
  beast::tcp_stream stream(std::move(accepted));
  beast::flat_buffer buffer;
  while (true) {
    if (buffer.size() == 0) {
      const auto wait_ec = co_await AwaitRequest(*state, stream);
      if (wait_ec) {
        break;
      }
    }
    // The limits in force when the request comes, not those from before the
    // connection was idle.
    const http_limits limits = state->limits;
    const std::chrono::milliseconds idle(limits.idle_ms);
    buffer.max_size(limits.header_bytes + kMaxReadAheadBytes);
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    const auto read_ec = co_await ReadRequest(stream, buffer, parser, limits);
    if (read_ec) {
      co_await RejectRequest(stream, read_ec, peer, idle);
      break;
    }
    active_guard guard(state->active);
    auto message = parser.release();
    const bool keep_alive = message.keep_alive() && !state->draining;
    beast_exchange exchange(stream, ToRequest(message, peer), keep_alive, idle);
    stream.expires_never();
    co_await RunHandler(state->handler, exchange);
    if (!exchange.MayContinue()) {
      break;
    }
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  stream.close();
}

/** Accepts connections until the acceptor is closed. */
template <typename State>
auto AcceptLoop(std::shared_ptr<State> state) -> asio::awaitable<void> {
  while (state->acceptor.is_open()) {
    auto strand = asio::make_strand(state->io);
    auto [ec, socket] = co_await state->acceptor.async_accept(strand, kAwait);
    if (ec) {
      co_await Sleep(kAcceptRetryDelay);
      continue;
    }
    asio::co_spawn(strand, Serve(state, std::move(socket)), LogException);
  }
}

/** Serves the connections that the kernel has accepted already: closing the
 * acceptor would reset them, with the requests that their callers have sent. */
template <typename State>
auto ServeBacklog(const std::shared_ptr<State>& state) -> void {
  beast::error_code ec;
  state->acceptor.non_blocking(true, ec);
  while (!ec) {
    auto strand = asio::make_strand(state->io);
    tcp::socket socket(strand);
    state->acceptor.accept(socket, ec);
    if (!ec) {
      asio::co_spawn(strand, Serve(state, std::move(socket)), LogException);
    }
  }
}

}  // namespace

auto http_exchange::RespondFailure(failure error, unsigned retry_after_s)
    -> asio::awaitable<outcome<void>> {
  auto response = FailureResponse(error);
  if (retry_after_s > 0) {
    response.headers.Set("Retry-After", std::to_string(retry_after_s));
  }
  co_return co_await Respond(std::move(response));
}

http_server::http_server(asio::io_context& io,
                         http_limits limits,
                         http_handler handler)
    : state_(new state{io, limits, std::move(handler),
                       tcp::acceptor(asio::make_strand(io))}) {}

http_server::~http_server() = default;

auto http_server::Listen(const tcp::endpoint& endpoint) -> outcome<void> {
  auto opened = OpenAcceptor(state_->acceptor, endpoint, "listen for HTTP");
  if (opened) {
    asio::co_spawn(state_->acceptor.get_executor(), AcceptLoop(state_),
                   AbortOnException);
  }
  return opened;
}

auto http_server::SetLimits(const http_limits& limits) -> void {
  state_->limits = limits;
}

auto http_server::BeginDrain() -> void {
  state_->draining = true;
}

auto http_server::StopListening() -> void {
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    ServeBacklog(state);
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
}

auto http_server::Finish(time_point deadline) const -> asio::awaitable<void> {
  auto quiet_since = clock::now();
  auto checked_at = quiet_since;
  bool is_last_check = false;
  while (true) {
    const auto now = clock::now();
    if (ActiveRequests() > 0) {
      quiet_since = now;
    }
    const bool is_over = now >= deadline || now - quiet_since >= kQuietInterval;
    const bool is_late = now - checked_at > kLateCheck;
    if (is_over && (!is_late || is_last_check)) {
      co_return;
    }
    is_last_check = now >= deadline;
    checked_at = now;
    co_await Sleep(kFinishPollInterval);
  }
}

auto http_server::ActiveRequests() const -> std::size_t {
  return state_->active;
}

}  // namespace dogwood
