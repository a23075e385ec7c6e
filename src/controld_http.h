/** The operator interface. */
#ifndef SRC_CONTROLD_HTTP_H_
#define SRC_CONTROLD_HTTP_H_

#include <boost/asio/awaitable.hpp>

#include "src/controld_base.h"
#include "src/http.h"

namespace dogwood {

/** Answers one request of an operator, a health check or a metrics reader. */
auto ServeOperator(controld& c, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_HTTP_H_
