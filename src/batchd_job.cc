#include "src/batchd_job.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

/** Records that wait for the log in one partition, in bytes; more submissions
 * are refused. */
constexpr std::size_t kMostQueuedBytes = 128UL << 20;
/** Results in one answer; a frame of a link holds 64 MiB. */
constexpr std::size_t kResultBytes = 32UL << 20;
constexpr std::uint64_t kMsPerSecond = 1000;

/** Status of a job. */
auto StatusOf(partition_id partition, const job_state& job) -> json::object {
  const auto counts = job_partition::Counts(job);
  const bool all_done = job.completed == job.items.size();
  std::string_view status = "in_progress";
  if (all_done) {
    status = "completed";
  } else if (job.cancelled) {
    status = "cancelled";
  }
  json::object body;
  body["id"] = FormatJobId(partition, job.id).value;
  body["object"] = "batch";
  body["status"] = status;
  body["created_at"] = job.created.value / kMsPerSecond;
  body["request_counts"] = json::object{{"total", counts.total},
                                        {"completed", counts.completed},
                                        {"failed", counts.failed}};
  return body;
}

/** Refusal while this host has not read the whole stream as owner. */
auto NotReady(partition_id partition) -> failure {
  return NotRunFailure(error_code::kUnavailable,
                       "partition " + std::to_string(partition.value) +
                           " is being taken over; try again",
                       "read partition");
}

/** Calls `f(const job_state&)` on a workspace's job, under the lock. Another
 * workspace's job looks like none. */
template <typename F>
auto WithJob(batchd& d,
             const job_address& address,
             const workspace_id& workspace,
             F&& f) -> outcome<std::string> {
  auto& slot = d.Slot(address.partition);
  return slot.With([&](partition_owner& owner) -> outcome<std::string> {
    if (owner.stage() != owner_stage::kOwning) {
      return NotReady(address.partition);
    }
    const auto* job = owner.projection().Find(address.job);
    if (job == nullptr || job->workspace != workspace) {
      return NotRunFailure(error_code::kNotFound, "there is no such batch",
                           "find batch");
    }
    return f(*job);
  });
}

/** What a record that was waited for has become. */
struct awaited {
  std::optional<fold_report> report;  ///< Nothing if it was not read in time.
  bool certainly_not = false;         ///< It is not and will not be in the log.
};

/** Waits until a queued record was read back. A record that has certainly not
 * reached the log by the deadline is withdrawn. */
auto AwaitRecord(partition_slot& slot,
                 std::uint64_t seq,
                 std::shared_ptr<record_waiter> waiter)
    -> asio::awaitable<awaited> {
  co_await waiter->signal.timer().async_wait(
      asio::as_tuple(asio::use_awaitable));
  awaited result;
  result.report = slot.RecordLoadReport(seq, waiter);
  if (!result.report) {
    result.certainly_not = slot.With(
        [seq](partition_owner& owner) { return owner.Withdraw(seq); });
  }
  co_return result;
}

/** Failure of a record that was not read back. */
auto NotDurable(const awaited& result, std::string_view what) -> failure {
  failure error{.code = error_code::kUnavailable,
                .message = "",
                .ran = ran_state::kNo,
                .step = "append",
                .peer = "log"};
  if (result.certainly_not) {
    error.message = "the log did not take the " + std::string(what);
  } else {
    error.ran = ran_state::kMaybe;
    error.message = "the log has not confirmed the " + std::string(what) +
                    "; send it again with the same Idempotency-Key, which "
                    "cannot run it twice";
  }
  return error;
}

/** A waiter on this coroutine's strand. */
auto MakeWaiter(duration limit)
    -> asio::awaitable<std::shared_ptr<record_waiter>> {
  auto waiter =
      std::make_shared<record_waiter>(co_await asio::this_coro::executor);
  waiter->signal.timer().expires_after(limit);
  co_return waiter;
}

/** Answer to a key that has a job: the job if the body is the same. */
auto EarlierJob(partition_id partition,
                const job_state& job,
                const std::string& digest) -> outcome<std::string> {
  if (job.digest == digest) {
    return json::serialize(StatusOf(partition, job));
  }
  return NotRunFailure(error_code::kConflict,
                       "this Idempotency-Key was used with another body",
                       "submit batch");
}

}  // namespace

auto SubmitJob(batchd& d, partition_id partition, job_submission submission)
    -> asio::awaitable<outcome<std::string>> {
  auto& slot = d.Slot(partition);
  auto waiter = co_await MakeWaiter(d.settings.submit_timeout);
  std::optional<outcome<std::string>> early;
  const auto seq = slot.Queue(
      [&](partition_owner& owner) -> std::uint64_t {
        if (owner.stage() != owner_stage::kOwning) {
          early = NotReady(partition);
          return 0;
        }
        const auto* job =
            owner.projection().FindByKey(submission.workspace, submission.key);
        if (job != nullptr) {
          early = EarlierJob(partition, *job, submission.digest);
          return 0;
        }
        if (owner.queued_bytes() > kMostQueuedBytes) {
          early = NotRunFailure(error_code::kUnavailable,
                                "too many submissions wait for the log",
                                "submit batch");
          return 0;
        }
        return owner.Submit(submission, UnixNow());
      },
      waiter);
  if (early) {
    co_return *early;
  }
  auto result = co_await AwaitRecord(slot, seq, waiter);
  if (!result.report || !result.report->job) {
    co_return NotDurable(result, "submission");
  }
  ++d.metrics.submits;
  const job_address address{partition, *result.report->job};
  const auto& digest = submission.digest;
  co_return WithJob(
      d, address, submission.workspace,
      [&](const job_state& job) { return EarlierJob(partition, job, digest); });
}

auto CancelJob(batchd& d, job_address job, workspace_id workspace)
    -> asio::awaitable<outcome<std::string>> {
  const auto status = [&](const job_state& state) -> outcome<std::string> {
    return json::serialize(StatusOf(job.partition, state));
  };
  bool has_ended = false;
  auto known = WithJob(d, job, workspace, [&](const job_state& state) {
    has_ended = state.HasEnded();
    return status(state);
  });
  if (!known || has_ended) {
    co_return known;
  }
  auto& slot = d.Slot(job.partition);
  auto waiter = co_await MakeWaiter(d.settings.submit_timeout);
  const auto seq = slot.Queue(
      [&](partition_owner& owner) { return owner.Cancel(job.job, UnixNow()); },
      waiter);
  auto result = co_await AwaitRecord(slot, seq, waiter);
  if (!result.report) {
    co_return NotDurable(result, "cancel");
  }
  co_return WithJob(d, job, workspace, status);
}

auto ReadJob(batchd& d, const job_address& job, const workspace_id& workspace)
    -> outcome<std::string> {
  return WithJob(d, job, workspace,
                 [&](const job_state& state) -> outcome<std::string> {
                   return json::serialize(StatusOf(job.partition, state));
                 });
}

auto ReadResults(batchd& d,
                 const job_address& job,
                 const workspace_id& workspace,
                 std::optional<std::uint64_t> first) -> outcome<std::string> {
  return WithJob(
      d, job, workspace, [&](const job_state& state) -> outcome<std::string> {
        if (!state.HasEnded()) {
          return NotRunFailure(error_code::kConflict, "the batch has not ended",
                               "read results");
        }
        auto lines =
            job_partition::Results(state, first.value_or(0), kResultBytes);
        if (!first && lines.size() >= kResultBytes) {
          return NotRunFailure(
              error_code::kTooLarge,
              "the results are too long for one answer; read them in "
              "parts with ?from=0, then ?from= the number of lines "
              "read so far",
              "read results");
        }
        return lines;
      });
}

auto ListJobs(batchd& d, partition_id partition, const workspace_id& workspace)
    -> outcome<json::array> {
  return d.Slot(partition).With(
      [&](partition_owner& owner) -> outcome<json::array> {
        if (owner.stage() != owner_stage::kOwning) {
          return NotReady(partition);
        }
        json::array jobs;
        for (const auto& [id, job] : owner.projection().Jobs()) {
          if (job.workspace == workspace) {
            jobs.push_back(StatusOf(partition, job));
          }
        }
        return jobs;
      });
}

}  // namespace dogwood
