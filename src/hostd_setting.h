/** Settings of dogwood_hostd. */
#ifndef SRC_HOSTD_SETTING_H_
#define SRC_HOSTD_SETTING_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/batch.h"
#include "src/error_type.h"
#include "src/setting.h"
#include "src/unit_type.h"

namespace dogwood {

/** Validated settings of dogwood_hostd, in typed form. */
struct hostd_options {
  host_id host;                ///< Name of this host.
  data_centre_id data_centre;  ///< Data centre of this host.
  region_id region;            ///< Region of this host.
  /** Every data centre with its region. */
  std::map<data_centre_id, region_id> data_centres;
  boost::asio::ip::tcp::endpoint front;  ///< Listens for callers' requests.
  /** Listens for the platform's readiness checks. */
  boost::asio::ip::tcp::endpoint ready;
  /** Listens for callers' requests for addresses. */
  boost::asio::ip::tcp::endpoint directory;
  boost::asio::ip::tcp::endpoint link;  ///< Listens for links of other hosts.
  boost::asio::ip::tcp::endpoint metrics;  ///< Serves metrics.
  boost::asio::ip::tcp::endpoint store;    ///< Address of the platform's store.
  deployment_features features;    ///< What the deployment has asked for.
  std::vector<std::string> peers;  ///< Link addresses of some hosts.
  std::string secret;              ///< Shared secret of the links.
  std::string log_levels;          ///< See StartLog().
  double processor_share = 0;      ///< Cores available to the host.
  std::uint32_t partitions_per_topic = 1;  ///< Partitions of each topic.
  append_limits store_limits;              ///< Sizes that the store accepts.
  /** Lifetime of a membership without renewal. */
  std::chrono::milliseconds member_life{};
  /** Lifetime of an address list at callers. */
  std::chrono::milliseconds address_keep{};
  /** Time from SIGTERM to the platform's kill. */
  std::chrono::milliseconds drain_limit{};
  /** Retention of results after a job's submission. */
  std::chrono::milliseconds result_retention{};
};

/** Returns the table of settings. */
auto HostdSettings() -> setting_table;

/** Validates and converts the values. Fails with kBadRequest. */
auto ReadHostdOptions(const setting_values& values) -> outcome<hostd_options>;

}  // namespace dogwood

#endif  // SRC_HOSTD_SETTING_H_
