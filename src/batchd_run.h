/** Runs of items on the backend servers that this host admits batch work on.
 *
 * A partition's owner sends a run request to the admitter's batchd and repeats
 * it until the run has ended; repeats are deduplicated by the request id. Each
 * request extends the run's lease. A run whose lease has expired is aborted. */
#ifndef SRC_BATCHD_RUN_H_
#define SRC_BATCHD_RUN_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/admission.h"
#include "src/batchd_table.h"
#include "src/http.h"

namespace dogwood {

struct batchd;

/** Request of an owner to an admitter to run an item. */
struct run_request {
  std::string request_id;  ///< Unique for each attempt.
  std::string server;      ///< Id of the backend server.
  std::string method;
  std::string path;        ///< Path on the server.
  std::string body;        ///< JSON text, may be empty.
  bool repeatable = true;  ///< May be preempted and sent again.
  bool is_first = true;    ///< Starts the run. A repeat never starts one.
};

/** Outcome of a run at the admitter. */
enum class run_outcome {
  kAnswer,       ///< `status` and `body` are the complete answer.
  kFailed,       ///< The attempt failed; the server may have executed it.
  kNoCapacity,   ///< Not sent: no slot is free.
  kPreempted,    ///< Ended for online requests or by its owner.
  kUnreachable,  ///< Not executed: no connection, or the server refused.
  kNotAdmitter,  ///< Not sent: this host does not admit on the server.
  kLost,         ///< Repeat of an unknown run, or admitter unreachable.
  kRunning,      ///< Not ended yet; the request must be repeated.
};

/** Returns the name of an outcome, for logs. */
auto NameOf(run_outcome outcome) -> std::string_view;

/** Answer to a run_request. */
struct run_answer {
  run_outcome outcome = run_outcome::kRunning;
  unsigned status = 0;  ///< HTTP status of kAnswer.
  std::string body;     ///< Body of kAnswer, else the reason.
};

/** Returns a run request as JSON, for links. */
auto ToJson(const run_request& request) -> std::string;
/** Parses the result of ToJson(). Returns std::nullopt if it is malformed. */
auto ParseRunRequest(std::string_view text) -> std::optional<run_request>;
/** Returns an answer as JSON, for links. */
auto ToJson(const run_answer& answer) -> std::string;
/** Parses the result of ToJson(). Returns std::nullopt if it is malformed. */
auto ParseRunAnswer(std::string_view text) -> std::optional<run_answer>;

/** One run. Guarded by the mutex of run_table. */
struct run_entry {
  run_request request;        ///< What to run.
  run_id run;                 ///< Id in the admission table.
  bool is_admitted = false;   ///< Holds a slot.
  bool is_aborted = false;    ///< To be ended for good.
  bool is_preempted = false;  ///< To be interrupted for online requests.
  std::shared_ptr<http_connection> connection;  ///< Connection in use, if any.
  std::optional<run_answer> answer;             ///< Set when the run has ended.
  std::vector<wake_signal> waiters;             ///< Notified when the run ends.
  time_point lease_until;                       ///< End of the owner's lease.
};

/** Table of runs and the admission table of their servers. Thread-safe. */
class run_table {
 public:
  explicit run_table(any_admission_policy policy) : admission_(policy) {}

  /** Calls `f(admission_table&)` under the lock; `f` must not block. */
  template <typename F>
  auto WithAdmission(F&& f) {
    const std::lock_guard lock(mutex_);
    return std::forward<F>(f)(admission_);
  }
  /** Returns the run of a request and extends its lease. Creates the run and
   * sets `is_new` if it is a first request for an unknown run. Returns nullptr
   * for a repeat of an unknown run. */
  auto Find(const run_request& request, time_point lease_until, bool& is_new)
      -> std::shared_ptr<run_entry>;
  /** Acquires a slot for the run. Returns false if none is free. */
  auto Admit(const std::shared_ptr<run_entry>& entry, time_point now) -> bool;
  /** Sets the connection in use. Returns false if the run is to be ended or
   * interrupted. */
  auto SetConnection(const std::shared_ptr<run_entry>& entry,
                     std::shared_ptr<http_connection> connection) -> bool;
  /** Returns whether the run is to be ended for good. */
  auto IsAborted(const std::shared_ptr<run_entry>& entry) const -> bool;
  /** Returns whether the run is to be ended or interrupted. */
  auto IsInterrupted(const std::shared_ptr<run_entry>& entry) const -> bool;
  /** Releases the slot of an interrupted run, which may be admitted again. */
  auto Release(const std::shared_ptr<run_entry>& entry) -> void;
  /** Ends the run with its answer, releases its slot and notifies waiters. */
  auto Finish(const std::shared_ptr<run_entry>& entry, run_answer answer)
      -> void;
  /** Returns the answer if there is one, otherwise registers a waiter. */
  auto AnswerOrWait(const std::shared_ptr<run_entry>& entry,
                    const wake_signal& waiter) -> std::optional<run_answer>;
  /** Interrupts the runs that exceed the slots that the policy allows on a
   * server. Returns their number. */
  auto Preempt(const server_id& server, time_point now) -> std::size_t;
  /** Aborts one run if it is known and repeatable. */
  auto Abort(const std::string& request_id) -> void;
  /** Aborts all repeatable runs. */
  auto AbortAll() -> void;
  /** Aborts repeatable runs whose lease has expired and removes ended runs
   * after their retention time. */
  auto Sweep(time_point now) -> void;
  /** Returns the number of runs that have not ended. */
  auto Running() const -> std::size_t;

 private:
  static auto Interrupt(run_entry& entry, bool permanently) -> bool;

  mutable std::mutex mutex_;
  admission_table admission_;
  std::map<std::string, std::shared_ptr<run_entry>> entries_;
};

/** Starts the run of a request if it is new, and waits for its answer for a
 * short time. Returns kRunning if there is none by then. */
auto RunItem(batchd& d, run_request request)
    -> boost::asio::awaitable<run_answer>;

/** Calls run_table::Sweep() periodically. Never returns. */
auto SweepRuns(batchd& d) -> boost::asio::awaitable<void>;

/** Preempts the runs that exceed the policy on these servers. */
auto PreemptOn(batchd& d, const std::vector<server_id>& servers) -> void;

}  // namespace dogwood

#endif  // SRC_BATCHD_RUN_H_
