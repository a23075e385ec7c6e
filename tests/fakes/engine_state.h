/** What fake_engine keeps beside its batch: counts, lagging reports, orders. */
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

/** Command line. */
struct engine_options {
  std::set<std::string> models;               ///< Models loaded at the start.
  engine_costs costs;                         ///< Costs of the batch.
  std::chrono::milliseconds load_lag{200};    ///< Age of GET /load.
  std::chrono::milliseconds event_lag{1000};  ///< Age of GET /cache_events.
  std::uint64_t event_gap = 7;  ///< Each such event is missing; 0 for none.
  bool checks_fencing = true;   ///< Refuses orders with an old number.
  std::chrono::milliseconds resume_keep{10000};  ///< Life of cancelled streams.
};

/** Counts of one request id. */
struct request_counts {
  std::uint64_t started = 0;    ///< Sequences submitted.
  std::uint64_t resumed = 0;    ///< Of these, continued from a cancelled one.
  std::uint64_t finished = 0;   ///< Sequences that made all their tokens.
  std::uint64_t cancelled = 0;  ///< Sequences ended early.
};

/** Every request that came, for the tests. Headers of the first 20000 are
 * kept. */
class request_journal {
 public:
  /** Notes a request that arrived. */
  auto NoteArrival(const http_request& request) -> void;
  /** The counts of a request id. */
  auto Counts(const std::string& id) -> request_counts& { return counts_[id]; }
  /** Counts by id and the requests with their headers. */
  auto ToJson() const -> boost::json::object;

 private:
  std::map<std::string, request_counts> counts_;
  boost::json::array requests_;
};

/** Load reports that lag behind. */
class load_history {
 public:
  /** Notes the load at `now`; forgets what is older than needed. */
  auto Note(time_point now,
            std::chrono::milliseconds lag,
            std::size_t running,
            std::size_t waiting,
            std::size_t cached) -> void;
  /** The newest report at least `lag` old, {} if there is none. */
  auto At(time_point now, std::chrono::milliseconds lag) const
      -> boost::json::object;

 private:
  struct sample {
    time_point taken;     ///< When.
    std::size_t running;  ///< Sequences that run.
    std::size_t waiting;  ///< Sequences that wait.
    std::size_t cached;   ///< Prefixes in the cache.
  };
  std::deque<sample> samples_;
};

/** Changes of the prefix cache, published late and with gaps. */
class cache_event_log {
 public:
  /** Adds the events of one step. */
  auto Add(time_point now,
           const std::vector<std::pair<std::string, std::string>>& events)
      -> void;
  /** Events from `from` on that are old enough, without the missing ones. */
  auto Page(std::uint64_t from,
            time_point now,
            std::chrono::milliseconds lag,
            std::uint64_t gap) const -> boost::json::object;

 private:
  struct event {
    time_point made;   ///< When.
    std::string hash;  ///< Prefix.
    std::string kind;  ///< "added" or "evicted".
  };
  std::uint64_t first_ = 0;
  std::deque<event> events_;
};

/** Orders taken and the highest fencing number seen. */
class order_book {
 public:
  /** Takes an order {"fencing","order","model"} and applies it to `models`.
   * Fails with kConflict on an old number if `checks`, kBadRequest if it
   * cannot be read. */
  auto Take(const boost::json::object& order,
            bool checks,
            std::set<std::string>& models) -> outcome<void>;
  /** Orders taken, oldest first. */
  auto ToJson() const -> boost::json::object;

 private:
  std::uint64_t highest_ = 0;
  boost::json::array taken_;
};

/** Cancelled streams that can be resumed for some time. */
class resume_store {
 public:
  /** Keeps a cancelled sequence until `deadline`. */
  auto Keep(const sequence& cancelled, time_point deadline) -> void;
  /** Takes the tokens made so far of request `id`, 0 if none are kept. */
  auto Take(const std::string& id, time_point now) -> std::uint64_t;

 private:
  struct kept {
    std::uint64_t produced;  ///< Tokens made.
    time_point deadline;     ///< Forgotten from then on.
  };
  std::map<std::string, kept> kept_;
};

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_ENGINE_STATE_H_
