/** Settings of dogwood_entryd. */
#ifndef SRC_ENTRYD_SETTING_H_
#define SRC_ENTRYD_SETTING_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

#include "src/http.h"
#include "src/limit.h"
#include "src/route.h"
#include "src/setting.h"

namespace dogwood {

/** Validated settings of the daemon, converted to its types. */
struct entry_options {
  host_id host;                                   ///< This host.
  route_place place;                              ///< Location of this host.
  std::string entry_address;                      ///< HTTP for callers.
  boost::asio::ip::tcp::endpoint entry_endpoint;  ///< `entry_address`, parsed.
  boost::asio::ip::tcp::endpoint link_endpoint;   ///< For grants.
  boost::asio::ip::tcp::endpoint control_endpoint;  ///< Link of controld.
  std::string batchd_link;                          ///< Link of batchd.
  boost::asio::ip::tcp::endpoint platform;          ///< HTTP of the platform.
  std::string secret;                               ///< Authenticates links.
  unsigned worker_threads = 2;
  http_limits limits;  ///< For callers' requests.
  /** Responses without streaming are buffered up to this size. */
  std::size_t answer_buffer_bytes = 0;
  std::chrono::milliseconds connect_timeout{};  ///< To a backend server.
  /** For streams and services. */
  std::chrono::milliseconds first_byte_timeout{};
  /** For the first byte of a completion without streaming. */
  std::chrono::milliseconds complete_response_timeout{};
  /** For the first byte on a connection that was idle. */
  std::chrono::milliseconds reused_first_byte_timeout{};
  /** Between two parts of a response. */
  std::chrono::milliseconds between_bytes_timeout{};
  std::chrono::milliseconds total_timeout{};  ///< For all attempts together.
  /** Between checks of a running request. */
  std::chrono::milliseconds recheck_interval{};
  std::chrono::milliseconds pool_idle_ttl{};    ///< Of idle connections.
  std::size_t pool_per_server = 0;              ///< Idle connections.
  std::chrono::milliseconds freshness_limit{};  ///< Maximum age of the proof.
  std::chrono::milliseconds pull_interval{};    ///< From controld.
  limit_mode mode = limit_mode::kDemandShares;  ///< How limits are shared.
  /** Maximum wait for tokens while an owner of the limit acts. */
  std::chrono::milliseconds limit_wait_timeout{};
  /** Maximum wait for tokens while no host acts as owner of the limit. */
  std::chrono::milliseconds owner_wait_timeout{};
  std::chrono::milliseconds grant_request_interval{};
  std::chrono::milliseconds grant_ttl{};  ///< Of granted tokens.
  std::string policy;                     ///< Choice of backend servers.
  std::uint32_t affinity_slack = 0;       ///< In requests.
  std::size_t prefix_bytes = 0;           ///< Hashed start of the prompt.
  route_limits route;                     ///< Backoff and load report TTL.
  unsigned max_attempts = 1;              ///< For one request.
  double retry_share = 0;                 ///< Retries earned by each request.
  double retry_burst = 0;                 ///< Maximum of the retry budget.
  std::chrono::milliseconds host_poll_interval{};  ///< Of the host list.
  std::chrono::milliseconds load_poll_interval{};  ///< Of the servers' load.
  std::size_t load_poll_servers = 0;               ///< Servers per interval.
  std::chrono::milliseconds batch_call_timeout{};  ///< Of one batch daemon.
  std::chrono::milliseconds address_ttl{};    ///< Of /v1/addresses responses.
  std::size_t address_count = 0;              ///< In a /v1/addresses response.
  std::chrono::milliseconds drain_timeout{};  ///< For active requests.
};

/** Returns the table of settings. */
auto EntrySettings() -> setting_table;

/** Converts validated settings to options. Fails with kBadRequest if an address
 * cannot be parsed or there is no secret. */
auto ReadEntryOptions(const setting_values& values) -> outcome<entry_options>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_SETTING_H_
