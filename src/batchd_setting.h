/** Settings of dogwood_batchd. */
#ifndef SRC_BATCHD_SETTING_H_
#define SRC_BATCHD_SETTING_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "src/admission.h"
#include "src/error_type.h"
#include "src/job.h"
#include "src/setting.h"

namespace dogwood {

/** The settings table of dogwood_batchd. */
auto BatchdSettingTable() -> setting_table;

/** Checked settings, converted to the types that the daemon uses. */
struct batchd_settings {
  host_id host;                                        ///< This host.
  data_centre_id data_centre;                          ///< Where it is.
  region_id region;                                    ///< Where it is.
  boost::asio::ip::tcp::endpoint batch_link;           ///< Link of this daemon.
  boost::asio::ip::tcp::endpoint controld_link;        ///< The host's controld.
  boost::asio::ip::tcp::endpoint platform;             ///< The platform.
  std::optional<boost::asio::ip::tcp::endpoint> http;  ///< Health and metrics.
  std::string secret;                                  ///< Shared secret.
  unsigned worker_threads = 1;                         ///< Of the worker pool.
  std::uint32_t partitions = 1;                        ///< Streams jobs-P.
  any_admission_policy admission;                      ///< batch_policy.
  owner_policy owner;                                  ///< Of each partition.
  job_limits limits;                                   ///< Of submissions.
  std::size_t body_bytes = 0;                          ///< Longest submission.
  std::chrono::milliseconds append_period;             ///< Between appends.
  std::chrono::milliseconds store_timeout;             ///< Of one store call.
  std::chrono::milliseconds submit_timeout;            ///< For durability.
  std::chrono::milliseconds item_deadline;             ///< Of one attempt.
  std::chrono::milliseconds silence_limit;             ///< Of a server.
  std::chrono::milliseconds freshness_limit;           ///< Oldest usable proof.
  std::chrono::milliseconds pull_interval;             ///< From controld.
  std::chrono::milliseconds host_poll_interval;        ///< Of the host list.
  std::chrono::milliseconds load_poll_interval;        ///< Of servers' load.
  std::chrono::milliseconds online_life;  ///< Of entry hosts' counts.
  std::chrono::milliseconds stop_limit;   ///< For a planned stop.
};

/** Converts checked values. Fails with kBadRequest naming the setting. */
auto ToBatchdSettings(const setting_values& values) -> outcome<batchd_settings>;

}  // namespace dogwood

#endif  // SRC_BATCHD_SETTING_H_
