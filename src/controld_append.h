/** Appends the records that controld writes to the stream "config". */
#ifndef SRC_CONTROLD_APPEND_H_
#define SRC_CONTROLD_APPEND_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "src/config.h"
#include "src/controld_metric.h"
#include "src/freshness.h"
#include "src/platform.h"

namespace dogwood {

/** A record written by this host that the local replica has processed. */
struct applied_record {
  log_offset offset;  ///< Offset of its first occurrence in the log.
  apply_status verdict = apply_status::kApplied;  ///< Outcome of the replay.
  time_point applied_at;  ///< When this host processed it.
};

/** Records written by this host whose outcome a coroutine waits for. Records
 * are identified by their text, which contains writer and seq. Thread-safe. */
class own_record_table {
 public:
  /** Starts to watch for `record`. */
  auto Watch(const std::string& record) -> void;
  /** Stops watching for `record` and drops its outcome. */
  auto Unwatch(const std::string& record) -> void;
  /** Whether `record` is watched. */
  auto IsWatched(const std::string& record) const -> bool;
  /** Stores the outcome of `record` if it is watched. Only the first occurrence
   * counts: a copy from a retried append would be reported as a duplicate. */
  auto RecordApplied(const std::string& record, const applied_record& applied)
      -> void;
  /** The outcome of `record`, nothing if it was not seen in the log yet. */
  auto Find(const std::string& record) const -> std::optional<applied_record>;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::optional<applied_record>> records_;
};

/** A record that is known to be in the log. */
struct acknowledged_record {
  std::string record;          ///< Text of the record.
  time_point acknowledged_at;  ///< When this host learned of the append.
};

/** Serializes a record for the given writer. */
using record_factory = std::function<std::string(const record_writer&)>;

/** Appends records one at a time and in the order of their seq, because the
 * replay drops a record whose seq is below one that it has applied already.
 * Thread-safe. */
class record_appender {
 public:
  /** All references must outlive the appender. `attempt_timeout` limits a
   * single attempt. */
  record_appender(boost::asio::io_context& io,
                  const platform_client& platform,
                  own_record_table& own_records,
                  freshness_tracker& tracker,
                  controld_metrics& metrics,
                  host_id self,
                  std::chrono::milliseconds attempt_timeout);

  /** Appends one record; retries with the same seq while the outcome is
   * unknown, until `deadline`. On success the record stays watched in the
   * own_record_table and the caller must unwatch it. A failure with ran=maybe
   * means that the record may have been appended. */
  auto Append(record_factory make, time_point deadline)
      -> boost::asio::awaitable<outcome<acknowledged_record>>;
  /** Uses `start` as the writer's incarnation from the next record on; seq
   * restarts at 1. */
  auto SetIncarnation(incarnation start) -> void;

 private:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  auto AppendSerialized(record_factory make, time_point deadline)
      -> boost::asio::awaitable<outcome<acknowledged_record>>;
  auto AppendUntilResolved(std::string record, time_point deadline)
      -> boost::asio::awaitable<outcome<acknowledged_record>>;
  auto AppendOnce(const std::string& record, time_point deadline)
      -> boost::asio::awaitable<outcome<append_range>>;

  strand_type strand_;
  const platform_client& platform_;
  own_record_table& own_records_;
  freshness_tracker& tracker_;
  controld_metrics& metrics_;
  std::chrono::milliseconds attempt_timeout_;
  // The members below are accessed on the strand only.
  record_writer writer_;
  bool busy_ = false;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiters_;
};

}  // namespace dogwood

#endif  // SRC_CONTROLD_APPEND_H_
