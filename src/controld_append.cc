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
constexpr std::chrono::milliseconds kFirstBackoff{50};
constexpr std::chrono::milliseconds kLongestBackoff{1000};

/** Whether the platform will refuse the same append again. */
auto IsFinal(const failure& error) -> bool {
  return error.code == error_code::kBadRequest ||
         error.code == error_code::kTooLarge ||
         error.code == error_code::kNotFound;
}

}  // namespace

auto seen_table::Watch(const std::string& record) -> void {
  const std::lock_guard lock(mutex_);
  records_.try_emplace(record);
}

auto seen_table::Forget(const std::string& record) -> void {
  const std::lock_guard lock(mutex_);
  records_.erase(record);
}

auto seen_table::IsWatched(const std::string& record) const -> bool {
  const std::lock_guard lock(mutex_);
  return records_.contains(record);
}

auto seen_table::Note(const std::string& record, const seen_record& seen)
    -> void {
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(record);
  if (found != records_.end() && !found->second) {
    found->second = seen;
  }
}

auto seen_table::Find(const std::string& record) const
    -> std::optional<seen_record> {
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(record);
  return found == records_.end() ? std::nullopt : found->second;
}

record_appender::record_appender(asio::io_context& io,
                                 const platform_client& platform,
                                 seen_table& seen,
                                 freshness_tracker& tracker,
                                 controld_metrics& metrics,
                                 host_id self,
                                 std::chrono::milliseconds try_timeout)
    : strand_(asio::make_strand(io)),
      platform_(platform),
      seen_(seen),
      tracker_(tracker),
      metrics_(metrics),
      try_timeout_(try_timeout) {
  writer_.host = std::move(self);
}

auto record_appender::SetStart(incarnation start) -> void {
  asio::post(strand_, [this, start] {
    writer_.start = start;
    writer_.seq = 0;
  });
}

auto record_appender::Append(record_maker make, time_point deadline)
    -> asio::awaitable<outcome<acknowledged_record>> {
  auto spawned = asio::co_spawn(
      strand_, AppendInTurn(std::move(make), deadline), asio::use_awaitable);
  co_return co_await std::move(spawned);
}

auto record_appender::AppendInTurn(record_maker make, time_point deadline)
    -> asio::awaitable<outcome<acknowledged_record>> {
  while (busy_) {
    auto turn = std::make_shared<asio::steady_timer>(strand_, deadline);
    waiting_.push_back(turn);
    co_await turn->async_wait(kAwait);
    if (clock::now() >= deadline) {
      std::erase(waiting_, turn);
      failure late{.code = error_code::kUnavailable,
                   .message = "earlier appends have not ended",
                   .step = "wait for turn to append",
                   .peer = "platform"};
      co_return late;
    }
  }
  busy_ = true;
  ++writer_.seq;
  auto record = make(writer_);
  auto result = co_await AppendUntilKnown(std::move(record), deadline);
  busy_ = false;
  if (!waiting_.empty()) {
    waiting_.front()->cancel();
    waiting_.pop_front();
  }
  co_return result;
}

auto record_appender::AppendUntilKnown(std::string record, time_point deadline)
    -> asio::awaitable<outcome<acknowledged_record>> {
  seen_.Watch(record);
  auto backoff = kFirstBackoff;
  auto ran = ran_state::kNo;
  while (true) {
    auto range = co_await Try(record, deadline);
    if (range) {
      tracker_.RecordSeen(range->next);
    }
    const auto seen = seen_.Find(record);
    if (range || seen) {
      acknowledged_record done;
      done.acknowledged = seen ? seen->seen : clock::now();
      done.record = std::move(record);
      co_return done;
    }
    auto error = range.error();
    if (error.ran == ran_state::kMaybe ||
        error.code == error_code::kDeadlineExceeded) {
      ran = ran_state::kMaybe;
    }
    if (IsFinal(error) || clock::now() + backoff >= deadline) {
      error.ran = ran;
      seen_.Forget(record);
      co_return error;
    }
    asio::steady_timer pause(strand_, backoff);
    co_await pause.async_wait(kAwait);
    backoff = std::min(backoff * 2, kLongestBackoff);
  }
}

auto record_appender::Try(const std::string& record, time_point deadline)
    -> asio::awaitable<outcome<append_range>> {
  const auto sent = clock::now();
  const std::vector<std::string> records{record};
  auto range = co_await platform_.Append(
      "config", records, std::min(deadline, sent + try_timeout_));
  if (range) {
    ++metrics_.appends;
    metrics_.append_latency.Observe(clock::now() - sent);
  } else {
    ++metrics_.append_errors;
    const auto& error = range.error();
    Log(log_level::kWarning, log_category::kConfig,
        {error.message, error.step, error.peer});
  }
  co_return range;
}

}  // namespace dogwood
