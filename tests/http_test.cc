/** Tests of the HTTP server and client against each other over loopback. */
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>

#include "src/core.h"
#include "src/http.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Far enough that only a hang reaches it. */
auto Later() -> time_point {
  return clock::now() + std::chrono::seconds(20);
}

/** Answers by path: /echo, /stream, /broken, anything else 404. */
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

/** A port that was free when asked for. */
auto FreeEndpoint(asio::io_context& io) -> tcp::endpoint {
  tcp::acceptor probe(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return probe.local_endpoint();
}

/** One request with its outcome. */
auto Ask(tcp::endpoint endpoint, std::string path, std::string body)
    -> asio::awaitable<outcome<http_response>> {
  http_request request;
  request.method = "POST";
  request.target = std::move(path);
  request.body = std::move(body);
  co_return co_await Fetch(endpoint, std::move(request), Later());
}

/** Two requests over one connection; the second answer's body. */
auto AskTwice(tcp::endpoint endpoint)
    -> asio::awaitable<outcome<http_response>> {
  auto connection = co_await http_connection::Connect(endpoint, Later());
  http_response last;
  for (const std::string body : {"first", "second"}) {
    http_request request;
    request.method = "POST";
    request.target = "/echo";
    request.body = body;
    co_await connection.value()->Send(request, Later());
    auto head = co_await connection.value()->ReadHead(Later());
    if (!head) {
      co_return head.error();
    }
    last.body.clear();
    while (true) {
      auto part = co_await connection.value()->ReadSome(Later());
      if (!part || part->empty()) {
        break;
      }
      last.body += part.value();
    }
  }
  last.status = connection.value()->CanBeReused() ? 200 : 500;
  co_return last;
}

/** Runs `ask` against a server and returns its outcome. */
template <typename Ask>
auto WithServer(http_limits limits, Ask ask) -> outcome<http_response> {
  asio::io_context io;
  http_server server(io, limits, Handle);
  const auto endpoint = FreeEndpoint(io);
  server.Listen(endpoint).value();
  outcome<http_response> answer = failure{};
  asio::co_spawn(asio::make_strand(io), ask(endpoint),
                 [&](std::exception_ptr, outcome<http_response> result) {
                   answer = std::move(result);
                   io.stop();
                 });
  io.run();
  return answer;
}

/** Accepts one connection and says nothing. */
auto AcceptSilently(tcp::acceptor& acceptor) -> asio::awaitable<void> {
  auto socket = co_await acceptor.async_accept(asio::use_awaitable);
  char byte = 0;
  auto buffer = asio::buffer(&byte, 1);
  while (true) {
    co_await socket.async_read_some(buffer, asio::use_awaitable);
  }
}

/** Outcome of a request to a server that never answers. */
auto AskSilentServer() -> outcome<http_response> {
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

/** Outcome of a request to a port where nobody listens. */
auto AskNobody() -> outcome<http_response> {
  asio::io_context io;
  outcome<http_response> answer = failure{};
  asio::co_spawn(asio::make_strand(io), Ask(FreeEndpoint(io), "/echo", ""),
                 [&](std::exception_ptr, outcome<http_response> result) {
                   answer = std::move(result);
                 });
  io.run();
  return answer;
}

/** Outcome of POST `path` with `body`. */
auto Post(std::string path, std::string body, http_limits limits = {})
    -> outcome<http_response> {
  return WithServer(limits, [&](tcp::endpoint endpoint) {
    return Ask(endpoint, path, body);
  });
}

}  // namespace
}  // namespace dogwood::testing

using dogwood::ran_state;
using namespace dogwood::testing;

// Guards against answers that lose part of their body.
Test(http, answers_come_back_whole) {
  const std::string body(300000, 'x');
  cr_assert(Post("/echo", body)->body == body);
  cr_assert(Post("/stream", "")->body == "one two");
}

// Guards against a broken answer being taken for a whole one.
Test(http, an_answer_without_its_end_is_a_failure) {
  const auto answer = Post("/broken", "");
  cr_assert(!answer);
  cr_assert(answer.error().ran == ran_state::kMaybe);
}

// Guards against a failure without step, or claimed as "not run" wrongly.
Test(http, failures_carry_step_and_ran) {
  const auto missing = Post("/nothing", "");
  cr_assert_eq(missing->status, 404);
  cr_assert(missing->headers.Get("Dogwood-Ran") == "no");
  const auto nobody = AskNobody();
  cr_assert(nobody.error().ran == ran_state::kNo);
  cr_assert(nobody.error().step == "connect");
  const auto silent = AskSilentServer();
  cr_assert(silent.error().ran == ran_state::kMaybe);
  cr_assert(silent.error().code == dogwood::error_code::kDeadlineExceeded);
}

// Guards against a body over the limit being accepted or cut.
Test(http, long_bodies_are_refused) {
  dogwood::http_limits limits;
  limits.body_bytes = 1000;
  const auto answer = Post("/echo", std::string(1001, 'x'), limits);
  cr_assert_eq(answer->status, 413);
  cr_assert_eq(Post("/echo", std::string(1000, 'x'), limits)->status, 200);
}

// Guards against answers crossing on a connection that is used again.
Test(http, a_connection_serves_several_requests) {
  const auto answer =
      WithServer({}, [](auto endpoint) { return AskTwice(endpoint); });
  cr_assert_eq(answer->status, 200);
  cr_assert(answer->body == "second");
}
