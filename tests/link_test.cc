/** Tests of links: handshake, framing and deadlines. */
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <thread>

#include "src/core.h"
#include "src/link.h"
#include "src/link_codec.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Returns the loopback endpoint with `port`. */
auto Endpoint(unsigned short port) -> tcp::endpoint {
  return {asio::ip::address_v4::loopback(), port};
}

/** Returns an identity with the given host and secret. */
auto Identity(std::string host, std::string secret) -> link_identity {
  link_identity self;
  self.host = std::move(host);
  self.daemon = "test";
  self.secret = std::move(secret);
  return self;
}

/** Handler that answers a tail request with its from_offset + 1 and refuses
 * offset 13. */
auto AnswerTail(link_peer peer, wire_message message)
    -> asio::awaitable<outcome<wire_message>> {
  const auto* request = message.Astail_request();
  if (request->from_offset == 13) {
    co_return failure{.code = error_code::kConflict,
                      .message = "13",
                      .ran = ran_state::kMaybe,
                      .step = "answer",
                      .peer = peer.Name()};
  }
  wire::tail_replyT reply;
  reply.next = request->from_offset + 1;
  co_return MakeMessage(std::move(reply));
}

/** Returns a tail request; its answer identifies it by from_offset. */
auto Request(std::uint64_t from) -> wire_message {
  wire::tail_requestT request;
  request.from_offset = from;
  return MakeMessage(std::move(request));
}

/** Event loop that runs on its own thread. */
struct loop {
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      io.get_executor()};
  std::thread thread{[this] { io.run(); }};
  ~loop() {
    io.stop();
    thread.join();
  }
};

/** Makes one call and blocks until it has ended. */
auto CallAndWait(loop& l,
                 link_client& client,
                 std::uint64_t from,
                 std::chrono::milliseconds timeout) -> outcome<wire_message> {
  auto future = asio::co_spawn(
      asio::make_strand(l.io),
      client.Call(Request(from), clock::now() + timeout), asio::use_future);
  return future.get();
}

constexpr std::chrono::seconds kCallTimeout{20};

/** Whether a call succeeds between a client and a server with these secrets. */
auto CanCall(unsigned short port, const char* client, const char* server)
    -> bool {
  loop l;
  link_server server_end(l.io, Identity("server", server), AnswerTail);
  if (!server_end.Listen(Endpoint(port))) {
    return false;
  }
  link_client client_end(l.io, Identity("client", client), Endpoint(port));
  auto answer = CallAndWait(l, client_end, 5, kCallTimeout);
  return answer && answer->Astail_reply() != nullptr &&
         answer->Astail_reply()->next == 6;
}

/** Sends `bytes` over a raw connection, waits until the server closes it, and
 * returns whether the server still answers calls. Blocks if the server does not
 * close the connection. */
auto IsClosedAfter(unsigned short port, const std::string& bytes) -> bool {
  loop l;
  link_server server_end(l.io, Identity("server", "s"), AnswerTail);
  if (!server_end.Listen(Endpoint(port))) {
    return false;
  }
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(Endpoint(port));
  asio::write(socket, asio::buffer(bytes));
  boost::system::error_code ec;
  std::array<char, 64> sink{};
  while (!ec) {
    socket.read_some(asio::buffer(sink), ec);
  }
  // The server must still answer calls on other connections.
  link_client client_end(l.io, Identity("client", "s"), Endpoint(port));
  return CallAndWait(l, client_end, 5, kCallTimeout).has_value();
}

/** Sends a call of about `bytes` to a server that reads frames of up to
 * `max_frame_bytes`; returns whether it is answered. */
auto IsReadByServer(unsigned short port,
                    std::size_t bytes,
                    std::size_t max_frame_bytes) -> bool {
  loop l;
  auto self = Identity("server", "s");
  self.max_frame_bytes = max_frame_bytes;
  link_server server_end(
      l.io, self,
      [](link_peer, wire_message) -> asio::awaitable<outcome<wire_message>> {
        co_return MakeMessage(wire::doneT());
      });
  if (!server_end.Listen(Endpoint(port))) {
    return false;
  }
  link_client client_end(l.io, Identity("client", "s"), Endpoint(port));
  wire::batch_callT call;
  call.body = std::string(bytes, 'x');
  auto message = MakeMessage(std::move(call));
  auto answer = asio::co_spawn(
      asio::make_strand(l.io),
      client_end.Call(std::move(message), clock::now() + kCallTimeout),
      asio::use_future);
  return answer.get().has_value();
}

/** Returns the failure of a call to a listener that never answers. */
auto CallSilentPeer(unsigned short port) -> failure {
  loop l;
  asio::io_context io;
  tcp::acceptor acceptor(io, Endpoint(port));
  link_client client_end(l.io, Identity("client", "s"), Endpoint(port));
  auto answer = CallAndWait(l, client_end, 5, std::chrono::milliseconds(200));
  return answer ? failure{} : answer.error();
}

/** Calls a server that is replaced by another one on the same port; returns
 * whether both are reached. */
auto ReconnectsAfterRestart(unsigned short port) -> bool {
  loop client_loop;
  link_client client_end(client_loop.io, Identity("client", "s"),
                         Endpoint(port));
  for (int i = 0; i < 2; ++i) {
    loop l;
    link_server server_end(l.io, Identity("server", "s"), AnswerTail);
    if (!server_end.Listen(Endpoint(port))) {
      return false;
    }
    // The first call after the restart may fail on the old connection.
    const bool answered =
        CallAndWait(client_loop, client_end, 5, kCallTimeout) ||
        CallAndWait(client_loop, client_end, 5, kCallTimeout);
    if (!answered) {
      return false;
    }
  }
  return true;
}

/** Handler that signals the arrival of a call and never answers it. */
auto NeverAnswer(std::promise<void>& arrived)
    -> asio::awaitable<outcome<wire_message>> {
  arrived.set_value();
  asio::steady_timer never(co_await asio::this_coro::executor,
                           time_point::max());
  co_await never.async_wait(asio::use_awaitable);
  co_return failure{};
}

/** Returns the failure of a call whose server stops while the call runs. */
auto CallStoppingServer(unsigned short port) -> failure {
  loop client_loop;
  link_client client_end(client_loop.io, Identity("client", "s"),
                         Endpoint(port));
  std::promise<void> arrived;
  std::future<outcome<wire_message>> answer;
  {
    loop l;
    link_server server_end(
        l.io, Identity("server", "s"),
        [&arrived](link_peer, wire_message) { return NeverAnswer(arrived); });
    if (!server_end.Listen(Endpoint(port))) {
      return {};
    }
    answer =
        asio::co_spawn(asio::make_strand(client_loop.io),
                       client_end.Call(Request(5), clock::now() + kCallTimeout),
                       asio::use_future);
    arrived.get_future().wait();
  }
  auto ended = answer.get();
  return ended ? failure{} : ended.error();
}

}  // namespace
}  // namespace dogwood::test

// Guards against answering a process of another deployment.
Test(link, wrong_secret_is_refused) {
  cr_assert(dogwood::test::CanCall(22901, "same", "same"));
  cr_assert_not(dogwood::test::CanCall(22902, "other", "same"));
}

// Guards against decoding a damaged frame as a message.
Test(link, damaged_frame_closes_the_connection) {
  auto frame = dogwood::EncodeFrame(0, dogwood::test::Request(1));
  for (std::size_t i = 4; i < frame.size(); ++i) {
    frame[i] = static_cast<char>(~frame[i]);
  }
  cr_assert(dogwood::test::IsClosedAfter(22903, frame));
}

// Guards against a frame length that makes the server allocate without bound.
Test(link, oversized_frame_closes_the_connection) {
  cr_assert(dogwood::test::IsClosedAfter(22904, "\xff\xff\xff\xff"));
}

// Guards against a known host whose frames take the memory of another one.
Test(link, frame_above_the_limit_of_the_process_closes_the_connection) {
  constexpr std::size_t kLimit = 200UL << 10;
  cr_assert(dogwood::test::IsReadByServer(22920, kLimit / 2, kLimit));
  cr_assert_not(dogwood::test::IsReadByServer(22921, 2 * kLimit, kLimit));
}

// Guards against answering calls before the handshake.
Test(link, call_without_handshake_closes_the_connection) {
  const auto frame = dogwood::EncodeFrame(1, dogwood::test::Request(1));
  cr_assert(dogwood::test::IsClosedAfter(22905, frame));
}

// Guards against a call that waits forever for a peer that does not answer.
Test(link, silent_peer_ends_in_a_deadline) {
  const auto error = dogwood::test::CallSilentPeer(22906);
  cr_assert_eq(error.code, dogwood::error_code::kDeadlineExceeded);
  cr_assert(error.ran == dogwood::ran_state::kNo);
  cr_assert_eq(error.peer, "127.0.0.1:22906");
}

// Guards against a client that keeps using a closed connection.
Test(link, client_connects_again_after_a_restart) {
  cr_assert(dogwood::test::ReconnectsAfterRestart(22907));
}

// Guards against ran=no for a call that the peer may have executed: batch
// records and items would be sent a second time.
Test(link, a_call_that_breaks_after_it_was_sent_may_have_run) {
  const auto error = dogwood::test::CallStoppingServer(22908);
  cr_assert_eq(error.code, dogwood::error_code::kUnavailable);
  cr_assert(error.ran == dogwood::ran_state::kMaybe);
}
