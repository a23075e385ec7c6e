#include "src/controld_change.h"

#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** How often a waiting change looks at what has been applied. */
constexpr std::chrono::milliseconds kLookPeriod{10};

/** A failure of a change. */
auto ChangeFailure(error_code code, std::string why, ran_state ran) -> failure {
  return {.code = code,
          .message = std::move(why),
          .ran = ran,
          .step = "change configuration",
          .peer = ""};
}

/** Waits until this host has applied the version that the operator saw; the
 * operator may have read it at a host that is ahead. */
auto WaitForVersion(const controld& c,
                    const config_change& change,
                    time_point deadline) -> asio::awaitable<void> {
  while (NextOffset(c).value < change.expected_version &&
         clock::now() < deadline) {
    co_await Sleep(kLookPeriod);
  }
}

/** Waits until the record is applied here; nothing if `deadline` passes. */
auto WaitForVerdict(const controld& c,
                    const std::string& record,
                    time_point deadline)
    -> asio::awaitable<std::optional<seen_record>> {
  while (clock::now() < deadline) {
    if (auto seen = c.seen.Find(record)) {
      co_return seen;
    }
    co_await Sleep(kLookPeriod);
  }
  co_return std::nullopt;
}

/** What the verdict means to the operator. */
auto CheckVerdict(apply_status verdict) -> outcome<void> {
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

/** Waits until every host has applied the record or refuses to serve. Returns
 * whether the wait ended early. */
auto WaitForAcceptance(const controld& c,
                       log_offset offset,
                       time_point acknowledged) -> asio::awaitable<bool> {
  const auto accepted_at = c.tracker.AcceptedAt(acknowledged);
  while (clock::now() < accepted_at) {
    if (c.tracker.AppliedEverywhere(offset)) {
      co_return true;
    }
    co_await Sleep(kLookPeriod);
  }
  co_return false;
}

/** MakeChange() without its metrics. */
auto RunChange(controld& c, config_change change)
    -> asio::awaitable<outcome<accepted_change>> {
  if (!c.tracker.IsConfirmed() || c.state != serve_state::kServing) {
    co_return ChangeFailure(error_code::kUnavailable,
                            "this host is joining or leaving; use another host",
                            ran_state::kNo);
  }
  co_await WaitForVersion(c, change,
                          clock::now() + 2 * c.settings.pull_interval);
  auto tested = c.replica.Read([&change](const config_tree& tree) {
    return ToOutcome([&] { return tree.Test(change); });
  });
  if (!tested) {
    co_return tested.error();
  }
  auto make = [change](const record_writer& writer) {
    return ChangeRecord(writer, change);
  };
  const auto deadline = clock::now() + c.settings.change_timeout;
  auto appended = co_await c.appender.Append(make, deadline);
  if (!appended) {
    co_return appended.error();
  }
  const auto read_limit = clock::now() + c.settings.change_timeout;
  const auto seen = co_await WaitForVerdict(c, appended->record, read_limit);
  c.seen.Forget(appended->record);
  if (!seen) {
    co_return ChangeFailure(error_code::kUnavailable,
                            "the change is in the log but could not be read "
                            "back; see the node's history",
                            ran_state::kMaybe);
  }
  auto verdict = CheckVerdict(seen->verdict);
  if (!verdict) {
    co_return verdict.error();
  }
  accepted_change accepted;
  accepted.offset = seen->offset;
  accepted.version = seen->offset.value + 1;
  accepted.early =
      co_await WaitForAcceptance(c, seen->offset, appended->acknowledged);
  co_return accepted;
}

}  // namespace

auto MakeChange(controld& c, config_change change)
    -> asio::awaitable<outcome<accepted_change>> {
  const auto started = clock::now();
  auto result = co_await RunChange(c, std::move(change));
  if (result) {
    ++c.metrics.changes_accepted;
    c.metrics.accept_latency.Observe(clock::now() - started);
  } else {
    ++c.metrics.changes_refused;
  }
  co_return result;
}

}  // namespace dogwood
