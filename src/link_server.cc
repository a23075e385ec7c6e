#include "src/link_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "src/core.h"
#include "src/link_codec.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** A connection that has not completed the handshake by then is closed. */
constexpr std::chrono::seconds kHandshakeTimeout{5};
/** Delay after a failed accept. Without it a lack of file descriptors would
 * cause a busy loop. */
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

}  // namespace

/** Shared by the acceptor and its connections. */
struct link_server::state {
  asio::io_context& io;
  link_identity self;  ///< Identity of this process.
  link_handler handler;
  link_closed_handler on_closed;
  tcp::acceptor acceptor;
};

namespace {

/** Runs the handler of one call on its own strand and queues the answer. */
auto HandleCall(asio::io_context& io,
                const link_handler& handler,
                std::shared_ptr<link_channel> channel,
                link_peer peer,
                link_frame frame) -> asio::awaitable<void> {
  auto call = asio::co_spawn(asio::make_strand(io),
                             handler(peer, std::move(frame.message)),
                             asio::use_awaitable);
  auto answer = co_await std::move(call);
  channel->Write(EncodeFrame(
      frame.call_id, answer ? answer.value() : ErrorMessage(answer.error())));
}

/** Serves one connection until it ends. */
auto Serve(asio::io_context& io,
           const link_identity& self,
           const link_handler& handler,
           const link_closed_handler& on_closed,
           std::shared_ptr<link_channel> channel) -> asio::awaitable<void> {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer handshake_timer(executor, kHandshakeTimeout);
  handshake_timer.async_wait([channel](boost::system::error_code ec) {
    if (!ec) {
      channel->Close();
    }
  });
  auto peer = co_await channel->HandshakeAsServer(self);
  handshake_timer.cancel();
  if (!peer) {
    Log(log_level::kWarning, log_category::kLink,
        {peer.error().message, peer.error().step, peer.error().peer});
    channel->Close();
    co_return;
  }
  while (true) {
    auto frame =
        co_await channel->ReadFrame(peer->Name(), self.max_frame_bytes);
    if (!frame) {
      const bool damaged = frame.error().step == "decode frame";
      Log(damaged ? log_level::kError : log_level::kDebug, log_category::kLink,
          {frame.error().message, frame.error().step, frame.error().peer});
      break;
    }
    asio::co_spawn(executor,
                   HandleCall(io, handler, channel, peer.value(),
                              std::move(frame.value())),
                   LogException);
  }
  channel->Close();
  if (on_closed) {
    on_closed(peer.value());
  }
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
    auto channel = std::make_shared<link_channel>(std::move(socket));
    asio::co_spawn(
        strand,
        [state, channel] {
          return Serve(state->io, state->self, state->handler, state->on_closed,
                       channel);
        },
        LogException);
  }
}

}  // namespace

link_server::link_server(asio::io_context& io,
                         link_identity self,
                         link_handler handler,
                         link_closed_handler on_closed)
    : state_(std::make_shared<state>(
          state{io, std::move(self), std::move(handler), std::move(on_closed),
                tcp::acceptor(asio::make_strand(io))})) {}

link_server::~link_server() = default;

auto link_server::Listen(const tcp::endpoint& endpoint) -> outcome<void> {
  auto opened = OpenAcceptor(state_->acceptor, endpoint, "listen for links");
  if (opened) {
    asio::co_spawn(state_->acceptor.get_executor(), AcceptLoop(state_),
                   AbortOnException);
  }
  return opened;
}

}  // namespace dogwood
