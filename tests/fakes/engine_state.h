/** State of fake_engine besides the batch: request log, delayed load reports
 * and cache events, orders and resumable streams. */
#ifndef TESTS_FAKES_ENGINE_STATE_H_
#define TESTS_FAKES_ENGINE_STATE_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/fakes/engine_model.h"
#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {

/** Options of the command line. */
struct engine_options {
  std::set<std::string> models;  ///< Loaded models; changed by orders.
  engine_costs costs;            ///< Costs of the batch model.
  std::chrono::milliseconds load_lag{200};    ///< Delay of GET /load.
  std::chrono::milliseconds event_lag{1000};  ///< Delay of GET /cache_events.
  std::uint64_t event_gap = 7;  ///< Every n-th cache event is dropped; 0: none.
  bool check_fencing = true;    ///< Rejects orders with an old fencing number.
  /** How long a cancelled stream can be resumed. */
  std::chrono::milliseconds resume_ttl{10000};
};

/** Counters of one request id. */
struct request_counts {
  std::uint64_t started = 0;    ///< Sequences submitted.
  std::uint64_t resumed = 0;    ///< Of these, resumed after a cancellation.
  std::uint64_t finished = 0;   ///< Sequences that generated all their tokens.
  std::uint64_t cancelled = 0;  ///< Sequences cancelled before their end.
};

/** Log of the received requests for the tests. The headers of the first 20000
 * requests are retained. */
class request_log {
 public:
  /** Records a received request. */
  auto RecordArrival(const http_request& request) -> void;
  /** Returns the counters of a request id, adding them if absent. */
  auto Counts(const std::string& id) -> request_counts& { return counts_[id]; }
  /** Returns the counters by id and the requests with their headers. */
  auto ToJson() const -> boost::json::object;

 private:
  std::map<std::string, request_counts> counts_;
  boost::json::array requests_;
};

/** Load reports that are published with a delay. */
class load_history {
 public:
  /** Records the load at `now` and drops samples that reports with this `lag`
   * no longer need. */
  auto RecordSample(time_point now,
                    std::chrono::milliseconds lag,
                    std::size_t running,
                    std::size_t waiting,
                    std::size_t cached) -> void;
  /** Returns the newest sample that is at least `lag` old, or zeros if there is
   * none. */
  auto At(time_point now, std::chrono::milliseconds lag) const
      -> boost::json::object;

 private:
  struct sample {
    time_point sampled_at;
    std::size_t running;  ///< Running sequences.
    std::size_t waiting;  ///< Queued sequences.
    std::size_t cached;   ///< Prefixes in the cache.
  };
  std::deque<sample> samples_;
};

/** Changes of the prefix cache, published with a delay and with gaps. */
class cache_event_log {
 public:
  /** Records the events of one step. */
  auto Add(time_point now,
           const std::vector<std::pair<std::string, std::string>>& events)
      -> void;
  /** Returns the events from offset `from` on that are at least `lag` old.
   * Every `gap`-th event is omitted; 0 omits none. */
  auto Page(std::uint64_t from,
            time_point now,
            std::chrono::milliseconds lag,
            std::uint64_t gap) const -> boost::json::object;

 private:
  struct event {
    time_point recorded_at;
    std::string hash;  ///< Hash of the prefix.
    std::string kind;  ///< "added" or "evicted".
  };
  std::uint64_t first_ = 0;  // Offset of the oldest retained event.
  std::deque<event> events_;
};

/** Accepted orders and the highest fencing number seen. */
class order_log {
 public:
  /** Applies an order {"fencing","order","model"} to `models`. Fails with
   * kConflict on an old fencing number if `check_fencing` is set, and with
   * kBadRequest if the order is malformed. */
  auto Apply(const boost::json::object& order,
             bool check_fencing,
             std::set<std::string>& models) -> outcome<void>;
  /** Returns the highest fencing number and the accepted orders, oldest first.
   */
  auto ToJson() const -> boost::json::object;

 private:
  std::uint64_t highest_ = 0;
  boost::json::array accepted_;
};

/** Progress of cancelled streams, from which they can be resumed until their
 * deadline. */
class resume_store {
 public:
  /** Saves the progress of a cancelled sequence until `deadline`. */
  auto Save(const sequence& cancelled, time_point deadline) -> void;
  /** Removes the saved progress of request `id` and returns its number of
   * generated tokens, or 0 if there is none. */
  auto Pop(const std::string& id, time_point now) -> std::uint64_t;

 private:
  struct saved_stream {
    std::uint64_t produced;  ///< Tokens generated.
    time_point deadline;     ///< Dropped from then on.
  };
  std::map<std::string, saved_stream> saved_;
};

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_ENGINE_STATE_H_
