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

/** Returns the settings table of dogwood_batchd. */
auto BatchdSettingTable() -> setting_table;

/** Validated settings, converted to the types that the daemon uses. */
struct batchd_settings {
  host_id host;  ///< Name of this host.
  data_centre_id data_centre;
  region_id region;
  boost::asio::ip::tcp::endpoint batch_link;     ///< Listen address for links.
  boost::asio::ip::tcp::endpoint controld_link;  ///< The host's controld.
  boost::asio::ip::tcp::endpoint platform;  ///< HTTP address of the platform.
  /** Listen address for health and metrics; unset if disabled. */
  std::optional<boost::asio::ip::tcp::endpoint> http;
  std::string secret;              ///< Shared secret of links.
  unsigned worker_threads = 1;     ///< Size of the worker pool.
  std::uint32_t partitions = 1;    ///< Number of streams jobs-P.
  any_admission_policy admission;  ///< Setting batch_policy.
  owner_policy owner;              ///< Policy of each partition's owner.
  job_limits limits;               ///< Limits of a submission.
  std::size_t body_bytes = 0;      ///< Maximum bytes of a submission.
  std::chrono::milliseconds append_interval;  ///< Minimum time between appends.
  std::chrono::milliseconds store_timeout;    ///< Timeout of one store call.
  std::chrono::milliseconds submit_timeout;   ///< Timeout until durable.
  std::chrono::milliseconds item_deadline;    ///< Timeout of one attempt.
  std::chrono::milliseconds server_idle_timeout;  ///< Server without data.
  std::chrono::milliseconds freshness_limit;      ///< Maximum age of a proof.
  std::chrono::milliseconds
      pull_interval;  ///< Interval of pulls from controld.
  std::chrono::milliseconds
      host_poll_interval;  ///< Poll interval of the host list.
  std::chrono::milliseconds
      load_poll_interval;                ///< Poll interval of servers' load.
  std::chrono::milliseconds online_ttl;  ///< Lifetime of an online load report.
  std::chrono::milliseconds drain_timeout;  ///< Timeout of a planned stop.
};

/** Converts validated values. Fails with kBadRequest and the setting's name. */
auto ToBatchdSettings(const setting_values& values) -> outcome<batchd_settings>;

}  // namespace dogwood

#endif  // SRC_BATCHD_SETTING_H_
