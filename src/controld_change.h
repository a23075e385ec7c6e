/** Operators' changes: tested, appended, read back, accepted. */
#ifndef SRC_CONTROLD_CHANGE_H_
#define SRC_CONTROLD_CHANGE_H_

#include <boost/asio/awaitable.hpp>

#include "src/controld_base.h"

namespace dogwood {

/** A change that is in force everywhere, or refused. */
struct accepted_change {
  log_offset offset;          ///< Where it is in the log.
  std::uint64_t version = 0;  ///< New version of the node.
  bool early = false;         ///< By a vouch, before the wait was over.
};

/** Makes one change. Returns when every host has applied it or no longer
 * serves. Failures: kBadRequest, kConflict, kUnavailable with ran=no if
 * nothing was changed, with ran=maybe if that is not known. */
auto MakeChange(controld& c, config_change change)
    -> boost::asio::awaitable<outcome<accepted_change>>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_CHANGE_H_
