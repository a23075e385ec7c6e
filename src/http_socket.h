/** What a socket holds, without reading from it. Internal to library http. */
#ifndef SRC_HTTP_SOCKET_H_
#define SRC_HTTP_SOCKET_H_

#include <sys/socket.h>

#include <cerrno>

namespace dogwood {

/** Receiving side of a connected socket. */
enum class socket_state {
  kQuiet,  ///< Open, no bytes waiting.
  kBytes,  ///< Bytes waiting.
  kEnded,  ///< The other end has closed, or the socket failed.
};

/** State of a non-blocking or blocking socket; never blocks. */
inline auto StateOf(int socket) -> socket_state {
  char byte = 0;
  const auto n = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return socket_state::kBytes;
  }
  const bool is_open =
      n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return is_open ? socket_state::kQuiet : socket_state::kEnded;
}

}  // namespace dogwood

#endif  // SRC_HTTP_SOCKET_H_
