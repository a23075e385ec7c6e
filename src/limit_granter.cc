#include <algorithm>
#include <cmath>

#include "src/limit_base.h"

namespace dogwood {
namespace {

auto Seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/** Returns `d` lengthened by the clock drift that owners allow for. */
auto WithLimitDrift(duration d) -> duration {
  return std::chrono::duration_cast<duration>(d * kLimitDriftFactor);
}

}  // namespace

limit_owner_table::limit_owner_table(duration grant_ttl,
                                     std::uint64_t first_grant_id)
    : grant_ttl_(grant_ttl), next_grant_id_(first_grant_id >> 1) {}

auto limit_owner_table::FirstGrantAt(time_point owner_since) const
    -> time_point {
  return owner_since + WithLimitDrift(grant_ttl_);
}

auto limit_owner_table::BucketOf(const workspace_id& workspace,
                                 time_point owner_since) -> bucket& {
  auto& b = buckets_[workspace];
  const bool is_new = b.filled_at == time_point();
  if (is_new || b.owner_since != owner_since) {
    b = bucket();
    b.owner_since = owner_since;
    b.filled_at = FirstGrantAt(owner_since);
  }
  return b;
}

auto limit_owner_table::Advance(bucket& b,
                                const limit_rate& rate,
                                time_point now) -> void {
  // Fill up to each expiry in turn: an expired grant frees capacity from its
  // expiry on, not before.
  const auto fill_until = [&](time_point until) {
    if (until > b.filled_at) {
      b.level += rate.per_s * Seconds(until - b.filled_at);
      b.filled_at = until;
    }
    b.level = std::min(b.level, std::max(0.0, rate.burst - b.outstanding));
  };
  while (!b.grants.empty() && b.grants.begin()->second.expires <= now) {
    const auto expired = b.grants.begin();
    fill_until(expired->second.expires);
    b.outstanding -= expired->second.tokens;
    b.grants.erase(expired);
  }
  fill_until(now);
  b.rate = rate;
}

auto limit_owner_table::NewGrantId() -> grant_id {
  return grant_id(++next_grant_id_);
}

auto limit_owner_table::Grant(const workspace_id& workspace,
                              const limit_rate& rate,
                              std::uint32_t want,
                              std::span<const grant_report> reports,
                              time_point owner_since,
                              time_point now) -> token_grant {
  const std::lock_guard lock(mutex_);
  auto& b = BucketOf(workspace, owner_since);
  Advance(b, rate, now);
  for (const auto& report : reports) {
    const auto found = b.grants.find(report.grant);
    if (found == b.grants.end()) {
      continue;
    }
    const auto reported =
        std::min(found->second.tokens, report.used + report.returned);
    found->second.tokens -= reported;
    b.outstanding -= reported;
    b.level += std::min(reported, report.returned);
    if (found->second.tokens == 0) {
      b.grants.erase(found);
    }
  }
  token_grant grant;
  grant.ttl = grant_ttl_;
  grant.tokens = std::min(want, static_cast<std::uint32_t>(b.level));
  if (grant.tokens > 0) {
    grant.id = NewGrantId();
    b.level -= grant.tokens;
    b.outstanding += grant.tokens;
    b.grants[grant.id] = {grant.tokens, now + WithLimitDrift(grant_ttl_)};
  } else if (want > 0 && rate.per_s > 0) {
    const auto fill_time_s = (1 - b.level) / rate.per_s;
    grant.retry_after =
        std::max<duration>(b.filled_at - now, duration::zero()) +
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(fill_time_s));
  }
  return grant;
}

auto limit_owner_table::EvictFull(time_point now) -> void {
  const std::lock_guard lock(mutex_);
  for (auto& [workspace, b] : buckets_) {
    Advance(b, b.rate, now);
  }
  std::erase_if(buckets_, [](const auto& entry) {
    return entry.second.level >= entry.second.rate.burst;
  });
}

}  // namespace dogwood
