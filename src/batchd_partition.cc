#include "src/batchd_partition.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/batchd_dispatch.h"
#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

constexpr std::chrono::milliseconds kOwnershipPollInterval{50};
constexpr std::chrono::milliseconds kIdlePollInterval{50};
/** Delay of a retry after a failed call of the store. */
constexpr std::chrono::milliseconds kStoreRetryDelay{200};
/** Delay before this host claims again after another host's claim: one of the
 * two is about to learn that it is not the owner. */
constexpr std::chrono::seconds kReclaimDelay{2};
/** Maximum records of one read, and how long it waits for the first one. */
constexpr unsigned kMaxReadRecords = 256;
constexpr std::chrono::milliseconds kReadTimeout{500};

/** Logs a failed call of the store. */
auto LogStoreError(const partition_slot& slot, const failure& error) -> void {
  Log(log_level::kWarning, log_category::kJob,
      {slot.stream() + ": " + error.message, error.step, error.peer});
}

/** Logs a change of ownership. */
auto LogOwnership(const partition_slot& slot, std::string what) -> void {
  Log(log_level::kInfo, log_category::kJob,
      {slot.stream() + ": " + std::move(what), "own partition", ""});
}

/** Returns the ownership stage of a partition. */
auto StageOf(partition_slot& slot) -> owner_stage {
  return slot.With([](partition_owner& owner) { return owner.stage(); });
}

/** Reads the bounds of the stream and queues a claim. */
auto ClaimPartition(batchd& d, partition_slot& slot) -> asio::awaitable<void> {
  const auto deadline = clock::now() + d.settings.store_timeout;
  auto bounds = co_await d.platform.ReadBounds(slot.stream(), deadline);
  if (!bounds) {
    LogStoreError(slot, bounds.error());
    co_await Sleep(kStoreRetryDelay);
    co_return;
  }
  if (!d.Owns(slot.partition(), clock::now())) {
    co_return;
  }
  slot.With(
      [&](partition_owner& owner) { owner.Claim(bounds->first, UnixNow()); });
  ++d.metrics.takeovers;
  LogOwnership(slot, "claiming; replaying from offset " +
                         std::to_string(bounds->first.value));
}

/** Logs that the partition is owned, and whether records are missing. */
auto LogOwned(partition_slot& slot) -> void {
  const auto text = slot.With([](partition_owner& owner) {
    return std::to_string(owner.projection().Jobs().size()) + " jobs" +
           (owner.projection().is_complete()
                ? ""
                : "; retention has passed records that were not rewritten");
  });
  LogOwnership(slot, "owned; " + text);
}

/** Returns the outcome of a failed append. The platform refuses appends in an
 * outage with 503, so the records are not in the log. If no response arrives,
 * the append may have taken effect. */
auto OutcomeOf(const failure& error) -> append_outcome {
  const bool is_refused =
      error.ran == ran_state::kNo || error.code == error_code::kUnavailable;
  return is_refused ? append_outcome::kNotAppended : append_outcome::kUnknown;
}

}  // namespace

auto MaintainOwnership(batchd& d, partition_slot& slot)
    -> asio::awaitable<void> {
  auto last = owner_stage::kIdle;
  auto retry_at = time_point::min();
  while (true) {
    co_await Sleep(kOwnershipPollInterval);
    const auto now = clock::now();
    const auto stage = StageOf(slot);
    if (stage == owner_stage::kLost && last != owner_stage::kLost) {
      LogOwnership(slot, "lost: another host has claimed the partition");
      retry_at = now + kReclaimDelay;
    }
    if (stage == owner_stage::kOwning && last != owner_stage::kOwning) {
      LogOwned(slot);
      TriggerDispatch(d);
    }
    last = stage;
    const bool owns = d.Owns(slot.partition(), now);
    const bool holds =
        stage == owner_stage::kClaiming || stage == owner_stage::kOwning;
    if (owns && !holds && now >= retry_at && !d.stopping) {
      co_await ClaimPartition(d, slot);
    } else if (!owns && stage != owner_stage::kIdle) {
      LogOwnership(slot, "resigned: this host is no longer the owner");
      AbortItems(d, slot, slot.Resign());
      last = owner_stage::kIdle;
    }
  }
}

auto FollowStream(batchd& d, partition_slot& slot) -> asio::awaitable<void> {
  while (true) {
    const auto [stage, from] = slot.With([](partition_owner& owner) {
      return std::pair(owner.stage(), owner.projection().next_offset());
    });
    if (stage == owner_stage::kIdle) {
      co_await Sleep(kIdlePollInterval);
      continue;
    }
    const auto deadline =
        clock::now() + kReadTimeout + d.settings.store_timeout;
    auto page = co_await d.platform.Read(slot.stream(), from, kMaxReadRecords,
                                         kReadTimeout, deadline);
    if (!page) {
      LogStoreError(slot, page.error());
      if (page.error().code == error_code::kNotFound) {
        LogOwnership(slot,
                     "retention removed records before they were replayed; "
                     "restarting replay");
        AbortItems(d, slot, slot.Resign());
      }
      co_await Sleep(kStoreRetryDelay);
      continue;
    }
    AbortItems(d, slot, slot.Apply(page->from, page->records));
    if (!page->records.empty()) {
      TriggerDispatch(d);
    }
  }
}

auto AppendRecords(batchd& d, partition_slot& slot) -> asio::awaitable<void> {
  while (true) {
    co_await Sleep(d.settings.append_interval);
    auto records = slot.With(
        [](partition_owner& owner) { return owner.StartAppend(UnixNow()); });
    if (records.empty()) {
      continue;
    }
    const auto count = records.size();
    const auto deadline = clock::now() + d.settings.store_timeout;
    auto appended =
        co_await d.platform.Append(slot.stream(), std::move(records), deadline);
    const auto end =
        appended ? append_outcome::kAppended : OutcomeOf(appended.error());
    slot.With(
        [end](partition_owner& owner) { owner.HandleAppendOutcome(end); });
    if (appended) {
      ++d.metrics.appends;
      d.metrics.append_records += count;
    } else {
      ++d.metrics.append_errors;
      LogStoreError(slot, appended.error());
      co_await Sleep(kStoreRetryDelay);
    }
  }
}

auto IsFlushed(batchd& d) -> bool {
  return std::all_of(
      d.partitions.begin(), d.partitions.end(), [](const auto& slot) {
        return slot->With([](partition_owner& owner) {
          return owner.stage() == owner_stage::kIdle || owner.IsFlushed();
        });
      });
}

}  // namespace dogwood
