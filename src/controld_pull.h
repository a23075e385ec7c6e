/** Replication of the stream "config" from the ancestors or the log. */
#ifndef SRC_CONTROLD_PULL_H_
#define SRC_CONTROLD_PULL_H_

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "src/controld_base.h"

namespace dogwood {

/** Loads the newest retained snapshot and the records after it. Retries until
 * the replica has reached the end of the log. */
auto LoadConfig(controld& c) -> boost::asio::awaitable<void>;

/** Follows the stream; to be started after LoadConfig(). Never returns. */
auto FollowConfig(controld& c) -> boost::asio::awaitable<void>;

/** Requests the records from the next offset on from `peer`, once, without
 * applying them. Confirms the membership of this host if the reply shows that
 * the peer has applied its join. `up` is the attestation to send; it must only
 * be sent to ancestors: an attestation that returns to its sender would make
 * the next one of that sender look old. */
auto PullFromPeer(controld& c,
                  const member& peer,
                  std::optional<attestation> up,
                  time_point deadline)
    -> boost::asio::awaitable<outcome<wire::tail_replyT>>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_PULL_H_
