/** How controld follows the stream "config": from its ancestors or the log. */
#ifndef SRC_CONTROLD_PULL_H_
#define SRC_CONTROLD_PULL_H_

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "src/controld_base.h"

namespace dogwood {

/** Loads the newest snapshot in the retained range, or the range itself.
 * Retries until it has reached the end of the log. */
auto LoadConfig(controld& c) -> boost::asio::awaitable<void>;

/** Follows the stream for ever; started after LoadConfig(). */
auto FollowConfig(controld& c) -> boost::asio::awaitable<void>;

/** Asks `peer` once for the records from the next offset on. Confirms the own
 * membership if the answer shows that the peer knows of it. Does not apply
 * records. `up` is the vouch to send along, only to ancestors: a vouch that
 * comes back to its sender would make that one's next vouch look old. */
auto AskPeer(controld& c,
             const member& peer,
             std::optional<attestation> up,
             time_point deadline)
    -> boost::asio::awaitable<outcome<wire::tail_replyT>>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_PULL_H_
