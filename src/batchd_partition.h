/** Background coroutines of a partition: ownership, replay and appends. */
#ifndef SRC_BATCHD_PARTITION_H_
#define SRC_BATCHD_PARTITION_H_

#include <boost/asio/awaitable.hpp>

#include "src/batchd_base.h"

namespace dogwood {

/** Claims the partition when this host becomes its owner, and resigns when it
 * is no longer the owner. Never returns. */
auto MaintainOwnership(batchd& d, partition_slot& slot)
    -> boost::asio::awaitable<void>;

/** Replays the stream while the partition is claimed or owned. Never
 * returns. */
auto FollowStream(batchd& d, partition_slot& slot)
    -> boost::asio::awaitable<void>;

/** Appends the records that the owner has queued, one append at a time. Never
 * returns. */
auto AppendRecords(batchd& d, partition_slot& slot)
    -> boost::asio::awaitable<void>;

/** Returns whether no partition has records or results to append. */
auto IsFlushed(batchd& d) -> bool;

}  // namespace dogwood

#endif  // SRC_BATCHD_PARTITION_H_
