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

/** A decoded frame. */
struct link_frame {
  std::uint64_t call_id = 0;  ///< Matches an answer to its call.
  wire_message message;       ///< Content.
};

/** Encodes a frame with its length. */
auto EncodeFrame(std::uint64_t call_id, const wire_message& message)
    -> std::string;

/** Encodes a failure as an answer. */
auto ErrorMessage(const failure& error) -> wire_message;

/** One connection. All members are to be used on the socket's strand. */
class link_channel : public std::enable_shared_from_this<link_channel> {
 public:
  explicit link_channel(boost::asio::ip::tcp::socket socket);

  /** Reads one frame; an unknown or damaged one is a failure. */
  auto ReadFrame(std::string peer)
      -> boost::asio::awaitable<outcome<link_frame>>;
  /** Queues a frame; frames go out in order. */
  auto Write(std::string frame) -> void;
  /** Closes the socket; pending reads and writes fail. */
  auto Close() -> void;
  auto is_closed() const -> bool { return closed_; }
  auto socket() -> boost::asio::ip::tcp::socket& { return socket_; }

  /** Client side of the handshake. */
  auto HandshakeAsClient(const link_identity& self)
      -> boost::asio::awaitable<outcome<link_peer>>;
  /** Server side of the handshake. */
  auto HandshakeAsServer(const link_identity& self)
      -> boost::asio::awaitable<outcome<link_peer>>;

 private:
  auto WriteLoop() -> boost::asio::awaitable<void>;

  boost::asio::ip::tcp::socket socket_;
  std::deque<std::string> outgoing_;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace dogwood

#endif  // SRC_LINK_CODEC_H_
