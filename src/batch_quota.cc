#include "src/batch_quota.h"

#include <algorithm>
#include <utility>

namespace dogwood {
namespace {

/** A grant whose host has not reported it by then has not been used: a
 * submission is given up earlier. */
constexpr std::chrono::seconds kGrantTtl{5};

}  // namespace

auto batch_quota::Report(const host_id& host,
                         waiting_report report,
                         time_point until) -> void {
  auto& row = hosts_[host];
  row.reported.clear();
  for (const auto& entry : report.rows) {
    row.reported[entry.key] += entry.tokens;
  }
  row.reported_until = until;
  // Numbers go on from the host's newest, also after a change of dispatcher.
  row.next_grant = std::max(row.next_grant, report.last_grant + 1);
  row.grants.erase(row.grants.begin(),
                   row.grants.upper_bound(report.last_grant));
}

auto batch_quota::Waiting(const batch_quota_key& key, time_point now) const
    -> std::uint64_t {
  std::uint64_t tokens = 0;
  for (const auto& [host, row] : hosts_) {
    const auto found = row.reported.find(key);
    if (found != row.reported.end() && now < row.reported_until) {
      tokens += found->second;
    }
    for (const auto& [number, grant] : row.grants) {
      if (grant.first.key == key && now < grant.second) {
        tokens += grant.first.tokens;
      }
    }
  }
  return tokens;
}

auto batch_quota::Request(const host_id& host,
                          const batch_quota_key& key,
                          std::uint64_t tokens,
                          std::uint64_t limit,
                          time_point now) -> batch_grant {
  if (limit > 0 && Waiting(key, now) + tokens > limit) {
    return {};
  }
  auto& row = hosts_[host];
  std::erase_if(row.grants, [now](const auto& entry) {
    return now >= entry.second.second;
  });
  const auto number = row.next_grant++;
  row.grants[number] = {{key, tokens}, now + kGrantTtl};
  return {.granted = true, .number = number};
}

auto LocalQuota(std::uint64_t limit, std::size_t hosts) -> std::uint64_t {
  return limit / std::max<std::size_t>(1, hosts);
}

}  // namespace dogwood
