/** Tests of the HTTP client against the HTTP server over loopback. */
#include <rapidcheck.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <vector>

#include "src/core.h"
#include "src/http.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Returns a deadline that is reached only if the test hangs. */
auto FarDeadline() -> time_point {
  return clock::now() + std::chrono::seconds(20);
}

/** Handler of the paths /echo, /stream and /broken; other paths get 404. */
auto Handle(http_exchange& exchange) -> asio::awaitable<void> {
  const auto path = exchange.Request().Path();
  if (path == "/echo") {
    http_response response;
    response.body = exchange.Request().body;
    co_await exchange.Respond(std::move(response));
    co_return;
  }
  if (path == "/stream" || path == "/broken") {
    http_head head;
    co_await exchange.BeginStream(std::move(head));
    co_await exchange.WriteChunk("one ");
    co_await exchange.WriteChunk("two");
    if (path == "/stream") {
      co_await exchange.EndStream();
    }
    co_return;
  }
  failure missing;
  missing.code = error_code::kNotFound;
  missing.message = "no such path";
  missing.step = "route";
  co_await exchange.RespondFailure(std::move(missing));
}

/** Returns a loopback endpoint whose port was free at the time of the call. */
auto FreeEndpoint(asio::io_context& io) -> tcp::endpoint {
  tcp::acceptor probe(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return probe.local_endpoint();
}

/** Sends one POST request over a new connection. */
auto SendRequest(tcp::endpoint endpoint, std::string path, std::string body)
    -> asio::awaitable<outcome<http_response>> {
  http_request request;
  request.method = "POST";
  request.target = std::move(path);
  request.body = std::move(body);
  co_return co_await Fetch(endpoint, std::move(request), FarDeadline());
}

/** Sends two requests over one connection. Returns the second response's body,
 * with status 200 if the connection can be reused after it, otherwise 500. */
auto SendTwice(tcp::endpoint endpoint)
    -> asio::awaitable<outcome<http_response>> {
  auto connection = co_await http_connection::Connect(endpoint, FarDeadline());
  http_response last;
  for (const std::string body : {"first", "second"}) {
    http_request request;
    request.method = "POST";
    request.target = "/echo";
    request.body = body;
    co_await connection.value()->Send(request, FarDeadline());
    auto head = co_await connection.value()->ReadHead(FarDeadline());
    if (!head) {
      co_return head.error();
    }
    last.body.clear();
    while (true) {
      auto part = co_await connection.value()->ReadSome(FarDeadline());
      if (!part || part->empty()) {
        break;
      }
      last.body += part.value();
    }
  }
  last.status = connection.value()->CanBeReused() ? 200 : 500;
  co_return last;
}

/** Runs `call` with the endpoint of a server and returns its outcome. */
template <typename Call>
auto WithServer(http_limits limits, Call call) -> outcome<http_response> {
  asio::io_context io;
  http_server server(io, limits, Handle);
  const auto endpoint = FreeEndpoint(io);
  server.Listen(endpoint).value();
  outcome<http_response> answer = failure{};
  asio::co_spawn(asio::make_strand(io), call(endpoint),
                 [&](std::exception_ptr, outcome<http_response> result) {
                   answer = std::move(result);
                   io.stop();
                 });
  io.run();
  return answer;
}

/** Connects `count` callers that send a request each, then stops listening
 * before the server has run. Returns how many callers get an answer. */
auto AnsweredAfterStopListening(std::size_t count) -> std::size_t {
  asio::io_context io;
  http_server server(io, {}, Handle);
  const auto endpoint = FreeEndpoint(io);
  server.Listen(endpoint).value();
  const std::string request =
      "GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  std::vector<tcp::socket> callers;
  for (std::size_t i = 0; i < count; ++i) {
    callers.emplace_back(io).connect(endpoint);
    asio::write(callers.back(), asio::buffer(request));
  }
  server.StopListening();
  io.run_for(std::chrono::seconds(20));
  const std::string_view expected = "HTTP/1.1 200";
  return static_cast<std::size_t>(std::ranges::count_if(callers, [&](auto& c) {
    std::string start(expected.size(), '\0');
    boost::system::error_code ec;
    asio::read(c, asio::buffer(start), ec);
    return start == expected;
  }));
}

/** Accepts one connection, reads from it and never responds. */
auto AcceptSilently(tcp::acceptor& acceptor) -> asio::awaitable<void> {
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  char byte = 0;
  auto buffer = asio::buffer(&byte, 1);
  while (true) {
    co_await socket.async_read_some(buffer, asio::use_awaitable);
  }
}

/** Returns the outcome of a request with a timeout of 50 ms to a server that
 * never responds. */
auto FetchFromSilentServer() -> outcome<http_response> {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::co_spawn(io, AcceptSilently(acceptor), asio::detached);
  outcome<http_response> answer = failure{};
  http_request request;
  request.method = "GET";
  request.target = "/";
  asio::co_spawn(asio::make_strand(io),
                 Fetch(acceptor.local_endpoint(), request,
                       clock::now() + std::chrono::milliseconds(50)),
                 [&](std::exception_ptr, outcome<http_response> result) {
                   answer = std::move(result);
                   io.stop();
                 });
  io.run();
  return answer;
}

/** Accepts one connection, reads the head of a request, sends `answer`, with a
 * pause after `first_part` bytes, and ends the connection. */
auto AnswerOnce(tcp::acceptor& acceptor,
                std::string answer,
                std::size_t first_part) -> asio::awaitable<void> {
  constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string received;
  auto buffer = asio::dynamic_buffer(received);
  co_await asio::async_read_until(socket, buffer, "\r\n\r\n", kAwait);
  auto bytes = asio::buffer(answer);
  if (first_part < answer.size()) {
    auto part = asio::buffer(bytes, first_part);
    co_await asio::async_write(socket, part, kAwait);
    co_await Sleep(std::chrono::milliseconds(1));
    bytes += first_part;
  }
  co_await asio::async_write(socket, bytes, kAwait);
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
}

/** Returns the outcome of a request that a server answers with these bytes,
 * with a pause after `first_part` of them. */
auto FetchBytes(std::string answer, std::size_t first_part = std::string::npos)
    -> outcome<http_response> {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::co_spawn(io, AnswerOnce(acceptor, std::move(answer), first_part),
                 asio::detached);
  outcome<http_response> fetched = failure{};
  http_request request;
  request.method = "GET";
  request.target = "/";
  asio::co_spawn(asio::make_strand(io),
                 Fetch(acceptor.local_endpoint(), request, FarDeadline()),
                 [&](std::exception_ptr, outcome<http_response> result) {
                   fetched = std::move(result);
                   io.stop();
                 });
  io.run();
  return fetched;
}

/** What a server does after it has answered a request without reading its body.
 */
enum class early_end {
  kRead,                ///< Reads the body, then ends the connection.
  kReset,               ///< Resets the connection.
  kHalfCloseThenRead,   ///< Ends its own direction, then as kRead.
  kHalfCloseThenReset,  ///< Ends its own direction, then as kReset.
};

/** Accepts one connection, and sends `answer` once the head of a request has
 * come, before its body has been read. */
auto AnswerEarly(tcp::acceptor& acceptor, std::string answer, early_end end)
    -> asio::awaitable<void> {
  constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
  constexpr std::chrono::milliseconds kPause(50);
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string received;
  auto buffer = asio::dynamic_buffer(received);
  co_await asio::async_read_until(socket, buffer, "\r\n\r\n", kAwait);
  auto bytes = asio::buffer(answer);
  co_await asio::async_write(socket, bytes, kAwait);
  boost::system::error_code ec;
  if (end == early_end::kHalfCloseThenRead ||
      end == early_end::kHalfCloseThenReset) {
    socket.shutdown(tcp::socket::shutdown_send, ec);
  }
  co_await Sleep(kPause);
  if (end == early_end::kReset || end == early_end::kHalfCloseThenReset) {
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
    co_return;
  }
  while (!ec) {
    received.resize(1U << 16);
    auto space = asio::buffer(received);
    std::tie(ec, std::ignore) = co_await socket.async_read_some(space, kAwait);
  }
}

/** Returns the outcome of a request with a body of `size` bytes that a server
 * answers early. */
auto FetchEarly(std::string answer, early_end end, std::size_t size)
    -> outcome<http_response> {
  asio::io_context io;
  tcp::acceptor acceptor(io);
  acceptor.open(tcp::v4());
  // Most of the body stays with the sender until the server reads it.
  acceptor.set_option(asio::socket_base::receive_buffer_size(8 << 10));
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  acceptor.listen();
  asio::co_spawn(io, AnswerEarly(acceptor, std::move(answer), end),
                 asio::detached);
  outcome<http_response> fetched = failure{};
  asio::co_spawn(
      asio::make_strand(io),
      SendRequest(acceptor.local_endpoint(), "/", std::string(size, 'x')),
      [&](std::exception_ptr, outcome<http_response> result) {
        fetched = std::move(result);
        io.stop();
      });
  io.run();
  return fetched;
}

/** Returns an answer with this status line and these field lines, and the body
 * "body" by its length. */
auto WithHead(const std::string& status_line, const std::string& fields = "")
    -> std::string {
  return status_line + "\r\n" + fields + "Content-Length: 4\r\n\r\nbody";
}

/** Whether the client takes these bytes for an answer. */
auto IsAnswer(const std::string& bytes) -> bool {
  const auto answer = FetchBytes(bytes);
  if (!answer) {
    cr_assert(answer.error().ran == ran_state::kMaybe);
    cr_assert(answer.error().code == error_code::kBadGateway);
  }
  return answer.has_value();
}

/** Returns the outcome of a request to a port without a listener. */
auto FetchFromClosedPort() -> outcome<http_response> {
  asio::io_context io;
  outcome<http_response> answer = failure{};
  asio::co_spawn(asio::make_strand(io),
                 SendRequest(FreeEndpoint(io), "/echo", ""),
                 [&](std::exception_ptr, outcome<http_response> result) {
                   answer = std::move(result);
                 });
  io.run();
  return answer;
}

/** Returns the outcome of a POST request to a server with the given limits. */
auto Post(std::string path, std::string body, http_limits limits = {})
    -> outcome<http_response> {
  return WithServer(limits, [&](tcp::endpoint endpoint) {
    return SendRequest(endpoint, path, body);
  });
}

/** Property: a server reads a head that passes the check as one request with
 * the target and fields asked for. */
auto CheckedHeadsAreOneRequest() -> bool {
  return rc::check("a checked head is one request", [] {
    const auto text = [](std::size_t most) {
      const auto size = *rc::gen::inRange<std::size_t>(0, most);
      return *rc::gen::container<std::string>(
          size, rc::gen::element('a', 'Z', '0', '-', ':', ' ', '\t', '\r', '\n',
                                 '\0', '\x7f', '/', '?', '\xc3', ','));
    };
    http_request request{.method = "POST",
                         .target = "/" + text(12),
                         .headers = {},
                         .body = {},
                         .peer = {}};
    const auto count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
      request.headers.fields.push_back({"x" + text(3), text(6)});
    }
    if (HeadProblem(request)) {
      return;
    }
    auto head = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& field : request.headers.fields) {
      head += field.name + ": " + field.value + "\r\n";
    }
    head += "\r\n";
    boost::beast::http::request_parser<boost::beast::http::empty_body> parser;
    boost::beast::error_code ec;
    const auto used = parser.put(asio::buffer(head), ec);
    RC_ASSERT(!ec);
    RC_ASSERT(parser.is_done());
    RC_ASSERT(used == head.size());
    RC_ASSERT(parser.get().target() == request.target);
    std::size_t fields = 0;
    for (const auto& field : parser.get()) {
      RC_ASSERT(field.name_string() == request.headers.fields[fields++].name);
    }
    RC_ASSERT(fields == request.headers.fields.size());
  });
}

}  // namespace
}  // namespace dogwood::testing

using dogwood::ran_state;
using namespace dogwood::testing;

// Guards against responses that lose part of their body.
Test(http, responses_are_complete) {
  const std::string body(300000, 'x');
  cr_assert(Post("/echo", body)->body == body);
  cr_assert(Post("/stream", "")->body == "one two");
}

// Guards against accepting a truncated response as complete.
Test(http, a_truncated_response_is_a_failure) {
  const auto answer = Post("/broken", "");
  cr_assert(!answer);
  cr_assert(answer.error().ran == ran_state::kMaybe);
}

// Guards against failures without a step, and against ran=no for a request
// that may have run.
Test(http, failures_carry_step_and_ran) {
  const auto missing = Post("/nothing", "");
  cr_assert_eq(missing->status, 404);
  cr_assert(missing->headers.Get("Dogwood-Ran") == "no");
  const auto closed_port = FetchFromClosedPort();
  cr_assert(closed_port.error().ran == ran_state::kNo);
  cr_assert(closed_port.error().step == "connect");
  const auto silent = FetchFromSilentServer();
  cr_assert(silent.error().ran == ran_state::kMaybe);
  cr_assert(silent.error().code == dogwood::error_code::kDeadlineExceeded);
}

// Guards against a body over the limit being accepted or truncated.
Test(http, long_bodies_are_refused) {
  dogwood::http_limits limits;
  limits.body_bytes = 1000;
  const auto answer = Post("/echo", std::string(1001, 'x'), limits);
  cr_assert_eq(answer->status, 413);
  cr_assert_eq(Post("/echo", std::string(1000, 'x'), limits)->status, 200);
}

// Guards against responses being mixed up on a reused connection.
Test(http, a_connection_serves_several_requests) {
  const auto answer =
      WithServer({}, [](auto endpoint) { return SendTwice(endpoint); });
  cr_assert_eq(answer->status, 200);
  cr_assert(answer->body == "second");
}

// Guards against connections that are reset because the server stops listening
// before it has taken them from the kernel.
Test(http, connections_in_the_backlog_are_served) {
  cr_assert_eq(AnsweredAfterStopListening(20), 20);
}

// Guards against requests that are smuggled in the head of another one.
Test(http, checked_heads_are_one_request) {
  cr_assert(CheckedHeadsAreOneRequest());
}

// Guards against heads that the writer cannot write.
Test(http, long_heads_are_found) {
  using dogwood::HeadProblem;
  dogwood::http_request request;
  request.target = "/p";
  request.headers.Set("X-Long", std::string(30 << 10, 'x'));
  cr_assert_not(HeadProblem(request).has_value());
  request.headers.Set("X-Long", std::string(70 << 10, 'x'));
  cr_assert(HeadProblem(request)->find("X-Long") != std::string::npos);
  request.headers.fields.assign(3, {"X-Long", std::string(30 << 10, 'x')});
  cr_assert(HeadProblem(request).has_value());
}

// Guards against bytes that are taken for an answer although their status is
// outside of 100 to 599 (RFC 9110, 15).
Test(http, an_answer_has_a_status) {
  for (const std::string line : {"HTTP/1.1 000 X",    "HTTP/1.1 001 X",
                                 "HTTP/1.1 099 X",    "HTTP/1.1 600 X",
                                 "HTTP/1.1 999 X",    "HTTP/1.1 20 X",
                                 "HTTP/1.1 2000 X",   "HTTP/1.1 -20 X",
                                 "HTTP/1.1 2x0 X",    "HTTP/1.1  200 X",
                                 "HTTP/1.1 200",      "HTTP/1.1 200 a\x01",
                                 "HTTP/1.1 200 a\rb", "HTTP/1.1 200 a\nb",
                                 "HTTP/2.0 200 X",    "HTTP/0.9 200 X",
                                 "http/1.1 200 X",    "ICY 200 X",
                                 " HTTP/1.1 200 X",   ""}) {
    cr_assert_not(IsAnswer(WithHead(line)), "%s", line.c_str());
  }
}

// Guards against status lines of sound servers that are refused.
Test(http, any_status_and_reason_of_the_protocol_is_an_answer) {
  for (const std::string line :
       {"HTTP/1.1 200 ", "HTTP/1.1 200 \tSo\tfar  so good! ",
        "HTTP/1.1 200 d\xc3\xa9j\xc3\xa0 vu \xff", "HTTP/1.0 200 OK"}) {
    cr_assert(FetchBytes(WithHead(line))->body == "body", "%s", line.c_str());
  }
  for (const unsigned status : {200U, 299U, 399U, 404U, 499U, 500U, 599U}) {
    const auto line = "HTTP/1.1 " + std::to_string(status) + " X";
    cr_assert_eq(FetchBytes(WithHead(line))->status, status);
  }
}

// Guards against field lines that break the protocol and are passed on, or hide
// how long the body is (RFC 9110, 5.5 and 5.6.2; RFC 9112, 5).
Test(http, field_lines_of_an_answer_are_sound) {
  for (const std::string line :
       {"X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", " X-Bad: 1", "\tX-Bad: 1",
        "X\x01-Bad: 1", "X\x7f-Bad: 1", "X\xe9-Bad: 1", "X(Bad): 1", ": 1",
        "X-Bad", "Content-Length : 3", "Content-Length\t: 3",
        "Transfer-Encoding : chunked", "X-Bad: a\x01", "X-Bad: a\rb",
        "X-Bad: a\nb", "X-Bad: a\x7f"}) {
    for (const std::string before : {"", "X-Ok: 1\r\n"}) {
      const auto fields = before + line + "\r\n";
      cr_assert_not(IsAnswer(WithHead("HTTP/1.1 200 OK", fields)), "%s",
                    fields.c_str());
    }
  }
  const auto with_nul = std::string("X-Bad: a") + '\0' + "b\r\n";
  cr_assert_not(IsAnswer(WithHead("HTTP/1.1 200 OK", with_nul)));
  cr_assert_not(IsAnswer("HTTP/1.1 200 OK\nContent-Length: 0\n\n"));
}

// Guards against a line that begins with a blank and counts as the value of the
// line before it.
Test(http, field_lines_of_an_answer_are_not_folded) {
  for (const std::string fields :
       {"X-Ok: 1\r\n X-Bad: 2\r\n", "X-Ok: 1\r\n\tX-Bad: 2\r\n",
        "X-Ok:\r\n 2\r\n", "X-Ok: 1\r\n \r\n", "X-Ok: 1\r\n\t\r\n",
        "A: 1\r\nB: 2\r\n 3\r\nC: 4\r\n"}) {
    cr_assert_not(IsAnswer(WithHead("HTTP/1.1 200 OK", fields)), "%s",
                  fields.c_str());
  }
  cr_assert_not(
      IsAnswer("HTTP/1.1 200 OK\r\nX-Ok: 1\r\n Content-Length: 3\r\n\r\nbody"));
}

// Guards against fields of sound servers that are refused or changed.
Test(http, any_field_of_the_protocol_is_passed_on) {
  const std::string name = "!#$%&'*+-.^_`|~09Az";
  for (const std::string value :
       {"", "a\tb", "a  b", "d\xc3\xa9j\xc3\xa0 vu \x80\xff", "\"q\\\"\", (c)",
        ":;=,", "{\"a\":[1]}"}) {
    for (const std::string& line : {name + ":" + value, name + ": \t" + value,
                                    name + ": " + value + " \t "}) {
      const auto answer = FetchBytes(
          WithHead("HTTP/1.1 200 OK", line + "\r\n" + "X-Next:  1\r\n"));
      cr_assert(answer && answer->headers.Get(name) == value, "%s",
                line.c_str());
      cr_assert(answer->headers.Get("X-Next") == "1");
      cr_assert(answer->body == "body");
    }
  }
}

// Guards against an answer whose head or body comes in parts being taken for
// another one, and bytes of the body for field lines.
Test(http, an_answer_may_come_in_parts) {
  const auto bytes = WithHead("HTTP/1.1 200 OK", "X-A: 1\r\nX-B: 2\r\n");
  for (std::size_t at = 1; at < bytes.size(); ++at) {
    const auto answer = FetchBytes(bytes, at);
    cr_assert(answer && answer->headers.Get("X-B") == "2", "%zu", at);
    cr_assert(answer->body == "body", "%zu", at);
    cr_assert_not(FetchBytes(bytes.substr(0, at)).has_value(), "%zu", at);
  }
  const auto folded = WithHead("HTTP/1.1 200 OK", "X-A: 1\r\n X-B: 2\r\n");
  for (std::size_t at = 1; at < folded.size(); ++at) {
    cr_assert_not(FetchBytes(folded, at).has_value(), "%zu", at);
  }
  const auto answer =
      FetchBytes("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n \r\n X: 1\r\n");
  cr_assert(answer && answer->body == " \r\n X: 1\r");
}

// Guards against a body in a coding that the client cannot undo, and against
// framing that says two things (RFC 9112, 6).
Test(http, the_framing_of_an_answer_is_unambiguous) {
  const std::string by_length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
  const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
  for (const std::string coding :
       {"gzip", "identity", "xchunked", "gzip, chunked", "chunked, gzip",
        "chunked, chunked", "chunked;q=1", "\"chunked\"", ""}) {
    const auto field = "Transfer-Encoding: " + coding + "\r\n";
    cr_assert_not(IsAnswer(by_length + field + "\r\nbody"), "%s",
                  coding.c_str());
    cr_assert_not(IsAnswer("HTTP/1.1 200 OK\r\n" + field + chunks), "%s",
                  coding.c_str());
  }
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const std::string& head :
       {by_length + chunked, "HTTP/1.1 200 OK\r\n" + chunked + by_length,
        "HTTP/1.1 200 OK\r\n" + chunked + chunked,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + chunked,
        "HTTP/1.1 200 OK\r\n" + chunked + "Transfer-Encoding: gzip\r\n",
        "HTTP/1.0 200 OK\r\n" + chunked}) {
    cr_assert_not(IsAnswer(head + chunks), "%s", head.c_str());
  }
  for (const std::string length :
       {"", "-1", "+4", "0x4", "4 4", "4,", "4, 5", "4;", "4.0", "a",
        "18446744073709551616", "4\r\nContent-Length: 5"}) {
    cr_assert_not(IsAnswer("HTTP/1.1 200 OK\r\nContent-Length: " + length +
                           "\r\n\r\nbody"),
                  "%s", length.c_str());
  }
  for (const std::string& field :
       {chunked, std::string("Content-Length: 4\r\n")}) {
    cr_assert_not(IsAnswer("HTTP/1.1 204 X\r\n" + field + "\r\n"), "%s",
                  field.c_str());
  }
}

// Guards against a body that ends otherwise than its framing says (RFC 9112, 7
// and 8).
Test(http, the_body_of_an_answer_has_its_end) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string body :
       {"",
        "4",
        "4\r\n",
        "4\r\nbod",
        "4\r\nbody",
        "4\r\nbody\r\n",
        "4\r\nbody\r\n0",
        "4\r\nbody\r\n0\r\n",
        "4\r\nbody\r\n0\r\nX: 1\r\n",
        "4\r\nbody0\r\n\r\n",
        "4\r\nbody!\r\n0\r\n\r\n",
        "4\nbody\n0\n\n",
        "\r\nbody\r\n0\r\n\r\n",
        "g\r\nbody\r\n0\r\n\r\n",
        "-4\r\nbody\r\n0\r\n\r\n",
        "0x4\r\nbody\r\n0\r\n\r\n",
        "4 \r\nbody\r\n0\r\n\r\n",
        "4;\x01\r\nbody\r\n0\r\n\r\n",
        "4;a=\"\x01\"\r\nbody\r\n0\r\n\r\n",
        "4;a=\"\n\"\r\nbody\r\n0\r\n\r\n",
        "10000000000000004\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody\r\n0\r\nX Bad: 1\r\n\r\n",
        "4\r\nbody\r\n0\r\nX-Bad: \x01\r\n\r\n",
        "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n"}) {
    cr_assert_not(IsAnswer(head + body), "%s", body.c_str());
  }
  cr_assert_not(IsAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod"));
}

// Guards against bodies of sound servers that are refused or changed.
Test(http, any_framing_of_the_protocol_is_an_answer) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& rest :
       {std::string("Content-Length: 4\r\n\r\nbody"),
        std::string("Content-Length: 4, 4\r\n\r\nbody"),
        std::string("content-length:004\r\n\r\nbody"), std::string("\r\nbody"),
        std::string("Connection: close\r\n\r\nbody"),
        std::string("Transfer-Encoding: Chunked \r\n\r\n"
                    "2\r\nbo\r\n002\r\ndy\r\n0\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n"
                    "4;a;b=c; d=\"\t\xe9;\\\"\"\r\nbody\r\n00;e\r\n"
                    "X-T: a\tb\xe9\r\nX-U:\r\n\r\n")}) {
    const auto answer = FetchBytes(head + rest);
    cr_assert(answer && answer->body == "body", "%s", rest.c_str());
  }
  cr_assert(FetchBytes("HTTP/1.0 200 OK\r\n\r\nbody")->body == "body");
  cr_assert(FetchBytes("HTTP/1.1 204 X\r\n\r\n")->body.empty());
  cr_assert(
      FetchBytes("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")->body.empty());
  cr_assert(
      FetchBytes("HTTP/1.1 304 X\r\nContent-Length: 4\r\n\r\n")->body.empty());
}

// Guards against the beginning of an answer that ends with its connection being
// taken for all of it when the connection breaks, while the request is still on
// its way.
Test(http, an_answer_to_half_a_request_ends_with_no_reset) {
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\npart";
  for (const std::size_t size : {150UL << 10, 1UL << 20, 16UL << 20}) {
    for (const auto end : {early_end::kReset, early_end::kHalfCloseThenReset}) {
      const auto answer = FetchEarly(unframed, end, size);
      cr_assert_not(answer.has_value(), "%zu", size);
      cr_assert(answer.error().ran == ran_state::kMaybe);
    }
  }
}

// Guards against early answers of sound servers that are refused.
Test(http, an_early_answer_is_an_answer) {
  using enum early_end;
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nbody";
  const auto by_length = WithHead("HTTP/1.1 200 OK");
  for (const std::size_t size : {0UL, 150UL << 10, 1UL << 20, 16UL << 20}) {
    cr_assert(FetchEarly(by_length, kRead, size)->body == "body", "%zu", size);
    cr_assert(FetchEarly(by_length, kHalfCloseThenRead, size)->body == "body");
    cr_assert(FetchEarly(unframed, kHalfCloseThenRead, size)->body == "body");
  }
}

// Guards against an interim response that is taken for the answer, and interim
// responses without end.
Test(http, interim_responses_precede_the_answer) {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n";
  const auto answer = WithHead("HTTP/1.1 200 OK", "X-A: 1\r\n");
  const auto bytes = interim + answer;
  for (std::size_t at = 1; at < bytes.size(); ++at) {
    const auto fetched = FetchBytes(bytes, at);
    cr_assert(fetched && fetched->status == 200, "%zu", at);
    cr_assert(fetched->body == "body", "%zu", at);
    cr_assert_eq(fetched->headers.fields.size(), 2);
  }
  cr_assert_not(IsAnswer(interim));
  cr_assert_not(IsAnswer(interim + "HTTP/1.1 000 X\r\n\r\n"));
  cr_assert_not(IsAnswer("HTTP/1.1 103 X\r\nX Bad: 1\r\n\r\n" + answer));
  cr_assert_not(
      IsAnswer("HTTP/1.1 100 X\r\nContent-Length: 4\r\n\r\nbody" + answer));
  // Nobody asks for another protocol.
  cr_assert_not(IsAnswer(
      "HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n" + answer));
  std::string many;
  for (int i = 0; i < 100; ++i) {
    many += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  cr_assert_not(IsAnswer(many + answer));
}
