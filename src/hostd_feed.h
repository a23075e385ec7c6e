/** Exchange of the declared state, the registrations and the members between
 * hosts.
 *
 * In a large data centre two hosts read the store, and the others get what has
 * changed from them over held calls. A host reads the store itself as soon as
 * its sources do not answer with current data, and any host asks others while
 * the store does not answer. */
#ifndef SRC_HOSTD_FEED_H_
#define SRC_HOSTD_FEED_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "src/link.h"
#include "src/unit_type.h"

namespace dogwood {

struct host_state;

/** Whether the host has to read the store itself at `now`. */
auto ReadsStore(const host_state& host, time_point now) -> bool;

/** Runs the loop that asks other hosts. */
auto FollowFeed(host_state& host) -> boost::asio::awaitable<void>;

/** Answers another host's query; waits for news if the request says so. */
auto AnswerView(host_state& host, wire::view_requestT request)
    -> boost::asio::awaitable<wire::view_replyT>;

/** What a host has from another one: asked for with this, the other host sends
 * only what is newer. */
struct feed_cursor {
  std::uint64_t source = 0;    ///< Process of the other host.
  std::uint64_t revision = 0;  ///< Of its registrations.
  /** Offset to which the answer led. A host that has read on by itself needs
   * all registrations: the other one may have gone over what this one read. */
  log_offset reached;
  /** Of its evacuations. Each answer lists them all, so this only tells the
   * other host when there is news. */
  std::uint64_t evacuation_revision = 0;
};

/** Returns the query for what another host knows beyond `cursor`. */
auto MakeViewRequest(const host_state& host, const feed_cursor& cursor)
    -> wire::view_requestT;

/** Applies what another host knows, where it is newer. `cursor` advances only
 * if the registrations of the answer were applied, since the other host sends
 * no change twice. */
auto ApplyPeerView(host_state& host,
                   const wire::view_replyT& reply,
                   feed_cursor& cursor) -> void;

/** Returns the link addresses of configured peers and members, without this
 * host. */
auto PeerAddresses(const host_state& host) -> std::vector<std::string>;

}  // namespace dogwood

#endif  // SRC_HOSTD_FEED_H_
