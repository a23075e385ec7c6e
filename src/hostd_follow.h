/** What a host does with what it reads in the logs of the declared state and of
 * the registrations. */
#ifndef SRC_HOSTD_FOLLOW_H_
#define SRC_HOSTD_FOLLOW_H_

#include <algorithm>
#include <concepts>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_state.h"

namespace dogwood {

/** A log that was not confirmed for longer than this has a gap: the store may
 * have been away, and registrations may have lapsed meanwhile. Shorter than
 * their lifetime less one interval of their renewals. */
inline constexpr std::chrono::milliseconds kMaxLogGap{2000};

/** Applies what the log of the declared state says. */
class state_follower {
 public:
  explicit state_follower(host_state& host) : host_(host) {}

  auto Position() -> feed_position& { return host_.state_feed; }
  auto HandleGap(time_point) -> void {}
  auto HandleSnapshot(const store_snapshot& snapshot) -> void {
    Apply(EvacuatedAfter({}, snapshot.records), snapshot.records);
  }
  auto HandleRecords(const std::vector<keyed_record>& records) -> void {
    Apply(EvacuatedAfter(host_.evacuations.All(), records), records);
  }

 private:
  auto Apply(const data_centre_set& evacuated,
             const std::vector<keyed_record>& records) -> void {
    // Before the state, which may make this host ready for callers.
    ApplyEvacuations(host_, evacuated, host_.state_feed.reached);
    ApplyNewestState(host_, records);
  }

  host_state& host_;
};

/** Applies what the log of the registrations says. */
class server_follower {
 public:
  explicit server_follower(host_state& host) : host_(host) {}

  auto Position() -> feed_position& { return host_.server_feed; }
  auto HandleGap(time_point now) -> void { host_.registrations->NoteGap(now); }
  auto HandleSnapshot(const store_snapshot& snapshot) -> void {
    std::set<std::string> present;
    for (const auto& record : snapshot.records) {
      present.insert(record.key);
    }
    host_.registrations->RemoveAbsent(present);
    HandleRecords(snapshot.records);
  }
  auto HandleRecords(const std::vector<keyed_record>& records) -> void {
    for (const auto& record : records) {
      host_.registrations->Apply(record.key, record.value);
    }
    host_.registrations->Expire(clock::now());
    host_.registrations->Publish();
  }

 private:
  host_state& host_;
};

/** Applies the records of a keyed topic. */
template <typename T>
concept log_follower = requires(T follower,
                                const store_snapshot& snapshot,
                                const std::vector<keyed_record>& records) {
  { follower.Position() } -> std::same_as<feed_position&>;
  follower.HandleGap(time_point());
  follower.HandleSnapshot(snapshot);
  follower.HandleRecords(records);
};

/** Moves the position after a read of a log that ends at `end`, and tells the
 * follower if the log was not followed up to it. */
template <log_follower T>
auto MovePosition(T& follower, log_offset next, log_offset end) -> void {
  const auto now = clock::now();
  auto& position = follower.Position();
  const bool is_first = position.confirmed == time_point();
  if (!is_first && now - position.confirmed > kMaxLogGap) {
    follower.HandleGap(now);
  }
  position.Advance(next,
                   next >= end ? std::optional<time_point>(now) : std::nullopt);
}

/** Applies a snapshot, unless another host has told a position meanwhile. */
template <log_follower T>
auto ApplySnapshot(T& follower, const store_snapshot& snapshot) -> void {
  auto& position = follower.Position();
  if (position.next) {
    return;
  }
  // Only the store itself may say that its log ends before that.
  position.reached = std::min(position.reached, snapshot.end);
  MovePosition(follower, snapshot.end, snapshot.end);
  follower.HandleSnapshot(snapshot);
}

/** What became of a page. */
enum class page_outcome {
  kApplied,
  kOvertaken,  ///< Another host has told more meanwhile.
  kDeleted,    ///< The next records were deleted: the position is lost.
};

/** Applies a page that was read from the offset `from` on. */
template <log_follower T>
auto ApplyPage(T& follower, log_offset from, const store_page& page)
    -> page_outcome {
  auto& position = follower.Position();
  if (position.next != from) {
    return page_outcome::kOvertaken;
  }
  if (page.first > from) {
    position.next.reset();
    return page_outcome::kDeleted;
  }
  MovePosition(follower, log_offset(from.value + page.records.size()),
               page.end);
  std::vector<keyed_record> records;
  for (const auto& record : page.records) {
    if (auto keyed = adapter::SplitKeyedRecord(record)) {
      records.push_back(std::move(*keyed));
    }
  }
  follower.HandleRecords(records);
  return page_outcome::kApplied;
}

}  // namespace dogwood

#endif  // SRC_HOSTD_FOLLOW_H_
