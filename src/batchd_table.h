/** Shared tables of dogwood_batchd, each with one mutex. Lock order: partition,
 * admission, runs, then the others; none is held over a co_await. */
#ifndef SRC_BATCHD_TABLE_H_
#define SRC_BATCHD_TABLE_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/admission.h"
#include "src/job.h"
#include "src/link.h"

namespace dogwood {

/** A backend server of the host list. */
struct backend_server {
  server_id id;                             ///< Name.
  boost::asio::ip::tcp::endpoint endpoint;  ///< HTTP.
  region_id region;                         ///< Where it is.
  std::vector<std::string> targets;         ///< "model/M", "service/S".
  unsigned slots = 1;                       ///< Requests at once.
  bool leaving = false;                     ///< Gets no new items.
};

/** The host list's servers. Thread-safe. */
class server_table {
 public:
  /** Replaces all servers. */
  auto Set(std::vector<backend_server> servers) -> void;
  /** One server, nothing if it is not listed. */
  auto Find(const server_id& server) const -> std::optional<backend_server>;
  /** Servers that take items of `target`. */
  auto Serving(const std::string& target) const -> std::vector<backend_server>;
  /** All servers. */
  auto All() const -> std::vector<backend_server>;

 private:
  mutable std::mutex mutex_;
  std::map<server_id, backend_server> servers_;
};

/** How many items this host's partitions may have at each server. Grows with
 * each item that got a slot and with each result, falls to what runs when the
 * server has no room, and is tried one higher from time to time, so that room
 * that online requests leave is found while long items run. Thread-safe. */
class window_table {
 public:
  /** Takes a place at a server of `slots`; false if there is none now. */
  auto Begin(const server_id& server, unsigned slots, time_point now) -> bool;
  /** Grows the window by one, up to `slots`. */
  auto Grow(const server_id& server, unsigned slots) -> void;
  /** Gives a place back unused. */
  auto Cancel(const server_id& server) -> void;
  /** Ends an item. */
  auto End(const server_id& server,
           bool had_room,
           unsigned slots,
           time_point now) -> void;
  /** Sends nothing to a server for some time, which doubles each time. */
  auto Avoid(const server_id& server, time_point now) -> void;

 private:
  /** Window of one server. */
  struct window {
    unsigned in_flight = 0;  ///< Items at the server or its admitter.
    unsigned limit = 1;      ///< Most of them.
    unsigned failures = 0;   ///< In a row.
    time_point avoid_until;  ///< Nothing is sent before.
    time_point probe_at;     ///< One more than the limit is tried then.
  };

  std::mutex mutex_;
  std::map<server_id, window> windows_;
};

/** Where an item of one of this host's partitions was sent. */
struct flight {
  std::string request_id;  ///< Of the attempt.
  server_id server;        ///< Backend server.
  region_id region;        ///< Region of the server.
};

/** Items in flight by partition. Thread-safe. */
class flight_table {
 public:
  /** Notes where an item was sent. */
  auto Add(partition_id partition, const item_ref& item, flight to) -> void;
  /** Forgets an attempt. */
  auto Remove(partition_id partition,
              const item_ref& item,
              const std::string& request_id) -> void;
  /** Where an item was sent, nothing if it is not in flight. */
  auto Find(partition_id partition, const item_ref& item) const
      -> std::optional<flight>;

 private:
  mutable std::mutex mutex_;
  std::map<std::pair<partition_id, item_ref>, flight> flights_;
};

/** Something that several coroutines wait for. Guarded by its table's mutex
 * but for the timer, which is cancelled on its own executor. */
class wake_signal {
 public:
  explicit wake_signal(const boost::asio::any_io_executor& executor)
      : timer_(std::make_shared<boost::asio::steady_timer>(executor)) {}
  /** Ends the wait; from any thread. */
  auto Notify() const -> void;
  auto timer() const -> boost::asio::steady_timer& { return *timer_; }

 private:
  std::shared_ptr<boost::asio::steady_timer> timer_;
};

/** A record that a request waits for. */
struct record_waiter {
  explicit record_waiter(const boost::asio::any_io_executor& executor)
      : signal(executor) {}
  wake_signal signal;                 ///< Notified once the record was read.
  std::optional<fold_report> report;  ///< What became of it.
  bool owner_changed = false;         ///< It is not awaited any more.
};

/** One partition with what waits for it. Thread-safe. */
class partition_slot {
 public:
  partition_slot(partition_id partition,
                 const host_id& host,
                 incarnation start,
                 const owner_policy& policy)
      : partition_(partition), owner_(partition, host, start, policy) {}

  auto partition() const -> partition_id { return partition_; }
  auto stream() const -> std::string {
    return "jobs-" + std::to_string(partition_.value);
  }
  /** Calls `f(partition_owner&)` under the lock; `f` must not block. */
  template <typename F>
  auto With(F&& f) {
    const std::lock_guard lock(mutex_);
    return std::forward<F>(f)(owner_);
  }
  /** As With(), and registers a waiter for the record number that `f` returns;
   * 0 registers none. */
  template <typename F>
  auto Queue(F&& f, const std::shared_ptr<record_waiter>& waiter)
      -> std::uint64_t {
    const std::lock_guard lock(mutex_);
    const std::uint64_t seq = std::forward<F>(f)(owner_);
    if (seq != 0) {
      waiters_[seq] = waiter;
    }
    return seq;
  }
  /** Applies records that were read from `from` on; returns the items to be
   * aborted. Ignored if the fold is elsewhere by now. */
  auto Apply(log_offset from, const std::vector<std::string>& records)
      -> std::vector<item_ref>;
  /** Takes a waiter out; its report, if it has one. */
  auto RecordLoadReport(std::uint64_t seq,
                        const std::shared_ptr<record_waiter>& waiter)
      -> std::optional<fold_report>;
  /** Stops to be owner; returns the items to be aborted. */
  auto Resign() -> std::vector<item_ref>;

 private:
  partition_id partition_;
  std::mutex mutex_;
  partition_owner owner_;
  std::map<std::uint64_t, std::shared_ptr<record_waiter>> waiters_;
};

}  // namespace dogwood

#endif  // SRC_BATCHD_TABLE_H_
