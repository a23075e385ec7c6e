/** Types shared by both ends of a link. */
#ifndef SRC_LINK_TYPE_H_
#define SRC_LINK_TYPE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "generated/wire_generated.h"
#include "src/byte_budget.h"

namespace dogwood {

/** Version of the frame format; both ends must have the same. */
constexpr std::uint16_t kWireVersion = 1;
/** Maximum size of a frame in bytes, unless a process sets its own; a longer
 * one closes the connection. */
constexpr std::size_t kMaxFrameBytes = 64UL << 20;
/** Maximum size of a frame of the handshake, which anyone may send. */
constexpr std::size_t kMaxHandshakeBytes = 4096;

/** Identity of a process, and the secret that it proves knowledge of. */
struct link_identity {
  std::string host;    ///< Name of the host.
  std::string daemon;  ///< "controld", "entryd", "batchd" or a tool.
  std::string secret;  ///< Shared secret; must never be logged.
  /** Maximum size of a frame that this process reads. */
  std::size_t max_frame_bytes = kMaxFrameBytes;
};

/** Identity of the other end after the handshake. */
struct link_peer {
  std::string host;    ///< Name of the host.
  std::string daemon;  ///< Name of the daemon.
  /** Returns "host/daemon", for failures and logs. */
  auto Name() const -> std::string { return host + "/" + daemon; }
};

/** Traffic counters of all links of this process since its start. */
struct link_totals {
  std::atomic<std::uint64_t> sent_bytes{0};       ///< Frames queued.
  std::atomic<std::uint64_t> received_bytes{0};   ///< Frames read.
  std::atomic<std::uint64_t> sent_frames{0};      ///< Frames queued.
  std::atomic<std::uint64_t> received_frames{0};  ///< Frames read.
};

/** Returns the counters of this process. */
auto LinkTotals() -> link_totals&;
/** Budget of all frames that this process is reading; unlimited until a limit
 * is set. */
auto FrameBudget() -> byte_budget&;

/** Returns the counters in the Prometheus text format. */
auto PrintLinkTotals() -> std::string;

/** A message of any kind; `Set()` and the As...() members are generated. */
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
