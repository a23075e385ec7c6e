/** Authentication of callers. */
#ifndef SRC_ENTRYD_IDENTITY_H_
#define SRC_ENTRYD_IDENTITY_H_

#include <string>

#include "src/core.h"
#include "src/http.h"

namespace dogwood {

struct entry_state;

/** An authenticated caller, or a caller without a key on an open route. */
struct caller {
  workspace_id workspace;       ///< Empty without a key.
  std::string key;              ///< The key as sent; must never be logged.
  std::string key_hash;         ///< SHA-256 of the key in hex.
  std::string workspace_class;  ///< Label of latency histograms.
};

/** Authenticates the caller of a request. Fails with kUnavailable if the
 * configuration's proof is not fresh and with kUnauthorized if the key is
 * missing, unknown or withdrawn, both with ran=no. If `may_be_open` is set, a
 * request without credentials is accepted. */
auto Identify(const entry_state& state,
              const http_request& request,
              bool may_be_open) -> outcome<caller>;

/** Checks again whether the caller may be served; fails as Identify() does,
 * and also if the key now belongs to another workspace. */
auto CheckStillValid(const entry_state& state, const caller& who)
    -> outcome<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_IDENTITY_H_
