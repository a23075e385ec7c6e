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

/** The settings table of dogwood_controld. */
auto ControldSettingTable() -> setting_table;

/** Who may use the operator interface. */
struct operator_entry {
  std::string name;        ///< Name in the audit trail.
  std::string token_hash;  ///< SHA-256 of the token, 64 hex digits.
};

/** Checked settings, converted to the types that the daemon uses. */
struct controld_settings {
  member self;                                   ///< This host's join record.
  region_id log_region;                          ///< Where the log is.
  boost::asio::ip::tcp::endpoint platform;       ///< The platform.
  boost::asio::ip::tcp::endpoint operators;      ///< Operator HTTP.
  boost::asio::ip::tcp::endpoint control_link;   ///< Link of this daemon.
  std::string secret;                            ///< Shared secret.
  std::vector<operator_entry> operator_entries;  ///< Who may change things.
  std::chrono::milliseconds freshness_limit;     ///< Oldest usable proof.
  std::chrono::milliseconds pull_interval;       ///< Between pulls.
  std::chrono::milliseconds pull_timeout;        ///< For one pull.
  std::chrono::milliseconds append_timeout;      ///< For one try.
  std::chrono::milliseconds change_timeout;      ///< For all tries.
  std::chrono::milliseconds loss_after;          ///< Until a host is lost.
  std::chrono::milliseconds drain_limit;         ///< For a planned stop.
  std::chrono::seconds snapshot_every;           ///< Between snapshots.
  std::uint64_t snapshot_every_records = 0;      ///< Between snapshots.
  std::size_t kept_records = 0;                  ///< In memory.
  unsigned worker_threads = 1;                   ///< Of the worker pool.
};

/** Converts checked values. Fails with kBadRequest naming the setting. */
auto ToControldSettings(const setting_values& values)
    -> outcome<controld_settings>;

}  // namespace dogwood

#endif  // SRC_CONTROLD_SETTING_H_
