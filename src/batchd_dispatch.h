/** Sending of items from the partitions of this host to servers' admitters. */
#ifndef SRC_BATCHD_DISPATCH_H_
#define SRC_BATCHD_DISPATCH_H_

#include <boost/asio/awaitable.hpp>
#include <vector>

#include "src/batchd_base.h"

namespace dogwood {

/** Sends items whenever a server may have room, for ever. */
auto DispatchItems(batchd& d) -> boost::asio::awaitable<void>;

/** Makes DispatchItems() look now; from any thread. */
auto KickDispatch(batchd& d) -> void;

/** Aborts items in flight whose outcome is not wanted any more. */
auto AbortItems(batchd& d,
                partition_slot& slot,
                const std::vector<item_ref>& items) -> void;

/** Items of this host's partitions in flight. */
auto ItemsInFlight(batchd& d) -> std::size_t;

}  // namespace dogwood

#endif  // SRC_BATCHD_DISPATCH_H_
