/** Settings of dogwood_hostd. */
#ifndef SRC_HOSTD_SETTING_H_
#define SRC_HOSTD_SETTING_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/error_type.h"
#include "src/setting.h"
#include "src/unit_type.h"

namespace dogwood {

/** Checked settings in their types. */
struct hostd_options {
  host_id host;                                      ///< Name of this host.
  data_centre_id data_centre;                        ///< Where it is.
  region_id region;                                  ///< Where it is.
  std::map<data_centre_id, region_id> data_centres;  ///< All data centres.
  boost::asio::ip::tcp::endpoint front;              ///< Callers' requests.
  boost::asio::ip::tcp::endpoint ready;              ///< Readiness.
  boost::asio::ip::tcp::endpoint directory;          ///< Callers' questions for
                                                     ///< addresses.
  boost::asio::ip::tcp::endpoint link;               ///< Links of other hosts.
  boost::asio::ip::tcp::endpoint metrics;            ///< Metrics.
  boost::asio::ip::tcp::endpoint store;              ///< The platform's store.
  std::vector<std::string> peers;                    ///< Links of some hosts.
  std::string secret;                        ///< Shared secret of the links.
  std::string log_levels;                    ///< See StartLog().
  double processor_share = 0;                ///< Cores that the host has.
  std::uint32_t partitions_per_topic = 1;    ///< Partitions of a topic.
  std::size_t record_bytes = 0;              ///< Longest record of the store.
  std::size_t append_bytes = 0;              ///< Longest append.
  std::chrono::milliseconds member_life{};   ///< Of a membership.
  std::chrono::milliseconds address_keep{};  ///< Of an answer with addresses.
  std::chrono::milliseconds drain_limit{};   ///< From SIGTERM to the end.
  std::chrono::milliseconds result_retention{};  ///< Of results of batch jobs.
};

/** The table of settings. */
auto HostdSettings() -> setting_table;

/** The values in their types. Fails with kBadRequest. */
auto ReadHostdOptions(const setting_values& values) -> outcome<hostd_options>;

}  // namespace dogwood

#endif  // SRC_HOSTD_SETTING_H_
