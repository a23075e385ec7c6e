/** HTTP interface for operators, health checks and metrics. */
#ifndef SRC_CONTROLD_HTTP_H_
#define SRC_CONTROLD_HTTP_H_

#include <boost/asio/awaitable.hpp>

#include "src/controld_base.h"
#include "src/http.h"

namespace dogwood {

/** Handles one HTTP request. Health checks and metrics need no token; all other
 * paths require the token of an operator. */
auto ServeOperator(controld& c, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_HTTP_H_
