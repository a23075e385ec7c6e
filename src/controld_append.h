/** Appends of controld's records to the stream "config". */
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

/** An own record that has been seen in the log. */
struct seen_record {
  log_offset offset;                              ///< First occurrence.
  apply_status verdict = apply_status::kApplied;  ///< What the fold made of it.
  time_point seen;                                ///< When it was applied.
};

/** Own records that someone waits for. Thread-safe. Records are told apart by
 * their text, which holds writer and seq. */
class seen_table {
 public:
  /** Starts to look for `record`. */
  auto Watch(const std::string& record) -> void;
  /** Ends the search. */
  auto Forget(const std::string& record) -> void;
  /** Whether someone waits for `record`. */
  auto IsWatched(const std::string& record) const -> bool;
  /** Notes that `record` was applied; only the first occurrence counts. */
  auto Note(const std::string& record, const seen_record& seen) -> void;
  /** What was noted. */
  auto Find(const std::string& record) const -> std::optional<seen_record>;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::optional<seen_record>> records_;
};

/** An append that is known to have taken effect. */
struct acknowledged_record {
  std::string record;       ///< Its text.
  time_point acknowledged;  ///< When this host learned of it.
};

/** Makes a record's text for the given writer. */
using record_maker = std::function<std::string(const record_writer&)>;

/** Appends records one after the other, since the fold drops a record whose
 * seq is below one that it has seen. Thread-safe. */
class record_appender {
 public:
  /** All references must outlive the appender. */
  record_appender(boost::asio::io_context& io,
                  const platform_client& platform,
                  seen_table& seen,
                  freshness_tracker& tracker,
                  controld_metrics& metrics,
                  host_id self,
                  std::chrono::milliseconds try_timeout);

  /** Appends one record, again with the same seq while the outcome is not
   * known, until `deadline`. On success the record stays watched in the
   * seen_table. A failure with ran=maybe may have taken effect. */
  auto Append(record_maker make, time_point deadline)
      -> boost::asio::awaitable<outcome<acknowledged_record>>;
  /** Writes as start `start` from the next record on. */
  auto SetStart(incarnation start) -> void;

 private:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  auto AppendInTurn(record_maker make, time_point deadline)
      -> boost::asio::awaitable<outcome<acknowledged_record>>;
  auto AppendUntilKnown(std::string record, time_point deadline)
      -> boost::asio::awaitable<outcome<acknowledged_record>>;
  auto Try(const std::string& record, time_point deadline)
      -> boost::asio::awaitable<outcome<append_range>>;

  strand_type strand_;
  const platform_client& platform_;
  seen_table& seen_;
  freshness_tracker& tracker_;
  controld_metrics& metrics_;
  std::chrono::milliseconds try_timeout_;
  // Used on the strand only.
  record_writer writer_;
  bool busy_ = false;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

}  // namespace dogwood

#endif  // SRC_CONTROLD_APPEND_H_
