/** Types that both ends of a link share. */
#ifndef SRC_LINK_TYPE_H_
#define SRC_LINK_TYPE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "generated/wire_generated.h"

namespace dogwood {

/** Version of the frames; both ends must have the same. */
constexpr std::uint16_t kWireVersion = 1;
/** Longest frame in bytes; a longer one closes the connection. */
constexpr std::size_t kMaxFrameBytes = 64UL << 20;

/** Who a process is and what it proves knowledge of. */
struct link_identity {
  std::string host;    ///< Name of the host.
  std::string daemon;  ///< "controld", "entryd", "batchd" or a tool.
  std::string secret;  ///< The deployment's shared secret; never logged.
};

/** The other end, after the handshake. */
struct link_peer {
  std::string host;    ///< Name of the host.
  std::string daemon;  ///< Name of the daemon.
  /** "host/daemon", for failures and logs. */
  auto Name() const -> std::string { return host + "/" + daemon; }
};

/** Traffic of all links of this process since its start, for metrics. */
struct link_totals {
  std::atomic<std::uint64_t> sent_bytes{0};       ///< Frames queued.
  std::atomic<std::uint64_t> received_bytes{0};   ///< Frames read.
  std::atomic<std::uint64_t> sent_frames{0};      ///< Frames queued.
  std::atomic<std::uint64_t> received_frames{0};  ///< Frames read.
};

/** The process's totals. */
auto LinkTotals() -> link_totals&;

/** The totals in the text format of Prometheus. */
auto PrintLinkTotals() -> std::string;

/** One message of any kind; `Set()` and the As...() members are generated. */
using wire_message = wire::payloadUnion;

/** Wraps a generated message, such as wire::tail_requestT. */
template <typename T>
auto MakeMessage(T&& message) -> wire_message {
  wire_message union_value;
  union_value.Set(std::forward<T>(message));
  return union_value;
}

}  // namespace dogwood

#endif  // SRC_LINK_TYPE_H_
