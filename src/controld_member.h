/** Membership of this host, and failure detection for other hosts. */
#ifndef SRC_CONTROLD_MEMBER_H_
#define SRC_CONTROLD_MEMBER_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/controld_base.h"

namespace dogwood {

/** Joins the fleet, and joins again when this host was declared lost or drained
 * itself. Runs concurrently with FollowConfig() until a planned stop. */
auto MaintainMembership(controld& c) -> boost::asio::awaitable<void>;

/** Appends a member record for incarnation `start` of `host`; `kind` as in
 * MemberRecord(). */
auto AppendMemberRecord(controld& c,
                        std::string kind,
                        host_id host,
                        incarnation start,
                        time_point deadline)
    -> boost::asio::awaitable<outcome<void>>;

/** Planned stop: drains this host, waits for the local daemons, leaves the
 * fleet. */
auto LeaveFleet(controld& c) -> boost::asio::awaitable<void>;

/** Watches other hosts and declares those lost whose controld has ended. Never
 * returns. */
auto WatchMembers(controld& c) -> boost::asio::awaitable<void>;

/** Drains this host when one of its required daemons has stopped pulling. It
 * would otherwise keep owning limits, partitions and servers that no process
 * serves. MaintainMembership() joins again once all are back. Returns on a
 * planned stop. */
auto DrainOnDaemonLoss(controld& c) -> boost::asio::awaitable<void>;

/** Appends snapshots while this host is first in member order. Never returns.
 */
auto MaintainSnapshots(controld& c) -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_MEMBER_H_
