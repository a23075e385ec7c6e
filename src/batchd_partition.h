/** Partitions that this host owns: claim, read, append. */
#ifndef SRC_BATCHD_PARTITION_H_
#define SRC_BATCHD_PARTITION_H_

#include <boost/asio/awaitable.hpp>

#include "src/batchd_base.h"

namespace dogwood {

/** Claims the partition when this host becomes owner and resigns when it is
 * not owner any more, for ever. */
auto KeepOwnership(batchd& d, partition_slot& slot)
    -> boost::asio::awaitable<void>;

/** Reads the stream while the partition is claimed or owned, for ever. */
auto FollowStream(batchd& d, partition_slot& slot)
    -> boost::asio::awaitable<void>;

/** Appends what the owner has queued, one append at a time, for ever. */
auto AppendRecords(batchd& d, partition_slot& slot)
    -> boost::asio::awaitable<void>;

/** Whether nothing is left to append. */
auto IsFlushed(batchd& d) -> bool;

}  // namespace dogwood

#endif  // SRC_BATCHD_PARTITION_H_
