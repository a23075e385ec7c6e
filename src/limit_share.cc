#include <algorithm>
#include <cmath>

#include "src/limit_base.h"

namespace dogwood {
namespace {

/** Weight of the newest window in the smoothed demand. */
constexpr double kDemandWeight = 0.5;
/** A host holds tokens for this many ask periods of its demand. */
constexpr double kHeldPeriods = 2.0;
/** Demand per ask period below which tokens are asked for only when needed:
 * a token held for a rare request mostly expires unused. */
constexpr double kLeastHeldDemand = 0.5;

/** Seconds in `d`. */
auto Seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

limit_share_table::limit_share_table(limit_mode mode, duration request_interval)
    : mode_(mode), ask_period_(request_interval) {}

auto limit_share_table::SetHostCount(std::size_t hosts) -> void {
  const std::lock_guard lock(mutex_);
  hosts_ = std::max<std::size_t>(1, hosts);
}

auto limit_share_table::Admit(const workspace_id& workspace,
                              const limit_rate& rate,
                              time_point now) -> bool {
  const std::lock_guard lock(mutex_);
  auto& s = shares_[workspace];
  ++s.arrived;
  if (ConsumeToken(s, rate, now)) {
    return true;
  }
  ++s.waiting;
  return false;
}

auto limit_share_table::AdmitWaiting(const workspace_id& workspace,
                                     const limit_rate& rate,
                                     time_point now) -> bool {
  const std::lock_guard lock(mutex_);
  auto& s = shares_[workspace];
  if (!ConsumeToken(s, rate, now)) {
    return false;
  }
  s.waiting -= s.waiting > 0 ? 1 : 0;
  return true;
}

auto limit_share_table::StopWaiting(const workspace_id& workspace) -> void {
  const std::lock_guard lock(mutex_);
  auto& s = shares_[workspace];
  s.waiting -= s.waiting > 0 ? 1 : 0;
}

auto limit_share_table::ConsumeToken(share& s,
                                     const limit_rate& rate,
                                     time_point now) -> bool {
  if (mode_ == limit_mode::kStaticSplit) {
    return ConsumeLocalToken(s, rate, now);
  }
  for (auto& l : s.lots) {
    if (l.tokens > 0 && now < l.expires) {
      --l.tokens;
      ++l.used;
      return true;
    }
  }
  return false;
}

auto limit_share_table::ConsumeLocalToken(share& s,
                                          const limit_rate& rate,
                                          time_point now) -> bool {
  const auto hosts = static_cast<double>(hosts_);
  const auto capacity = rate.burst / hosts;
  if (s.local_filled == time_point()) {
    s.local_level = capacity;
    s.local_filled = now;
  }
  s.local_level += rate.per_s / hosts * Seconds(now - s.local_filled);
  s.local_level = std::min(s.local_level, capacity);
  s.local_filled = now;
  if (s.local_level < 1) {
    return false;
  }
  s.local_level -= 1;
  return true;
}

auto limit_share_table::MeasureDemand(share& s, time_point now) -> void {
  if (s.window_start == time_point()) {
    s.window_start = now - ask_period_;
  }
  const auto elapsed = now - s.window_start;
  if (elapsed < ask_period_) {
    return;
  }
  const auto latest = s.arrived / Seconds(elapsed);
  s.demand_per_s += kDemandWeight * (latest - s.demand_per_s);
  s.arrived = 0;
  s.window_start = now;
}

auto limit_share_table::HeldTarget(const share& s) const -> std::uint32_t {
  const auto per_period = s.demand_per_s * Seconds(ask_period_);
  if (mode_ != limit_mode::kDemandShares || per_period < kLeastHeldDemand) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::ceil(per_period * kHeldPeriods));
}

auto limit_share_table::MakeAsk(const workspace_id& workspace,
                                share& s,
                                time_point now) -> token_request {
  token_request ask;
  ask.workspace = workspace;
  const auto target = HeldTarget(s) + s.waiting;
  std::uint32_t held = 0;
  for (auto& l : s.lots) {
    if (now >= l.expires) {
      l.tokens = 0;
      continue;
    }
    const auto kept = std::min(l.tokens, target - std::min(target, held));
    const auto returned = l.tokens - kept;
    l.tokens = kept;
    held += kept;
    if (l.used + returned > 0) {
      ask.reports.push_back({l.id, l.used, returned});
      l.used = 0;
    }
  }
  std::erase_if(s.lots, [](const lot& l) { return l.tokens == 0; });
  ask.tokens = target - std::min(target, held);
  return ask;
}

auto limit_share_table::DueRequests(time_point now, time_point deadline)
    -> std::vector<token_request> {
  const std::lock_guard lock(mutex_);
  std::vector<token_request> asks;
  if (mode_ == limit_mode::kStaticSplit) {
    return asks;
  }
  for (auto& [workspace, s] : shares_) {
    MeasureDemand(s, now);
    const bool urgent = s.waiting > 0 && now >= s.retry_at;
    const bool outstanding = now < s.ask_deadline;
    if (outstanding || (now < s.next_ask && !urgent)) {
      continue;
    }
    auto ask = MakeAsk(workspace, s, now);
    if (ask.tokens == 0 && ask.reports.empty()) {
      continue;
    }
    s.next_ask = now + ask_period_;
    s.ask_deadline = deadline;
    asks.push_back(std::move(ask));
  }
  return asks;
}

auto limit_share_table::ApplyGrant(const workspace_id& workspace,
                                   const token_grant& grant,
                                   time_point sent) -> void {
  const std::lock_guard lock(mutex_);
  auto& s = shares_[workspace];
  s.ask_deadline = time_point();
  if (grant.tokens == 0) {
    s.retry_at = sent + grant.retry_after;
    return;
  }
  s.lots.push_back({grant.lot, grant.tokens, 0, sent + grant.life});
}

auto limit_share_table::RetryAt(const workspace_id& workspace, time_point now)
    -> time_point {
  const std::lock_guard lock(mutex_);
  return std::max(now, shares_[workspace].retry_at);
}

}  // namespace dogwood
