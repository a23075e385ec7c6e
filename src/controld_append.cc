#include "src/controld_append.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kInitialBackoff{50};
constexpr std::chrono::milliseconds kMaxBackoff{1000};

/** Whether a retry of the same append would fail again. */
auto IsPermanentFailure(const failure& error) -> bool {
  return error.code == error_code::kBadRequest ||
         error.code == error_code::kTooLarge ||
         error.code == error_code::kNotFound;
}

}  // namespace

auto own_record_table::Watch(const std::string& record) -> void {
  const std::lock_guard lock(mutex_);
  records_.try_emplace(record);
}

auto own_record_table::Unwatch(const std::string& record) -> void {
  const std::lock_guard lock(mutex_);
  records_.erase(record);
}

auto own_record_table::IsWatched(const std::string& record) const -> bool {
  const std::lock_guard lock(mutex_);
  return records_.contains(record);
}

auto own_record_table::RecordApplied(const std::string& record,
                                     const applied_record& applied) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(record);
  if (found != records_.end() && !found->second) {
    found->second = applied;
  }
}

auto own_record_table::Find(const std::string& record) const
    -> std::optional<applied_record> {
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(record);
  return found == records_.end() ? std::nullopt : found->second;
}

record_appender::record_appender(asio::io_context& io,
                                 const platform_client& platform,
                                 own_record_table& own_records,
                                 freshness_tracker& tracker,
                                 controld_metrics& metrics,
                                 host_id self,
                                 std::chrono::milliseconds attempt_timeout)
    : strand_(asio::make_strand(io)),
      platform_(platform),
      own_records_(own_records),
      tracker_(tracker),
      metrics_(metrics),
      attempt_timeout_(attempt_timeout) {
  writer_.host = std::move(self);
}

auto record_appender::SetIncarnation(incarnation start) -> void {
  asio::post(strand_, [this, start] {
    writer_.start = start;
    writer_.seq = 0;
  });
}

auto record_appender::Append(record_factory make, time_point deadline)
    -> asio::awaitable<outcome<acknowledged_record>> {
  auto spawned =
      asio::co_spawn(strand_, AppendSerialized(std::move(make), deadline),
                     asio::use_awaitable);
  co_return co_await std::move(spawned);
}

auto record_appender::AppendSerialized(record_factory make, time_point deadline)
    -> asio::awaitable<outcome<acknowledged_record>> {
  while (busy_) {
    auto turn_timer = std::make_shared<asio::steady_timer>(strand_, deadline);
    waiters_.push_back(turn_timer);
    co_await turn_timer->async_wait(kAwait);
    if (clock::now() >= deadline) {
      std::erase(waiters_, turn_timer);
      failure timed_out{.code = error_code::kUnavailable,
                        .message = "earlier appends have not ended",
                        .step = "wait for turn to append",
                        .peer = "platform"};
      co_return timed_out;
    }
  }
  busy_ = true;
  ++writer_.seq;
  auto record = make(writer_);
  auto result = co_await AppendUntilResolved(std::move(record), deadline);
  busy_ = false;
  if (!waiters_.empty()) {
    waiters_.front()->cancel();
    waiters_.pop_front();
  }
  co_return result;
}

auto record_appender::AppendUntilResolved(std::string record,
                                          time_point deadline)
    -> asio::awaitable<outcome<acknowledged_record>> {
  own_records_.Watch(record);
  auto backoff = kInitialBackoff;
  auto ran = ran_state::kNo;
  while (true) {
    auto range = co_await AppendOnce(record, deadline);
    if (range) {
      tracker_.RecordSeen(range->next);
    }
    const auto applied = own_records_.Find(record);
    if (range || applied) {
      acknowledged_record done;
      done.acknowledged_at = applied ? applied->applied_at : clock::now();
      done.record = std::move(record);
      co_return done;
    }
    auto error = range.error();
    if (error.ran == ran_state::kMaybe ||
        error.code == error_code::kDeadlineExceeded) {
      ran = ran_state::kMaybe;
    }
    if (IsPermanentFailure(error) || clock::now() + backoff >= deadline) {
      error.ran = ran;
      own_records_.Unwatch(record);
      co_return error;
    }
    asio::steady_timer backoff_timer(strand_, backoff);
    co_await backoff_timer.async_wait(kAwait);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

auto record_appender::AppendOnce(const std::string& record, time_point deadline)
    -> asio::awaitable<outcome<append_range>> {
  const auto sent_at = clock::now();
  const std::vector<std::string> records{record};
  auto range = co_await platform_.Append(
      "config", records, std::min(deadline, sent_at + attempt_timeout_));
  if (range) {
    ++metrics_.appends;
    metrics_.append_latency.Observe(clock::now() - sent_at);
  } else {
    ++metrics_.append_errors;
    const auto& error = range.error();
    Log(log_level::kWarning, log_category::kConfig,
        {error.message, error.step, error.peer});
  }
  co_return range;
}

}  // namespace dogwood
