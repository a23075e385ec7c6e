#include "src/batchd_partition.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/batchd_dispatch.h"
#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

constexpr std::chrono::milliseconds kOwnershipPeriod{50};
constexpr std::chrono::milliseconds kIdlePeriod{50};
/** A store that failed is tried again after this. */
constexpr std::chrono::milliseconds kStoreRetry{200};
/** Another host that claims is given this long before this one claims again:
 * one of the two is about to learn that it is not the owner. */
constexpr std::chrono::seconds kAfterLoss{2};
/** Records of one read, and how long it waits for the first. */
constexpr unsigned kReadRecords = 256;
constexpr std::chrono::milliseconds kReadWait{500};

/** Logs a failure of the store. */
auto LogStore(const partition_slot& slot, const failure& error) -> void {
  Log(log_level::kWarning, log_category::kJob,
      {slot.stream() + ": " + error.message, error.step, error.peer});
}

/** Logs a step of an ownership. */
auto LogOwner(const partition_slot& slot, std::string what) -> void {
  Log(log_level::kInfo, log_category::kJob,
      {slot.stream() + ": " + std::move(what), "own partition", ""});
}

/** Stage of the slot's owner. */
auto StageOf(partition_slot& slot) -> owner_stage {
  return slot.With([](partition_owner& owner) { return owner.stage(); });
}

/** Claims the partition. */
auto TakeOver(batchd& d, partition_slot& slot) -> asio::awaitable<void> {
  const auto deadline = clock::now() + d.settings.store_timeout;
  auto bounds = co_await d.platform.ReadBounds(slot.stream(), deadline);
  if (!bounds) {
    LogStore(slot, bounds.error());
    co_await Sleep(kStoreRetry);
    co_return;
  }
  if (!d.Owns(slot.partition(), clock::now())) {
    co_return;
  }
  slot.With(
      [&](partition_owner& owner) { owner.Claim(bounds->first, UnixNow()); });
  ++d.metrics.takeovers;
  LogOwner(slot, "claims, reading from " + std::to_string(bounds->first.value));
}

/** Logs once that the partition is owned, and whether records are missing. */
auto LogTakenOver(partition_slot& slot) -> void {
  const auto text = slot.With([](partition_owner& owner) {
    return std::to_string(owner.projection().Jobs().size()) + " jobs" +
           (owner.projection().is_exact()
                ? ""
                : "; retention has passed records that were not rewritten");
  });
  LogOwner(slot, "owned with " + text);
}

/** What an append that failed may have done. 503 is the platform's refusal in
 * an outage; an answer that was lost after the append is no answer at all. */
auto EndOf(const failure& error) -> append_outcome {
  const bool is_refused =
      error.ran == ran_state::kNo || error.code == error_code::kUnavailable;
  return is_refused ? append_outcome::kNotAppended : append_outcome::kUnknown;
}

}  // namespace

auto KeepOwnership(batchd& d, partition_slot& slot) -> asio::awaitable<void> {
  auto last = owner_stage::kIdle;
  auto retry_at = time_point::min();
  while (true) {
    co_await Sleep(kOwnershipPeriod);
    const auto now = clock::now();
    const auto stage = StageOf(slot);
    if (stage == owner_stage::kLost && last != owner_stage::kLost) {
      LogOwner(slot, "another host has claimed it");
      retry_at = now + kAfterLoss;
    }
    if (stage == owner_stage::kOwning && last != owner_stage::kOwning) {
      LogTakenOver(slot);
      KickDispatch(d);
    }
    last = stage;
    const bool owns = d.Owns(slot.partition(), now);
    const bool holds =
        stage == owner_stage::kClaiming || stage == owner_stage::kOwning;
    if (owns && !holds && now >= retry_at && !d.stopping) {
      co_await TakeOver(d, slot);
    } else if (!owns && stage != owner_stage::kIdle) {
      LogOwner(slot, "not owned any more");
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
      co_await Sleep(kIdlePeriod);
      continue;
    }
    const auto deadline = clock::now() + kReadWait + d.settings.store_timeout;
    auto page = co_await d.platform.Read(slot.stream(), from, kReadRecords,
                                         kReadWait, deadline);
    if (!page) {
      LogStore(slot, page.error());
      if (page.error().code == error_code::kNotFound) {
        LogOwner(slot, "retention has passed what was read; starting again");
        AbortItems(d, slot, slot.Resign());
      }
      co_await Sleep(kStoreRetry);
      continue;
    }
    AbortItems(d, slot, slot.Apply(page->from, page->records));
    if (!page->records.empty()) {
      KickDispatch(d);
    }
  }
}

auto AppendRecords(batchd& d, partition_slot& slot) -> asio::awaitable<void> {
  while (true) {
    co_await Sleep(d.settings.append_period);
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
        appended ? append_outcome::kAppended : EndOf(appended.error());
    slot.With(
        [end](partition_owner& owner) { owner.HandleAppendOutcome(end); });
    if (appended) {
      ++d.metrics.appends;
      d.metrics.append_records += count;
    } else {
      ++d.metrics.append_errors;
      LogStore(slot, appended.error());
      co_await Sleep(kStoreRetry);
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
