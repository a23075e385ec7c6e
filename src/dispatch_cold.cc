#include "src/dispatch_cold.h"

#include <algorithm>
#include <cmath>

namespace dogwood {
namespace {

/** Fraction of the declared rate that one dispatcher uses. */
constexpr double kShareOfRate = 0.7;

/** Added to a remaining time when it is taken over, so that later registrations
 * that took longer to arrive rarely move the end. */
constexpr std::chrono::milliseconds kArrivalMargin{500};

/** A known end that is later than the stated one by at most this is kept: the
 * margin and the longest delay of a registration. */
constexpr std::chrono::milliseconds kMaxOverstatement{3500};

}  // namespace

auto NameOf(cold_reason reason) -> const char* {
  switch (reason) {
    case cold_reason::kRegistered:
      return "registered";
    case cold_reason::kReported:
      return "reported";
    case cold_reason::kUnreachable:
      return "unreachable";
    case cold_reason::kRestarted:
      return "restarted";
    case cold_reason::kEvacuated:
      return "evacuated";
  }
  return "";
}

auto ColdStartsPerSecond(double declared_per_s) -> std::uint32_t {
  constexpr double kMost = 1e9;
  return static_cast<std::uint32_t>(
      std::clamp(std::floor(kShareOfRate * declared_per_s), 1.0, kMost));
}

auto ColdEnd(time_point known, time_point stated, time_point now)
    -> time_point {
  if (std::max(stated, now) > std::max(known, now)) {
    return stated + kArrivalMargin;
  }
  const bool is_overstated = known - kMaxOverstatement > std::max(stated, now);
  if (!is_overstated) {
    return known;
  }
  return stated > now ? stated + kArrivalMargin : time_point();
}

auto cold_starts::RecordStart(const registered_server& server, time_point now)
    -> void {
  if (!HasRate(server)) {
    return;
  }
  auto& known = records_[server.id];
  while (!known.starts.empty() && known.starts.front() <= now - kColdWindow) {
    known.starts.pop_front();
  }
  known.starts.push_back(now);
  if (known.is_unreachable) {
    known.is_unreachable = false;
    Suspect(server, cold_reason::kUnreachable, now + kSuspicionTime);
  }
}

auto cold_starts::RecordUnreachable(const registered_server& server) -> void {
  if (HasRate(server)) {
    records_[server.id].is_unreachable = true;
  }
}

auto cold_starts::RecordRestart(const registered_server& server) -> void {
  if (HasRate(server)) {
    records_[server.id].has_restarted = true;
  }
}

auto cold_starts::Suspect(const registered_server& server,
                          cold_reason reason,
                          time_point until) -> void {
  if (!HasRate(server)) {
    return;
  }
  auto& known = records_[server.id];
  if (until > known.suspected_until) {
    known.suspected_until = until;
    known.reason = reason;
  }
}

auto cold_starts::Forget(const server_id& server) -> void {
  const auto found = records_.find(server);
  if (found != records_.end()) {
    // The starts of the last second still count.
    found->second.is_unreachable = false;
    found->second.has_restarted = false;
  }
}

auto cold_starts::Advance(time_point now) -> void {
  for (auto& [server, known] : records_) {
    if (known.has_restarted) {
      known.has_restarted = false;
      if (now + kSuspicionTime > known.suspected_until) {
        known.suspected_until = now + kSuspicionTime;
        known.reason = cold_reason::kRestarted;
      }
    }
    while (!known.starts.empty() && known.starts.front() <= now - kColdWindow) {
      known.starts.pop_front();
    }
  }
  std::erase_if(records_, [now](const auto& entry) {
    const auto& known = entry.second;
    return known.starts.empty() && !known.is_unreachable &&
           now >= known.suspected_until;
  });
}

auto cold_starts::StateOf(const registered_server& server, time_point now) const
    -> std::optional<cold_state> {
  if (!HasRate(server)) {
    return std::nullopt;
  }
  cold_state state{.reason = cold_reason::kRegistered,
                   .until = server.cold_until};
  const auto found = records_.find(server.id);
  if (found != records_.end()) {
    const auto& known = found->second;
    if (known.is_unreachable) {
      return cold_state{.reason = cold_reason::kUnreachable,
                        .until = time_point::max()};
    }
    if (known.has_restarted) {
      return cold_state{.reason = cold_reason::kRestarted,
                        .until = time_point::max()};
    }
    if (known.suspected_until > state.until) {
      state = {.reason = known.reason, .until = known.suspected_until};
    }
  }
  return now < state.until ? std::optional(state) : std::nullopt;
}

auto cold_starts::MayStart(const registered_server& server,
                           time_point now) const -> bool {
  if (!StateOf(server, now)) {
    return true;
  }
  if (now < held_until_) {
    return false;
  }
  const auto found = records_.find(server.id);
  if (found == records_.end()) {
    return true;
  }
  const auto& starts = found->second.starts;
  const auto recent = std::ranges::count_if(
      starts, [&](const auto& start) { return start > now - kColdWindow; });
  return recent < StartsPerSecond(server.service);
}

auto cold_starts::StartsPerSecond(const service_id& service) const
    -> std::uint32_t {
  const auto found = rates_.find(service);
  return found == rates_.end() ? 0 : ColdStartsPerSecond(found->second);
}

}  // namespace dogwood
