/** Synchronisation of a host's state from the store. */
#ifndef SRC_HOSTD_WATCH_H_
#define SRC_HOSTD_WATCH_H_

#include <boost/asio/awaitable.hpp>

namespace dogwood {

struct host_state;

/** Starts the loops that follow the declared state, the registrations of
 * servers and the membership, and that query peers. */
auto StartWatching(host_state& host) -> void;

/** Closes the links to hosts that are neither members nor configured peers. */
auto PruneLinks(host_state& host) -> void;

/** Gives up membership, so that other hosts take over the partitions of this
 * host. */
auto LeaveFleet(host_state& host) -> boost::asio::awaitable<void>;

/** As a host that has left: follows the members until the process ends, so that
 * its open requests go to the dispatcher of the others. Hosts that get the view
 * from other hosts need no calls. */
auto FollowMembersAfterLeaving(host_state& host)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_HOSTD_WATCH_H_
