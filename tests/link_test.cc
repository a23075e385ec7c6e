/** Tests of links: handshake, framing, deadlines. */
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

/** A loopback endpoint of this test's port range. */
auto Endpoint(unsigned short port) -> tcp::endpoint {
  return {asio::ip::address_v4::loopback(), port};
}

/** Identity with the given secret. */
auto Identity(std::string host, std::string secret) -> link_identity {
  link_identity self;
  self.host = std::move(host);
  self.daemon = "test";
  self.secret = std::move(secret);
  return self;
}

/** Answers a tail request with its from_offset + 1; refuses offset 13. */
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

/** A request whose answer tells which request it is of. */
auto Request(std::uint64_t from) -> wire_message {
  wire::tail_requestT request;
  request.from_offset = from;
  return MakeMessage(std::move(request));
}

/** A loop on a thread of its own. */
struct loop {
  asio::io_context io;  ///< The loop.
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      io.get_executor()};
  std::thread thread{[this] { io.run(); }};
  ~loop() {
    io.stop();
    thread.join();
  }
};

/** Result of one call, waiting for it on this thread. */
auto CallNow(loop& l,
             link_client& client,
             std::uint64_t from,
             std::chrono::milliseconds limit) -> outcome<wire_message> {
  auto future = asio::co_spawn(asio::make_strand(l.io),
                               client.Call(Request(from), clock::now() + limit),
                               asio::use_future);
  return future.get();
}

constexpr std::chrono::seconds kPatience{20};

/** Whether client and server with these secrets can talk. */
auto CanTalk(unsigned short port, const char* client, const char* server)
    -> bool {
  loop l;
  link_server listening(l.io, Identity("server", server), AnswerTail);
  if (!listening.Listen(Endpoint(port))) {
    return false;
  }
  link_client calling(l.io, Identity("client", client), Endpoint(port));
  auto answer = CallNow(l, calling, 5, kPatience);
  return answer && answer->Astail_reply() != nullptr &&
         answer->Astail_reply()->next == 6;
}

/** Makes a raw connection, sends `bytes` and returns whether the server closes
 * it; without a close the read would last for ever. */
auto IsClosedAfter(unsigned short port, const std::string& bytes) -> bool {
  loop l;
  link_server listening(l.io, Identity("server", "s"), AnswerTail);
  if (!listening.Listen(Endpoint(port))) {
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
  // The server still takes calls on other connections.
  link_client calling(l.io, Identity("client", "s"), Endpoint(port));
  return CallNow(l, calling, 5, kPatience).has_value();
}

/** The failure of a call to a listener that never answers. */
auto CallSilentPeer(unsigned short port) -> failure {
  loop l;
  asio::io_context io;
  tcp::acceptor acceptor(io, Endpoint(port));
  link_client calling(l.io, Identity("client", "s"), Endpoint(port));
  auto answer = CallNow(l, calling, 5, std::chrono::milliseconds(200));
  return answer ? failure{} : answer.error();
}

/** Calls a server that is replaced by another on the same port. */
auto SurvivesRestart(unsigned short port) -> bool {
  loop client_loop;
  link_client calling(client_loop.io, Identity("client", "s"), Endpoint(port));
  for (int i = 0; i < 2; ++i) {
    loop l;
    link_server listening(l.io, Identity("server", "s"), AnswerTail);
    if (!listening.Listen(Endpoint(port))) {
      return false;
    }
    // The first call after the restart may find the old connection ended.
    const bool answered = CallNow(client_loop, calling, 5, kPatience) ||
                          CallNow(client_loop, calling, 5, kPatience);
    if (!answered) {
      return false;
    }
  }
  return true;
}

/** Notes that a call has arrived and never answers it. */
auto AnswerNever(std::promise<void>& arrived)
    -> asio::awaitable<outcome<wire_message>> {
  arrived.set_value();
  asio::steady_timer never(co_await asio::this_coro::executor,
                           time_point::max());
  co_await never.async_wait(asio::use_awaitable);
  co_return failure{};
}

/** The failure of a call whose server ends while it runs. */
auto CallEndingPeer(unsigned short port) -> failure {
  loop client_loop;
  link_client calling(client_loop.io, Identity("client", "s"), Endpoint(port));
  std::promise<void> arrived;
  std::future<outcome<wire_message>> answer;
  {
    loop l;
    link_server listening(
        l.io, Identity("server", "s"),
        [&arrived](link_peer, wire_message) { return AnswerNever(arrived); });
    if (!listening.Listen(Endpoint(port))) {
      return {};
    }
    answer = asio::co_spawn(asio::make_strand(client_loop.io),
                            calling.Call(Request(5), clock::now() + kPatience),
                            asio::use_future);
    arrived.get_future().wait();
  }
  auto ended = answer.get();
  return ended ? failure{} : ended.error();
}

}  // namespace
}  // namespace dogwood::test

// Guards against a process of another deployment that is answered.
Test(link, wrong_secret_is_refused) {
  cr_assert(dogwood::test::CanTalk(22901, "same", "same"));
  cr_assert_not(dogwood::test::CanTalk(22902, "other", "same"));
}

// Guards against a damaged frame that is taken for a message.
Test(link, damaged_frame_closes_the_connection) {
  auto frame = dogwood::EncodeFrame(0, dogwood::test::Request(1));
  for (std::size_t i = 4; i < frame.size(); ++i) {
    frame[i] = static_cast<char>(~frame[i]);
  }
  cr_assert(dogwood::test::IsClosedAfter(22903, frame));
}

// Guards against a length that makes the server allocate without bound.
Test(link, oversized_frame_closes_the_connection) {
  cr_assert(dogwood::test::IsClosedAfter(22904, "\xff\xff\xff\xff"));
}

// Guards against calls before the handshake.
Test(link, call_without_handshake_closes_the_connection) {
  const auto frame = dogwood::EncodeFrame(1, dogwood::test::Request(1));
  cr_assert(dogwood::test::IsClosedAfter(22905, frame));
}

// Guards against a call that waits for ever on a peer gone silent.
Test(link, silent_peer_ends_in_a_deadline) {
  const auto error = dogwood::test::CallSilentPeer(22906);
  cr_assert_eq(error.code, dogwood::error_code::kDeadlineExceeded);
  cr_assert(error.ran == dogwood::ran_state::kNo);
  cr_assert_eq(error.peer, "127.0.0.1:22906");
}

// Guards against a client that keeps a connection that has ended.
Test(link, client_connects_again_after_a_restart) {
  cr_assert(dogwood::test::SurvivesRestart(22907));
}

// Guards against "not run" for a call that the peer has read: batch records and
// items would be sent a second time.
Test(link, a_call_that_breaks_after_it_was_sent_may_have_run) {
  const auto error = dogwood::test::CallEndingPeer(22908);
  cr_assert_eq(error.code, dogwood::error_code::kUnavailable);
  cr_assert(error.ran == dogwood::ran_state::kMaybe);
}
