/** Dispatch of items from the partitions that this host owns to the admitters
 * of backend servers. */
#ifndef SRC_BATCHD_DISPATCH_H_
#define SRC_BATCHD_DISPATCH_H_

#include <boost/asio/awaitable.hpp>
#include <vector>

#include "src/batchd_base.h"

namespace dogwood {

/** Dispatch loop: sends items while servers may have free slots. Never
 * returns. */
auto DispatchItems(batchd& d) -> boost::asio::awaitable<void>;

/** Makes DispatchItems() run its next pass without delay. Thread-safe. */
auto TriggerDispatch(batchd& d) -> void;

/** Aborts items in flight whose outcome is no longer needed. */
auto AbortItems(batchd& d,
                partition_slot& slot,
                const std::vector<item_ref>& items) -> void;

/** Returns the number of items in flight of this host's partitions. */
auto ItemsInFlight(batchd& d) -> std::size_t;

}  // namespace dogwood

#endif  // SRC_BATCHD_DISPATCH_H_
