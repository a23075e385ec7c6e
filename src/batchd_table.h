/** Shared tables of dogwood_batchd, each with its own mutex. Lock order:
 * partition, admission, runs, then the others. No lock is held across a
 * co_await. */
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
  server_id id;                             ///< Id in the host list.
  boost::asio::ip::tcp::endpoint endpoint;  ///< HTTP address.
  region_id region;
  std::vector<std::string> targets;  ///< "model/M" or "service/S".
  unsigned slots = 1;                ///< Maximum number of concurrent requests.
  bool leaving = false;              ///< Receives no new items.
};

/** Backend servers of the host list. Thread-safe. */
class server_table {
 public:
  /** Replaces all servers. */
  auto Set(std::vector<backend_server> servers) -> void;
  /** Returns a server, or std::nullopt if it is not listed. */
  auto Find(const server_id& server) const -> std::optional<backend_server>;
  /** Returns the servers that accept new items of a server target. */
  auto Serving(const std::string& target) const -> std::vector<backend_server>;
  /** Returns all servers. */
  auto All() const -> std::vector<backend_server>;

 private:
  mutable std::mutex mutex_;
  std::map<server_id, backend_server> servers_;
};

/** Concurrency window of each server: the maximum number of items that this
 * host's partitions may have in flight there. The window grows by one with each
 * item that got a slot and with each result, and shrinks to the number of items
 * in flight when the server has no free slot. It is periodically exceeded by
 * one item as a probe, so that slots freed by online requests are found while
 * long items run. Thread-safe. */
class window_table {
 public:
  /** Acquires a place in the window of a server with `slots`. Returns false if
   * the window is full or the server is in backoff. */
  auto Begin(const server_id& server, unsigned slots, time_point now) -> bool;
  /** Grows the window by one, up to `slots`, and resets the backoff. */
  auto Grow(const server_id& server, unsigned slots) -> void;
  /** Releases a place that was not used. */
  auto Cancel(const server_id& server) -> void;
  /** Releases the place of an item that ended. `had_room` tells whether it got
   * a slot. */
  auto End(const server_id& server,
           bool had_room,
           unsigned slots,
           time_point now) -> void;
  /** Puts a server into backoff, which doubles with each consecutive call. */
  auto BackOff(const server_id& server, time_point now) -> void;

 private:
  /** Window of one server. */
  struct window {
    unsigned in_flight = 0;    ///< Items at the server or its admitter.
    unsigned limit = 1;        ///< Size of the window.
    unsigned failures = 0;     ///< Consecutive backoffs.
    time_point backoff_until;  ///< End of the backoff.
    time_point probe_at;       ///< Time of the next probe above the limit.
  };

  std::mutex mutex_;
  std::map<server_id, window> windows_;
};

/** An item in flight: an attempt and its destination. */
struct in_flight_item {
  std::string request_id;  ///< Id of the attempt.
  server_id server;
  region_id region;  ///< Region of the server.
};

/** Items in flight by partition. Thread-safe. */
class in_flight_table {
 public:
  /** Adds or replaces the attempt of an item. */
  auto Add(partition_id partition, const item_ref& item, in_flight_item to)
      -> void;
  /** Removes an attempt unless the item has another one by now. */
  auto Remove(partition_id partition,
              const item_ref& item,
              const std::string& request_id) -> void;
  /** Returns the attempt of an item, or std::nullopt if it is not in flight. */
  auto Find(partition_id partition, const item_ref& item) const
      -> std::optional<in_flight_item>;

 private:
  mutable std::mutex mutex_;
  std::map<std::pair<partition_id, item_ref>, in_flight_item> flights_;
};

/** Wakes a waiting coroutine. Guarded by the mutex of its table, except for the
 * timer, which is cancelled on its own executor. */
class wake_signal {
 public:
  explicit wake_signal(const boost::asio::any_io_executor& executor)
      : timer_(std::make_shared<boost::asio::steady_timer>(executor)) {}
  /** Ends the wait. Thread-safe. */
  auto Notify() const -> void;
  auto timer() const -> boost::asio::steady_timer& { return *timer_; }

 private:
  std::shared_ptr<boost::asio::steady_timer> timer_;
};

/** A request's wait for a record to be read back. */
struct record_waiter {
  explicit record_waiter(const boost::asio::any_io_executor& executor)
      : signal(executor) {}
  wake_signal signal;                  ///< Notified when the wait ends.
  std::optional<apply_report> report;  ///< Set once the record was read.
  bool owner_changed = false;          ///< Ended by a change of owner.
};

/** One partition and the requests that wait for its records. Thread-safe. */
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
  /** Same as With(), but also registers a waiter for the sequence number that
   * `f` returns. 0 registers none. */
  template <typename F>
  auto QueueRecord(F&& f, const std::shared_ptr<record_waiter>& waiter)
      -> std::uint64_t {
    const std::lock_guard lock(mutex_);
    const std::uint64_t seq = std::forward<F>(f)(owner_);
    if (seq != 0) {
      waiters_[seq] = waiter;
    }
    return seq;
  }
  /** Applies records that were read from offset `from` on and returns the items
   * to abort. Does nothing if the replay has been reset since the read. */
  auto Apply(log_offset from, const std::vector<std::string>& records)
      -> std::vector<item_ref>;
  /** Removes a waiter and returns its report, if any. */
  auto RemoveWaiter(std::uint64_t seq,
                    const std::shared_ptr<record_waiter>& waiter)
      -> std::optional<apply_report>;
  /** Resigns, notifies all waiters and returns the items to abort. */
  auto Resign() -> std::vector<item_ref>;

 private:
  partition_id partition_;
  std::mutex mutex_;
  partition_owner owner_;
  std::map<std::uint64_t, std::shared_ptr<record_waiter>> waiters_;
};

}  // namespace dogwood

#endif  // SRC_BATCHD_TABLE_H_
