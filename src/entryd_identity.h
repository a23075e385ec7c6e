/** Who a caller is. */
#ifndef SRC_ENTRYD_IDENTITY_H_
#define SRC_ENTRYD_IDENTITY_H_

#include <string>

#include "src/core.h"
#include "src/http.h"

namespace dogwood {

struct entry_state;

/** A caller whose key was valid, or one without a key on an open route. */
struct caller {
  workspace_id workspace;       ///< Empty without a key.
  std::string key;              ///< The key as sent; never logged.
  std::string key_hash;         ///< SHA-256 of the key, hex.
  std::string workspace_class;  ///< Label of latency histograms.
};

/** The caller of a request. Fails with kUnavailable if the proof is not fresh
 * and with kUnauthorized if the key is missing, unknown or withdrawn, both
 * ran=no. `may_be_open`: a request without any key passes. */
auto Identify(const entry_state& state,
              const http_request& request,
              bool may_be_open) -> outcome<caller>;

/** Whether the caller may still be served now; failures as of Identify(). */
auto CheckStillValid(const entry_state& state, const caller& who)
    -> outcome<void>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_IDENTITY_H_
