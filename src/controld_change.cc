#include "src/controld_change.h"

#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Interval at which a waiting change checks what has been applied. */
constexpr std::chrono::milliseconds kPollInterval{10};

/** Builds the failure of a change. */
auto ChangeFailure(error_code code, std::string why, ran_state ran) -> failure {
  return {.code = code,
          .message = std::move(why),
          .ran = ran,
          .step = "change configuration",
          .peer = ""};
}

/** Waits until this host has applied the version that the operator read, which
 * may come from a host whose replica is ahead of this one. */
auto WaitForVersion(const controld& c,
                    const config_change& change,
                    time_point deadline) -> asio::awaitable<void> {
  while (NextOffset(c).value < change.expected_version &&
         clock::now() < deadline) {
    co_await Sleep(kPollInterval);
  }
}

/** Waits until this host has replayed `record`; returns nothing if `deadline`
 * passes first. */
auto WaitForApplied(const controld& c,
                    const std::string& record,
                    time_point deadline)
    -> asio::awaitable<std::optional<applied_record>> {
  while (clock::now() < deadline) {
    if (auto applied = c.own_records.Find(record)) {
      co_return applied;
    }
    co_await Sleep(kPollInterval);
  }
  co_return std::nullopt;
}

/** Converts the replay outcome into the answer for the operator. */
auto CheckApplied(apply_status verdict) -> outcome<void> {
  switch (verdict) {
    case apply_status::kApplied:
      return {};
    case apply_status::kConflict:
      return ChangeFailure(error_code::kConflict,
                           "another change of the node came first",
                           ran_state::kNo);
    case apply_status::kDuplicate:
    case apply_status::kStale:
    case apply_status::kInvalid:
      break;
  }
  return ChangeFailure(error_code::kConflict,
                       "the log refused the change; nothing was changed",
                       ran_state::kNo);
}

/** Waits until every host has applied the record or has stopped serving.
 * Returns true if attestations showed this before the time limit. */
auto WaitForAcceptance(const controld& c,
                       log_offset offset,
                       time_point acknowledged_at) -> asio::awaitable<bool> {
  const auto accepted_at = c.tracker.AcceptedAt(acknowledged_at);
  while (clock::now() < accepted_at) {
    if (c.tracker.AppliedEverywhere(offset)) {
      co_return true;
    }
    co_await Sleep(kPollInterval);
  }
  co_return false;
}

/** Implements MakeChange() except for its metrics. */
auto RunChangeWithoutMetrics(controld& c, config_change change)
    -> asio::awaitable<outcome<accepted_change>> {
  if (!c.tracker.IsConfirmed() || c.state != serve_state::kServing) {
    co_return ChangeFailure(error_code::kUnavailable,
                            "this host is joining or leaving; use another host",
                            ran_state::kNo);
  }
  co_await WaitForVersion(c, change,
                          clock::now() + 2 * c.settings.pull_interval);
  auto validated = c.replica.Read([&change](const config_tree& tree) {
    return ToOutcome([&] { return tree.Test(change); });
  });
  if (!validated) {
    co_return validated.error();
  }
  auto make = [change](const record_writer& writer) {
    return ChangeRecord(writer, change);
  };
  const auto deadline = clock::now() + c.settings.change_timeout;
  auto appended = co_await c.appender.Append(make, deadline);
  if (!appended) {
    co_return appended.error();
  }
  const auto read_deadline = clock::now() + c.settings.change_timeout;
  const auto applied =
      co_await WaitForApplied(c, appended->record, read_deadline);
  c.own_records.Unwatch(appended->record);
  if (!applied) {
    co_return ChangeFailure(error_code::kUnavailable,
                            "the change is in the log but could not be read "
                            "back; see the node's history",
                            ran_state::kMaybe);
  }
  auto verdict = CheckApplied(applied->verdict);
  if (!verdict) {
    co_return verdict.error();
  }
  accepted_change accepted;
  accepted.offset = applied->offset;
  accepted.version = applied->offset.value + 1;
  accepted.early =
      co_await WaitForAcceptance(c, applied->offset, appended->acknowledged_at);
  co_return accepted;
}

}  // namespace

auto MakeChange(controld& c, config_change change)
    -> asio::awaitable<outcome<accepted_change>> {
  const auto started = clock::now();
  auto result = co_await RunChangeWithoutMetrics(c, std::move(change));
  if (result) {
    ++c.metrics.changes_accepted;
    c.metrics.accept_latency.Observe(clock::now() - started);
  } else {
    ++c.metrics.changes_refused;
  }
  co_return result;
}

}  // namespace dogwood
