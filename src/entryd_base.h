/** State shared by the parts of dogwood_entryd. */
#ifndef SRC_ENTRYD_BASE_H_
#define SRC_ENTRYD_BASE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "src/core.h"
#include "src/entryd_backend.h"
#include "src/entryd_metric.h"
#include "src/entryd_setting.h"
#include "src/limit.h"
#include "src/link.h"
#include "src/platform.h"
#include "src/replica.h"
#include "src/route.h"

namespace dogwood {

class grant_exchange;
class online_reporter;

/** State shared by request handlers and background loops. Every member is
 * thread-safe. */
struct entry_state {
  entry_state(boost::asio::io_context& context, entry_options settings);
  ~entry_state();

  boost::asio::io_context& io;
  const entry_options options;
  config_replica replica;    ///< Local copy of the configuration and its proof.
  limit_share_table shares;  ///< Rate limit tokens granted to this host.
  limit_owner_table owned_limits;  ///< Token buckets of owned limits.
  server_table servers;  ///< Backend servers, their load and routing state.
  retry_budget retries;
  entry_metrics metrics;
  backend_pool pool;  ///< Idle connections to backend servers.
  link_table links;   ///< Links to other daemons.
  std::unique_ptr<grant_exchange> grants;    ///< Token grants, both sides.
  std::unique_ptr<online_reporter> reports;  ///< Load reports to admitters.
  std::atomic<bool> draining{false};         ///< A planned stop has started.
  std::atomic<bool> has_servers{false};      ///< A host list has been received.
};

/** Wall clock time in ms since the Unix epoch. Only for values shown to
 * callers; deadlines use the steady clock. */
auto UnixMs() -> std::int64_t;

}  // namespace dogwood

#endif  // SRC_ENTRYD_BASE_H_
