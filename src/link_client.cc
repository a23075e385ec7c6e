#include "src/link_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <optional>
#include <utility>

#include "src/core.h"
#include "src/link_codec.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/** A call in flight. */
struct pending_call {
  explicit pending_call(const asio::any_io_executor& executor,
                        time_point deadline)
      : timer(executor, deadline) {}
  asio::steady_timer timer;  ///< Cancelled when `answer` has been set.
  std::optional<outcome<wire_message>> answer;
};

/** One connection and its calls in flight. */
struct connection {
  explicit connection(std::shared_ptr<link_channel> c)
      : channel(std::move(c)), ready(channel->socket().get_executor()) {
    ready.expires_at(time_point::max());
  }
  std::shared_ptr<link_channel> channel;
  asio::steady_timer ready;       ///< Cancelled when ready or broken.
  bool is_ready = false;          ///< The handshake has succeeded.
  std::optional<failure> broken;  ///< Why the connection cannot be used.
  std::map<std::uint64_t, std::shared_ptr<pending_call>> calls;  ///< By id.

  /** Closes the connection and fails every call in flight with `why`. */
  auto Fail(const failure& why) -> void {
    if (!broken) {
      broken = why;
    }
    channel->Close();
    ready.cancel();
    // These calls have been sent, so the peer may have executed them.
    auto sent = why;
    sent.ran = ran_state::kMaybe;
    for (auto& [id, call] : calls) {
      if (!call->answer) {
        call->answer = outcome<wire_message>(sent);
        call->timer.cancel();
      }
    }
    calls.clear();
  }
};

/** Converts a wire::error to a failure. */
auto ToFailure(const wire::errorT& error) -> failure {
  return {.code = ErrorCodeOf(error.code),
          .message = error.message,
          .ran = error.ran_maybe ? ran_state::kMaybe : ran_state::kNo,
          .step = error.step,
          .peer = error.peer};
}

/** Reads answers and completes their calls. Unmatched answers are ignored. */
auto ReadLoop(std::shared_ptr<connection> conn,
              std::string peer,
              std::size_t max_frame_bytes) -> asio::awaitable<void> {
  while (!conn->broken) {
    auto frame = co_await conn->channel->ReadFrame(peer, max_frame_bytes);
    if (!frame) {
      conn->Fail(frame.error());
      co_return;
    }
    const auto found = conn->calls.find(frame->call_id);
    if (found == conn->calls.end()) {
      continue;
    }
    auto call = found->second;
    conn->calls.erase(found);
    const auto* error = frame->message.Aserror();
    call->answer = error != nullptr
                       ? outcome<wire_message>(ToFailure(*error))
                       : outcome<wire_message>(std::move(frame->message));
    call->timer.cancel();
  }
}

}  // namespace

/** State of a client. All of it is used on one strand, so that any thread can
 * make calls. */
struct link_client::state : std::enable_shared_from_this<state> {
  state(asio::io_context& io, link_identity identity, tcp::endpoint to)
      : strand(asio::make_strand(io)),
        self(std::move(identity)),
        endpoint(std::move(to)),
        name(endpoint.address().to_string() + ":" +
             std::to_string(endpoint.port())) {}

  asio::strand<asio::io_context::executor_type> strand;
  link_identity self;      ///< Identity of this process.
  tcp::endpoint endpoint;  ///< Address of the peer.
  std::string name;        ///< Address of the peer as text, for failures.
  std::uint64_t next_call_id = 1;
  std::shared_ptr<connection> current;  ///< Connection in use, if any.

  /** Connects and authenticates, then reads answers until the connection ends.
   * Marks the connection as ready or broken. */
  auto Open(std::shared_ptr<connection> conn) -> asio::awaitable<void> {
    auto [ec] =
        co_await conn->channel->socket().async_connect(endpoint, kAwait);
    if (ec) {
      conn->Fail({.code = error_code::kUnavailable,
                  .message = ec.message(),
                  .step = "connect",
                  .peer = name});
      co_return;
    }
    auto peer = co_await conn->channel->HandshakeAsClient(self);
    if (!peer) {
      conn->Fail(peer.error());
      co_return;
    }
    conn->is_ready = true;
    conn->ready.cancel();
    co_await ReadLoop(conn, peer->Name(), self.max_frame_bytes);
  }

  /** Returns the connection in use, or starts to open a new one. */
  auto Connection() -> std::shared_ptr<connection> {
    if (!current || current->broken) {
      current = std::make_shared<connection>(
          std::make_shared<link_channel>(tcp::socket(strand)));
      auto opening = [self = shared_from_this(), conn = current] {
        return self->Open(conn);
      };
      asio::co_spawn(strand, std::move(opening), LogException);
    }
    return current;
  }

  /** Makes one call. Must run on the strand. */
  auto Call(wire_message message, time_point deadline)
      -> asio::awaitable<outcome<wire_message>> {
    auto conn = Connection();
    failure timeout{.code = error_code::kDeadlineExceeded,
                    .message = "no answer before the deadline",
                    .step = "call",
                    .peer = name};
    asio::steady_timer connect_timer(strand, deadline);
    connect_timer.async_wait([conn, timeout](boost::system::error_code ec) {
      if (!ec && !conn->is_ready) {
        conn->Fail(timeout);
      }
    });
    if (!conn->is_ready && !conn->broken) {
      co_await conn->ready.async_wait(kAwait);
    }
    connect_timer.cancel();
    if (conn->broken) {
      co_return *conn->broken;
    }
    const auto id = next_call_id++;
    auto call = std::make_shared<pending_call>(strand, deadline);
    conn->calls[id] = call;
    conn->channel->Write(EncodeFrame(id, message));
    co_await call->timer.async_wait(kAwait);
    if (!call->answer) {
      conn->calls.erase(id);
      timeout.ran = ran_state::kMaybe;
      conn->Fail(timeout);
      co_return timeout;
    }
    co_return std::move(*call->answer);
  }
};

link_client::link_client(asio::io_context& io,
                         link_identity self,
                         const tcp::endpoint& endpoint)
    : state_(std::make_shared<state>(io, std::move(self), endpoint)) {}

link_client::~link_client() = default;

auto link_client::Call(wire_message message, time_point deadline)
    -> asio::awaitable<outcome<wire_message>> {
  auto call = [](std::shared_ptr<state> s, wire_message m,
                 time_point d) -> asio::awaitable<outcome<wire_message>> {
    co_return co_await s->Call(std::move(m), d);
  };
  auto spawned =
      asio::co_spawn(state_->strand, call(state_, std::move(message), deadline),
                     asio::use_awaitable);
  co_return co_await std::move(spawned);
}

}  // namespace dogwood
