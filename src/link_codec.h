/** Frames and handshake of a link. Internal to library wire. */
#ifndef SRC_LINK_CODEC_H_
#define SRC_LINK_CODEC_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>

#include "src/error_type.h"
#include "src/link_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** A decoded frame with one message. */
struct link_frame {
  std::uint64_t call_id = 0;  ///< Matches an answer to its call.
  wire_message message;
};

/** Encodes a frame, starting with its length. */
auto EncodeFrame(std::uint64_t call_id, const wire_message& message)
    -> std::string;

/** Converts a failure to the message that answers a call with it. */
auto ErrorMessage(const failure& error) -> wire_message;

/** A connection that carries frames. Must only be used on the socket's strand.
 */
class link_channel : public std::enable_shared_from_this<link_channel> {
 public:
  explicit link_channel(boost::asio::ip::tcp::socket socket);

  /** Reads one frame. Fails if the frame is damaged, longer than `max_bytes`,
   * of another wire version or of unknown kind, or if the process reads too
   * many bytes in frames at the same time. `peer` is named in failures. */
  auto ReadFrame(std::string peer, std::size_t max_bytes)
      -> boost::asio::awaitable<outcome<link_frame>>;
  /** Queues an encoded frame; frames are sent in order. */
  auto Write(std::string frame) -> void;
  /** Closes the socket; pending reads and writes fail. */
  auto Close() -> void;
  auto is_closed() const -> bool { return closed_; }
  auto socket() -> boost::asio::ip::tcp::socket& { return socket_; }

  /** Performs the client side of the handshake. Fails if the peer does not
   * prove the shared secret. */
  auto HandshakeAsClient(const link_identity& self)
      -> boost::asio::awaitable<outcome<link_peer>>;
  /** Performs the server side of the handshake. Fails if the peer does not
   * prove the shared secret. */
  auto HandshakeAsServer(const link_identity& self)
      -> boost::asio::awaitable<outcome<link_peer>>;

 private:
  auto WriteLoop() -> boost::asio::awaitable<void>;

  boost::asio::ip::tcp::socket socket_;
  std::deque<std::string> outgoing_;
  bool write_loop_running_ = false;
  bool closed_ = false;
};

}  // namespace dogwood

#endif  // SRC_LINK_CODEC_H_
