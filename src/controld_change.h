/** Configuration changes by operators: validated, appended to the log, read
 * back and acknowledged. */
#ifndef SRC_CONTROLD_CHANGE_H_
#define SRC_CONTROLD_CHANGE_H_

#include <boost/asio/awaitable.hpp>

#include "src/controld_base.h"

namespace dogwood {

/** A change that every serving host has applied. */
struct accepted_change {
  log_offset offset;          ///< Offset of its record in the log.
  std::uint64_t version = 0;  ///< New version of the changed node.
  bool early = false;         ///< Attestations ended the wait before its limit.
};

/** Makes one change. Returns once every host has applied it or has stopped
 * serving. Fails with kBadRequest, kConflict or kUnavailable; with ran=no if
 * nothing was changed, with ran=maybe if the outcome is unknown. */
auto MakeChange(controld& c, config_change change)
    -> boost::asio::awaitable<outcome<accepted_change>>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_CHANGE_H_
