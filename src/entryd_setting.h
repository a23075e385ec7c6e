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

/** Checked settings in the types that the daemon uses. */
struct entry_options {
  host_id host;                                     ///< This host.
  route_place place;                                ///< Where it is.
  std::string entry_address;                        ///< Callers' HTTP.
  boost::asio::ip::tcp::endpoint entry_endpoint;    ///< The same, parsed.
  boost::asio::ip::tcp::endpoint link_endpoint;     ///< Grants.
  boost::asio::ip::tcp::endpoint control_endpoint;  ///< Link of controld.
  std::string batchd_link;                          ///< Link of batchd.
  boost::asio::ip::tcp::endpoint platform;          ///< The platform.
  std::string secret;                               ///< Of the links.
  unsigned worker_threads = 2;                      ///< Threads.
  http_limits limits;                               ///< Of callers' requests.
  std::size_t answer_buffer_bytes = 0;     ///< Whole answers up to this.
  std::chrono::milliseconds connect{};     ///< To connect to a server.
  std::chrono::milliseconds first_byte{};  ///< To the first byte of an answer.
  std::chrono::milliseconds whole_answer{};       ///< The same, not streamed.
  std::chrono::milliseconds reused_first_byte{};  ///< On idle connections.
  std::chrono::milliseconds between_bytes{};      ///< Silence within an answer.
  std::chrono::milliseconds total{};              ///< A whole request.
  std::chrono::milliseconds recheck{};            ///< Of key and freshness.
  std::chrono::milliseconds pool_idle{};          ///< Age of idle connections.
  std::size_t pool_per_server = 0;                ///< Idle connections.
  std::chrono::milliseconds freshness_limit{};    ///< Age of the proof.
  std::chrono::milliseconds pull_interval{};      ///< From controld.
  limit_mode mode = limit_mode::kDemandShares;    ///< How limits are shared.
  std::chrono::milliseconds limit_wait{};         ///< For a grant.
  std::chrono::milliseconds owner_wait{};         ///< For an owner that acts.
  std::chrono::milliseconds request_interval{};   ///< Between asks.
  std::chrono::milliseconds grant_ttl{};          ///< Of tokens.
  std::string policy;                             ///< Choice of servers.
  std::uint32_t affinity_slack = 0;               ///< Requests.
  std::size_t prefix_bytes = 0;                   ///< Hashed for affinity.
  route_limits route;                             ///< Back-off, report life.
  unsigned max_attempts = 1;                      ///< Of one request.
  double retry_share = 0;                         ///< Retries per request.
  double retry_burst = 0;                         ///< Retries at once.
  std::chrono::milliseconds host_poll_interval{};  ///< Of the host list.
  std::chrono::milliseconds load_poll_interval{};  ///< Of the servers' load.
  std::size_t load_poll_servers = 0;               ///< Polled in one period.
  std::chrono::milliseconds batch_call{};          ///< To batchd.
  std::chrono::milliseconds address_keep{};        ///< Callers keep addresses.
  std::size_t address_count = 0;                   ///< Addresses in an answer.
  std::chrono::milliseconds drain_limit{};         ///< For active requests.
};

/** The table of settings. */
auto EntrySettings() -> setting_table;

/** Options of checked settings. Fails with kBadRequest on a bad address. */
auto ReadEntryOptions(const setting_values& values) -> outcome<entry_options>;

}  // namespace dogwood

#endif  // SRC_ENTRYD_SETTING_H_
