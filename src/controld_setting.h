/** Settings of dogwood_controld. */
#ifndef SRC_CONTROLD_SETTING_H_
#define SRC_CONTROLD_SETTING_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/config_type.h"
#include "src/error_type.h"
#include "src/setting.h"

namespace dogwood {

/** Names, types, ranges and defaults of all settings. */
auto ControldSettingTable() -> setting_table;

/** An operator who may use the operator interface. */
struct operator_entry {
  std::string name;        ///< Name in the audit trail.
  std::string token_hash;  ///< SHA-256 of the token, 64 hex digits.
};

/** Validated settings, converted to the types that the daemon uses. */
struct controld_settings {
  /** Join record of this host; its incarnation is not set. */
  member self;
  /** Region of the platform's log. */
  region_id log_region;
  boost::asio::ip::tcp::endpoint platform;
  /** Listen address of the operator interface (HTTP). */
  boost::asio::ip::tcp::endpoint operators;
  /** Listen address for links. */
  boost::asio::ip::tcp::endpoint control_link;
  /** Secret shared by all daemons of the deployment. */
  std::string secret;
  std::vector<operator_entry> operator_entries;
  /** Maximum age of a proof on which daemons serve. */
  std::chrono::milliseconds freshness_limit;
  /** Interval between pulls from the parent. */
  std::chrono::milliseconds pull_interval;
  /** Timeout of one pull. */
  std::chrono::milliseconds pull_timeout;
  /** Timeout of one append attempt. */
  std::chrono::milliseconds append_timeout;
  /** Time limit for all append attempts of one change. */
  std::chrono::milliseconds change_timeout;
  /** How long a host must be found gone before it is declared lost. */
  std::chrono::milliseconds loss_after;
  /** How long a planned stop waits for the local daemons before it refuses
   * their tail requests. */
  std::chrono::milliseconds drain_limit;
  /** Time after which a snapshot is appended. */
  std::chrono::seconds snapshot_every;
  /** Number of records after which a snapshot is appended. */
  std::uint64_t snapshot_every_records = 0;
  /** Number of records kept in memory for hosts that are behind. */
  std::size_t kept_records = 0;
  /** Number of threads of the worker pool. */
  unsigned worker_threads = 1;
};

/** Converts parsed values. Fails with kBadRequest and a message that names the
 * setting. */
auto ToControldSettings(const setting_values& values)
    -> outcome<controld_settings>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_SETTING_H_
