/** State that the parts of dogwood_controld share. */
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

/** A pull of another daemon that was answered here. */
struct answered_pull {
  log_offset from;  ///< It had applied the records before.
  time_point at;    ///< When the request arrived.
};

/** Who pulled here last. Thread-safe. */
class pull_table {
 public:
  /** Notes a pull. */
  auto Note(const link_peer& peer, log_offset from, time_point now) -> void;
  /** When controld of `host` last pulled, min() if never. */
  auto LastPull(const host_id& host) const -> time_point;
  /** All, by "host/daemon". */
  auto All() const -> std::map<std::string, answered_pull>;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, answered_pull> pulls_;
};

/** A reply that was received, to be echoed. */
struct received_reply {
  std::uint64_t start = 0;     ///< Start of the sender.
  std::uint64_t stamp_us = 0;  ///< Clock of the sender.
  time_point arrived;          ///< When it was received.
};

/** The last replies of other hosts, by control link. Thread-safe. */
class reply_table {
 public:
  /** Notes the newest reply. */
  auto Note(const std::string& address, const received_reply& reply) -> void;
  /** The newest reply. */
  auto Find(const std::string& address) const -> std::optional<received_reply>;
  /** When it arrived, min() if there was none. */
  auto LastAnswer(const std::string& address) const -> time_point;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, received_reply> replies_;
};

/** The newest proof that a peer was given. */
struct given_proof {
  time_point as_of = time_point::min();  ///< As of when it held.
  time_point at = time_point::min();     ///< When it was given.
};

/** What was given to each peer, by "host/daemon". Thread-safe. */
class given_table {
 public:
  /** Notes a reply. */
  auto Note(const std::string& peer, const given_proof& given) -> void;
  /** The last reply; its times are min() if there was none. */
  auto Find(const std::string& peer) const -> given_proof;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, given_proof> given_;
};

/** What controld is doing with its membership. */
enum class serve_state {
  kServing,   ///< Joined or joining.
  kDraining,  ///< Planned stop; still answers its daemons and children.
  kStopped,   ///< Planned stop; answers nobody any more.
};

/** Everything that the coroutines of one controld share. */
struct controld {
  controld(boost::asio::io_context& io_context, controld_settings given);

  boost::asio::io_context& io;       ///< Runs everything.
  const controld_settings settings;  ///< Settings.
  const incarnation process_start;   ///< Start of this process, unix us.
  platform_client platform;          ///< Log and host list.
  config_replica replica;            ///< Configuration.
  freshness_tracker tracker;         ///< Proofs and vouches.
  record_store store;                ///< Records for other daemons.
  pull_table pulls;                  ///< Who pulls here.
  link_table peers;                  ///< Links to other hosts.
  given_table given;                 ///< Proofs given to peers.
  reply_table replies;               ///< Last replies of other hosts.
  seen_table seen;                   ///< Own records that are waited for.
  controld_metrics metrics;          ///< Metrics.
  record_appender appender;          ///< Appends own records.
  std::atomic<serve_state> state{serve_state::kServing};  ///< Planned stop.
  std::atomic<std::uint64_t> member_start{0};  ///< Start in the join record.
  /** Start in which this host drained itself for want of a local daemon. */
  std::atomic<std::uint64_t> self_drained{0};
  std::atomic<std::uint64_t> snapshot_at{0};  ///< as_of of the newest snapshot.
  std::atomic<std::uint64_t> log_first{0};    ///< Oldest retained offset.
};

/** Offset of the first record that is not applied. */
auto NextOffset(const controld& c) -> log_offset;

/** Members in member order. */
auto MembersOf(const controld& c) -> std::vector<member>;

/** Applies records from the log or from another host, whose next record is at
 * `known_end`; updates store, tracker and watched records. A run that starts
 * beyond the next offset is one snapshot. Called by one coroutine only. */
auto TakeRecords(controld& c, const record_run& run, log_offset known_end)
    -> void;

/** Unix time in microseconds. */
auto UnixMicroseconds() -> std::uint64_t;

/** Microseconds as messages have them; 0 for negative lengths. */
auto MicrosecondsOf(duration length) -> std::uint64_t;

/** Length of a message's microseconds; huge values become a century. */
auto DurationOf(std::uint64_t us) -> duration;

/** Logs a failure. */
auto LogFailure(log_level level, log_category category, const failure& error)
    -> void;

}  // namespace dogwood

#endif  // SRC_CONTROLD_BASE_H_
