#include "src/link_codec.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <limits>
#include <utility>

#include "src/core.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kNonceBytes = 32;
/** Size of the steps in which a frame is read. */
constexpr std::size_t kReadBytes = 64UL << 10;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/** Creates a failure of the link itself. It has ran=no; for calls that have
 * been sent the client changes that to ran=maybe. */
auto MakeLinkFailure(std::string message, std::string step, std::string peer)
    -> failure {
  return {.code = error_code::kUnavailable,
          .message = std::move(message),
          .ran = ran_state::kNo,
          .step = std::move(step),
          .peer = std::move(peer)};
}

/** Computes the MAC by which one side proves the secret: over its role and the
 * host, daemon and nonce of both sides. */
auto ComputeMac(const link_identity& self,
                std::string_view role,
                const wire::helloT& client,
                const wire::helloT& server) -> std::string {
  std::string text(role);
  for (const auto* hello : {&client, &server}) {
    text += "\n" + hello->host + "\n" + hello->daemon + "\n" + hello->nonce;
  }
  return ToHex(HmacSha256(self.secret, text));
}

/** Creates the hello of this process with a new nonce. */
auto NewHello(const link_identity& self) -> wire::helloT {
  wire::helloT hello;
  hello.host = self.host;
  hello.daemon = self.daemon;
  hello.nonce = ToHex(RandomBytes(kNonceBytes));
  return hello;
}

/** Creates the proof message with a MAC. */
auto ProofMessage(std::string mac) -> wire_message {
  wire::proofT proof;
  proof.mac = std::move(mac);
  return MakeMessage(std::move(proof));
}

}  // namespace

auto FrameBudget() -> byte_budget& {
  static byte_budget budget(std::numeric_limits<std::size_t>::max());
  return budget;
}

auto LinkTotals() -> link_totals& {
  static link_totals totals;
  return totals;
}

auto PrintLinkTotals() -> std::string {
  const auto& totals = LinkTotals();
  std::string text;
  const auto add = [&text](std::string_view name, std::uint64_t value) {
    const auto full = "dogwood_link_" + std::string(name) + "_total";
    text += "# TYPE " + full + " counter\n";
    text += full + " " + std::to_string(value) + "\n";
  };
  add("sent_bytes", totals.sent_bytes);
  add("received_bytes", totals.received_bytes);
  add("sent_frames", totals.sent_frames);
  add("received_frames", totals.received_frames);
  return text;
}

auto EncodeFrame(std::uint64_t call_id, const wire_message& message)
    -> std::string {
  wire::envelopeT envelope;
  envelope.version = kWireVersion;
  envelope.call_id = call_id;
  envelope.payload = message;
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::envelope::Pack(builder, &envelope));
  const auto length = boost::endian::native_to_little(
      static_cast<std::uint32_t>(builder.GetSize()));
  std::string frame(reinterpret_cast<const char*>(&length), kLengthBytes);
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  return frame;
}

auto ErrorMessage(const failure& error) -> wire_message {
  wire::errorT message;
  message.code = HttpStatusOf(error.code);
  message.message = error.message;
  message.ran_maybe = error.ran == ran_state::kMaybe;
  message.step = error.step;
  message.peer = error.peer;
  return MakeMessage(std::move(message));
}

link_channel::link_channel(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

auto link_channel::ReadFrame(std::string peer, std::size_t max_bytes)
    -> asio::awaitable<outcome<link_frame>> {
  std::uint32_t length = 0;
  auto length_buffer = asio::buffer(&length, kLengthBytes);
  auto [ec, n] = co_await asio::async_read(socket_, length_buffer, kAwait);
  if (ec) {
    co_return MakeLinkFailure(ec.message(), "read frame", peer);
  }
  length = boost::endian::little_to_native(length);
  if (length == 0 || length > max_bytes) {
    co_return MakeLinkFailure(
        "frame of " + std::to_string(length) + " bytes is not permitted",
        "read frame", peer);
  }
  // Memory is taken as bytes arrive, since the length is only announced.
  byte_budget::share share(FrameBudget());
  std::string bytes;
  while (bytes.size() < length) {
    const auto have = bytes.size();
    bytes.resize(std::min<std::size_t>(length, have + kReadBytes));
    auto part = asio::buffer(bytes.data() + have, bytes.size() - have);
    auto [body_ec, m] = co_await asio::async_read(socket_, part, kAwait);
    if (body_ec) {
      co_return MakeLinkFailure(body_ec.message(), "read frame", peer);
    }
    if (!share.Take(part.size())) {
      co_return MakeLinkFailure("too many bytes in frames that are being read",
                                "read frame", peer);
    }
  }
  LinkTotals().received_bytes += kLengthBytes + length;
  ++LinkTotals().received_frames;
  const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!wire::VerifyenvelopeBuffer(verifier)) {
    co_return MakeLinkFailure("damaged frame", "decode frame", peer);
  }
  std::unique_ptr<wire::envelopeT> envelope(wire::Getenvelope(data)->UnPack());
  if (envelope->version != kWireVersion ||
      envelope->payload.type == wire::payload::NONE) {
    co_return MakeLinkFailure("frame of wire version " +
                                  std::to_string(envelope->version) +
                                  " or of unknown kind, this is version " +
                                  std::to_string(kWireVersion),
                              "decode frame", peer);
  }
  link_frame frame;
  frame.call_id = envelope->call_id;
  frame.message = std::move(envelope->payload);
  co_return frame;
}

auto link_channel::Write(std::string frame) -> void {
  if (closed_) {
    return;
  }
  LinkTotals().sent_bytes += frame.size();
  ++LinkTotals().sent_frames;
  outgoing_.push_back(std::move(frame));
  if (!write_loop_running_) {
    write_loop_running_ = true;
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this()] { return self->WriteLoop(); },
        LogException);
  }
}

auto link_channel::WriteLoop() -> asio::awaitable<void> {
  while (!outgoing_.empty() && !closed_) {
    const auto frame = std::move(outgoing_.front());
    outgoing_.pop_front();
    auto buffer = asio::buffer(frame);
    auto [ec, n] = co_await asio::async_write(socket_, buffer, kAwait);
    if (ec) {
      Close();
    }
  }
  write_loop_running_ = false;
}

auto link_channel::Close() -> void {
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

auto link_channel::HandshakeAsClient(const link_identity& self)
    -> asio::awaitable<outcome<link_peer>> {
  const auto own = NewHello(self);
  Write(EncodeFrame(0, MakeMessage(wire::helloT(own))));
  auto answer = co_await ReadFrame("server", kMaxHandshakeBytes);
  if (!answer) {
    co_return answer.error();
  }
  const auto* peer_hello = answer->message.Ashello();
  if (peer_hello == nullptr) {
    co_return MakeLinkFailure("no hello", "handshake", "server");
  }
  Write(EncodeFrame(
      0, ProofMessage(ComputeMac(self, "client", own, *peer_hello))));
  auto last = co_await ReadFrame(peer_hello->host, kMaxHandshakeBytes);
  if (!last) {
    co_return last.error();
  }
  const auto* proof = last->message.Asproof();
  if (proof == nullptr ||
      !EqualInConstantTime(proof->mac,
                           ComputeMac(self, "server", own, *peer_hello))) {
    co_return MakeLinkFailure("peer does not prove the shared secret",
                              "handshake", peer_hello->host);
  }
  link_peer peer;
  peer.host = peer_hello->host;
  peer.daemon = peer_hello->daemon;
  co_return peer;
}

auto link_channel::HandshakeAsServer(const link_identity& self)
    -> asio::awaitable<outcome<link_peer>> {
  auto first = co_await ReadFrame("client", kMaxHandshakeBytes);
  if (!first) {
    co_return first.error();
  }
  const auto* peer_hello = first->message.Ashello();
  if (peer_hello == nullptr) {
    co_return MakeLinkFailure("no hello", "handshake", "client");
  }
  const auto own = NewHello(self);
  Write(EncodeFrame(0, MakeMessage(wire::helloT(own))));
  auto second = co_await ReadFrame(peer_hello->host, kMaxHandshakeBytes);
  if (!second) {
    co_return second.error();
  }
  const auto* proof = second->message.Asproof();
  if (proof == nullptr ||
      !EqualInConstantTime(proof->mac,
                           ComputeMac(self, "client", *peer_hello, own))) {
    co_return MakeLinkFailure("peer does not prove the shared secret",
                              "handshake", peer_hello->host);
  }
  Write(EncodeFrame(
      0, ProofMessage(ComputeMac(self, "server", *peer_hello, own))));
  link_peer peer;
  peer.host = peer_hello->host;
  peer.daemon = peer_hello->daemon;
  co_return peer;
}

}  // namespace dogwood
