/** State shared by the coroutines of dogwood_controld. */
#ifndef SRC_CONTROLD_BASE_H_
#define SRC_CONTROLD_BASE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/config.h"
#include "src/controld_append.h"
#include "src/controld_metric.h"
#include "src/controld_setting.h"
#include "src/controld_store.h"
#include "src/core.h"
#include "src/freshness.h"
#include "src/link.h"
#include "src/net.h"
#include "src/platform.h"
#include "src/replica_base.h"

namespace dogwood {

/** The latest pull by another daemon. */
struct answered_pull {
  log_offset from;  ///< The daemon had applied all records before this offset.
  time_point at;    ///< When the request arrived.
};

/** The latest pull of each daemon that pulls from this host. Thread-safe. */
class pull_table {
 public:
  auto Record(const link_peer& peer, log_offset from, time_point now) -> void;
  /** When controld of `host` last pulled, time_point::min() if never. */
  auto LastPullTime(const host_id& host) const -> time_point;
  /** The latest pulls by "host/daemon". */
  auto All() const -> std::map<std::string, answered_pull>;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, answered_pull> pulls_;
};

/** Time stamps of a received reply, to be echoed in the next request. */
struct received_reply {
  std::uint64_t start = 0;     ///< Process start of the sender, unix us.
  std::uint64_t stamp_us = 0;  ///< Monotonic clock of the sender.
  time_point arrived;          ///< When the reply was received.
};

/** The latest reply of each host, by control link. Thread-safe. */
class reply_table {
 public:
  auto Record(const std::string& address, const received_reply& reply) -> void;
  /** The latest reply from `address`, nothing if there was none. */
  auto Find(const std::string& address) const -> std::optional<received_reply>;
  /** When the latest reply arrived, time_point::min() if there was none. */
  auto LastReplyTime(const std::string& address) const -> time_point;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, received_reply> replies_;
};

/** The latest freshness proof sent to a peer. */
struct sent_proof {
  time_point as_of = time_point::min();  ///< Time for which the proof holds.
  time_point at = time_point::min();     ///< When the proof was sent.
};

/** The latest proof sent to each peer, by "host/daemon". Thread-safe. */
class sent_proof_table {
 public:
  auto Record(const std::string& peer, const sent_proof& proof) -> void;
  /** The latest proof; its times are time_point::min() if there was none. */
  auto Find(const std::string& peer) const -> sent_proof;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, sent_proof> proofs_;
};

/** Phase of the daemon from normal service to the end of a planned stop. */
enum class serve_state {
  kServing,   ///< The host is joined or joining.
  kDraining,  ///< Planned stop: local daemons and children are still answered.
  kStopped,   ///< Planned stop: all tail requests are refused.
};

/** State shared by the coroutines of one controld. */
struct controld {
  controld(boost::asio::io_context& io_context,
           controld_settings loaded_settings);

  boost::asio::io_context& io;  ///< Runs all coroutines.
  const controld_settings settings;
  const incarnation process_start;  ///< Start of this process, unix us.
  platform_client platform;         ///< Access to the log and the host list.
  config_replica replica;           ///< Local replica of the configuration.
  freshness_tracker tracker;        ///< Freshness proofs and attestations.
  record_store store;               ///< Records served to other daemons.
  pull_table pulls;                 ///< Daemons that pull from this host.
  link_table peers;                 ///< Links to other hosts.
  sent_proof_table sent_proofs;     ///< Proofs sent to peers.
  reply_table replies;              ///< Latest replies of other hosts.
  own_record_table own_records;     ///< Own records whose outcome is awaited.
  controld_metrics metrics;
  record_appender appender;  ///< Appends the records of this host.
  std::atomic<serve_state> state{serve_state::kServing};
  /** Incarnation in the latest join record of this host. */
  std::atomic<std::uint64_t> member_incarnation{0};
  /** Incarnation that was drained because a local daemon stopped pulling; 0 if
   * none. */
  std::atomic<std::uint64_t> drained_incarnation{0};
  std::atomic<std::uint64_t> snapshot_at{0};  ///< as_of of the newest snapshot.
  std::atomic<std::uint64_t> log_first{0};    ///< Oldest retained offset.
};

/** Offset of the first record that is not applied yet. */
auto NextOffset(const controld& c) -> log_offset;

/** The members in member order (by region, then host name). */
auto MembersOf(const controld& c) -> std::vector<member>;

/** Applies records read from the log or from another host; `known_end` is the
 * next offset of that source. Updates the record store, the freshness tracker
 * and the watched records. A run that starts beyond the next offset must be a
 * single snapshot. Must be called by one coroutine only. */
auto ApplyFetchedRecords(controld& c,
                         const record_run& run,
                         log_offset known_end) -> void;

/** The current Unix time in microseconds. */
auto UnixMicroseconds() -> std::uint64_t;

/** Converts to the microseconds of wire messages; negative durations become
 * 0. */
auto ToMicroseconds(duration length) -> std::uint64_t;

/** Converts the microseconds of a wire message; values above 100 years become
 * 100 years, so that the duration cannot overflow. */
auto FromMicroseconds(std::uint64_t us) -> duration;

auto LogFailure(log_level level, log_category category, const failure& error)
    -> void;

}  // namespace dogwood

#endif  // SRC_CONTROLD_BASE_H_
