/** State that the parts of dogwood_entryd share. */
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

/** Everything that handlers and loops share. Members are thread-safe. */
struct entry_state {
  entry_state(boost::asio::io_context& context, entry_options settings);
  ~entry_state();

  boost::asio::io_context& io;               ///< Runs everything.
  const entry_options options;               ///< Settings.
  config_replica replica;                    ///< Configuration and its proof.
  limit_share_table shares;                  ///< Tokens held here.
  limit_owner_table granters;                ///< Buckets owned here.
  server_table servers;                      ///< Backend servers.
  retry_budget retries;                      ///< Budget of retries.
  entry_metrics metrics;                     ///< Counters.
  backend_pool pool;                         ///< Idle connections.
  link_table links;                          ///< Links to other daemons.
  std::unique_ptr<grant_exchange> grants;    ///< Asks and answers.
  std::unique_ptr<online_reporter> reports;  ///< Reports to admitters.
  std::atomic<bool> draining{false};         ///< A planned stop has begun.
  std::atomic<bool> has_servers{false};      ///< A host list has come.
};

/** Time on the wall clock in ms, for callers only. */
auto UnixMs() -> std::int64_t;

}  // namespace dogwood

#endif  // SRC_ENTRYD_BASE_H_
