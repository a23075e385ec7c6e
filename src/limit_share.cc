#include <algorithm>
#include <cmath>

#include "src/limit_base.h"

namespace dogwood {
namespace {

/** Weight of the latest window in the moving average of the demand. */
constexpr double kDemandWeight = 0.5;
/** A host holds tokens for the demand of this many request intervals. */
constexpr double kHeldIntervals = 2.0;
/** Demand per request interval below which tokens are requested only on demand:
 * a token that is held for a rare request usually expires unused. */
constexpr double kMinHeldDemand = 0.5;

auto Seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

limit_share_table::limit_share_table(limit_mode mode, duration request_interval)
    : mode_(mode), request_interval_(request_interval) {}

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
  for (auto& l : s.grants) {
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
    s.window_start = now - request_interval_;
  }
  const auto elapsed = now - s.window_start;
  if (elapsed < request_interval_) {
    return;
  }
  const auto latest = s.arrived / Seconds(elapsed);
  s.demand_per_s += kDemandWeight * (latest - s.demand_per_s);
  s.arrived = 0;
  s.window_start = now;
}

auto limit_share_table::HeldTarget(const share& s) const -> std::uint32_t {
  const auto per_interval = s.demand_per_s * Seconds(request_interval_);
  if (mode_ != limit_mode::kDemandShares || per_interval < kMinHeldDemand) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::ceil(per_interval * kHeldIntervals));
}

auto limit_share_table::MakeRequest(const workspace_id& workspace,
                                    share& s,
                                    time_point now) -> token_request {
  token_request request;
  request.workspace = workspace;
  const auto target = HeldTarget(s) + s.waiting;
  std::uint32_t held = 0;
  for (auto& l : s.grants) {
    if (now >= l.expires) {
      l.tokens = 0;
      continue;
    }
    const auto kept = std::min(l.tokens, target - std::min(target, held));
    const auto returned = l.tokens - kept;
    l.tokens = kept;
    held += kept;
    if (l.used + returned > 0) {
      request.reports.push_back({l.id, l.used, returned});
      l.used = 0;
    }
  }
  std::erase_if(s.grants, [](const held_grant& l) { return l.tokens == 0; });
  request.tokens = target - std::min(target, held);
  return request;
}

auto limit_share_table::DueRequests(time_point now, time_point deadline)
    -> std::vector<token_request> {
  const std::lock_guard lock(mutex_);
  std::vector<token_request> requests;
  if (mode_ == limit_mode::kStaticSplit) {
    return requests;
  }
  for (auto& [workspace, s] : shares_) {
    MeasureDemand(s, now);
    const bool urgent = s.waiting > 0 && now >= s.retry_at;
    const bool outstanding = now < s.response_deadline;
    if (outstanding || (now < s.next_request_at && !urgent)) {
      continue;
    }
    auto request = MakeRequest(workspace, s, now);
    if (request.tokens == 0 && request.reports.empty()) {
      continue;
    }
    s.next_request_at = now + request_interval_;
    s.response_deadline = deadline;
    requests.push_back(std::move(request));
  }
  return requests;
}

auto limit_share_table::ApplyGrant(const workspace_id& workspace,
                                   const token_grant& grant,
                                   time_point sent) -> void {
  const std::lock_guard lock(mutex_);
  auto& s = shares_[workspace];
  s.response_deadline = time_point();
  if (grant.tokens == 0) {
    s.retry_at = sent + grant.retry_after;
    return;
  }
  s.grants.push_back({grant.id, grant.tokens, 0, sent + grant.ttl});
}

auto limit_share_table::RetryAt(const workspace_id& workspace, time_point now)
    -> time_point {
  const std::lock_guard lock(mutex_);
  return std::max(now, shares_[workspace].retry_at);
}

}  // namespace dogwood
