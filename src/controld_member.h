/** Membership of this host, and of the hosts that it watches. */
#ifndef SRC_CONTROLD_MEMBER_H_
#define SRC_CONTROLD_MEMBER_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/controld_base.h"

namespace dogwood {

/** Joins, and joins again when the log says that this host was lost. Runs for
 * ever, beside FollowConfig(). */
auto KeepJoined(controld& c) -> boost::asio::awaitable<void>;

/** Appends a member record about `host` in its start `start`; `kind` as in
 * MemberRecord(). */
auto AppendMemberRecord(controld& c,
                        std::string kind,
                        host_id host,
                        incarnation start,
                        time_point deadline)
    -> boost::asio::awaitable<outcome<void>>;

/** Planned stop: drains, waits for the local daemons, leaves. */
auto LeaveFleet(controld& c) -> boost::asio::awaitable<void>;

/** Declares children lost that are found gone. Runs for ever. */
auto WatchMembers(controld& c) -> boost::asio::awaitable<void>;

/** Drains this host while one of its daemons is dead: it would otherwise stay
 * owner of limits, partitions and servers that nobody looks after. KeepJoined()
 * joins again once they are back. */
auto DrainWithoutDaemons(controld& c) -> boost::asio::awaitable<void>;

/** Appends snapshots while this host is the first member. Runs for ever. */
auto KeepSnapshots(controld& c) -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_MEMBER_H_
