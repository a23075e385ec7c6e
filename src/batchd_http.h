/** Health, readiness and metrics of dogwood_batchd over HTTP. */
#ifndef SRC_BATCHD_HTTP_H_
#define SRC_BATCHD_HTTP_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/batchd_base.h"
#include "src/http.h"

namespace dogwood {

/** Handles a request for /healthz, /readyz or /metrics; 404 otherwise. */
auto ServeHealth(batchd& d, http_exchange& exchange)
    -> boost::asio::awaitable<void>;

/** Returns all metrics in the Prometheus text format. */
auto PrintMetrics(batchd& d) -> std::string;

}  // namespace dogwood

#endif  // SRC_BATCHD_HTTP_H_
