/** What a host learns from the store and, while the store does not answer it,
 * from other hosts. */
#ifndef SRC_HOSTD_WATCH_H_
#define SRC_HOSTD_WATCH_H_

#include <boost/asio/awaitable.hpp>

#include "src/link.h"

namespace dogwood {

struct host_state;

/** Starts the loops that follow the declared state, the registrations of the
 * servers and the members. */
auto StartWatching(host_state& host) -> void;

/** Ends the links to hosts that are neither members nor named as peers. */
auto KeepLinks(host_state& host) -> void;

/** Gives up membership, so that others take over what this host owns. */
auto LeaveFleet(host_state& host) -> boost::asio::awaitable<void>;

/** Tells another host what this one knows. */
auto AnswerView(const host_state& host, const wire::view_requestT& request)
    -> wire::view_replyT;

}  // namespace dogwood

#endif  // SRC_HOSTD_WATCH_H_
