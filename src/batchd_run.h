/** Runs of items on the backend servers that this host admits batch on.
 *
 * A partition's owner asks the admitter's batchd to run an item and repeats
 * the same ask until it is answered; the request id makes repeats harmless. A
 * run whose owner does not ask any more is ended. */
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

/** What an owner asks an admitter to run. */
struct run_ask {
  std::string request_id;  ///< Unique for each attempt.
  std::string server;      ///< Backend server.
  std::string method;      ///< HTTP method.
  std::string path;        ///< Path on the server.
  std::string body;        ///< JSON.
  bool repeatable = true;  ///< May be preempted and sent again.
  bool is_first = true;    ///< Not a repeat: an unknown run is begun.
};

/** How a run ended at the admitter. */
enum class run_outcome {
  kAnswer,       ///< `status` and `body` are the whole answer.
  kFailed,       ///< An attempt failed; the server may have run it.
  kNoCapacity,   ///< Never sent: no slot is free.
  kPreempted,    ///< Ended for online requests or by its owner.
  kUnreachable,  ///< Never sent: no connection, or the server refused.
  kNotAdmitter,  ///< Never sent: this host does not admit on the server.
  kLost,         ///< A repeat of a run that is not known.
  kRunning,      ///< Not ended yet; ask again.
};

/** Name of an outcome, for logs. */
auto NameOf(run_outcome outcome) -> std::string_view;

/** Answer to a run_ask. */
struct run_answer {
  run_outcome outcome = run_outcome::kRunning;  ///< How it ended.
  unsigned status = 0;                          ///< HTTP status.
  std::string body;                             ///< Answer, or the reason.
};

/** JSON of an ask, for links. */
auto ToJson(const run_ask& ask) -> std::string;
/** Reverses ToJson(); nothing if `text` is no ask. */
auto ParseRunAsk(std::string_view text) -> std::optional<run_ask>;
/** JSON of an answer, for links. */
auto ToJson(const run_answer& answer) -> std::string;
/** Reverses ToJson(); nothing if `text` is no answer. */
auto ParseRunAnswer(std::string_view text) -> std::optional<run_answer>;

/** One run. Guarded by its table's mutex. */
struct run_entry {
  run_ask ask;                ///< What to run.
  run_id run;                 ///< In the admission table.
  bool is_admitted = false;   ///< Holds a slot.
  bool is_aborted = false;    ///< To be ended: not wanted any more.
  bool is_preempted = false;  ///< To be interrupted for online requests.
  std::shared_ptr<http_connection> connection;  ///< In use, if any.
  std::optional<run_answer> answer;             ///< Set when it has ended.
  std::vector<wake_signal> waiters;             ///< Wait for the answer.
  time_point lease_until;                       ///< Owner has asked till then.
};

/** Runs and the admission of their servers. Thread-safe. */
class run_table {
 public:
  explicit run_table(any_admission_policy policy) : admission_(policy) {}

  /** Calls `f(admission_table&)` under the lock; `f` must not block. */
  template <typename F>
  auto WithAdmission(F&& f) {
    const std::lock_guard lock(mutex_);
    return std::forward<F>(f)(admission_);
  }
  /** The run of an ask; a new one if it is a first ask (`is_new`), nullptr if
   * it is an unknown repeat. Extends the lease. */
  auto Find(const run_ask& ask, time_point lease_until, bool& is_new)
      -> std::shared_ptr<run_entry>;
  /** Takes a slot for the run. */
  auto Admit(const std::shared_ptr<run_entry>& entry, time_point now) -> bool;
  /** Sets the connection in use; false if the run is to be ended. */
  auto SetConnection(const std::shared_ptr<run_entry>& entry,
                     std::shared_ptr<http_connection> connection) -> bool;
  /** Whether the run is to be ended for good. */
  auto IsAborted(const std::shared_ptr<run_entry>& entry) const -> bool;
  /** Whether the run is to be ended or interrupted. */
  auto IsInterrupted(const std::shared_ptr<run_entry>& entry) const -> bool;
  /** Frees the slot of an interrupted run, which may be admitted again. */
  auto Release(const std::shared_ptr<run_entry>& entry) -> void;
  /** Ends the run with its answer and frees its slot. */
  auto Finish(const std::shared_ptr<run_entry>& entry, run_answer answer)
      -> void;
  /** The answer if there is one, else registers a waiter. */
  auto AnswerOrWait(const std::shared_ptr<run_entry>& entry,
                    const wake_signal& waiter) -> std::optional<run_answer>;
  /** Interrupts the runs that exceed what the policy leaves on a server;
   * returns how many. */
  auto Preempt(const server_id& server, time_point now) -> std::size_t;
  /** Aborts one run. */
  auto Abort(const std::string& request_id) -> void;
  /** Aborts the repeatable runs. */
  auto AbortAll() -> void;
  /** Aborts runs whose lease has expired and forgets ended ones. */
  auto Sweep(time_point now) -> void;
  /** Runs that have not ended. */
  auto Running() const -> std::size_t;

 private:
  static auto Interrupt(run_entry& entry, bool for_good) -> bool;

  mutable std::mutex mutex_;
  admission_table admission_;
  std::map<std::string, std::shared_ptr<run_entry>> entries_;
};

/** Begins the run of an ask if it is new, and waits for its answer for a short
 * time; kRunning if it has none by then. */
auto RunItem(batchd& d, run_ask ask) -> boost::asio::awaitable<run_answer>;

/** Ends leases and forgets answered runs, for ever. */
auto SweepRuns(batchd& d) -> boost::asio::awaitable<void>;

/** Preempts what exceeds the policy on these servers. */
auto PreemptOn(batchd& d, const std::vector<server_id>& servers) -> void;

}  // namespace dogwood

#endif  // SRC_BATCHD_RUN_H_
