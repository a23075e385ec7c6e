#include "src/dispatch_usage.h"

#include <algorithm>

namespace dogwood {
namespace {

/** Grants are remembered, and an answer of a dispatcher counts as recent, for
 * this long. */
constexpr std::chrono::seconds kMemory{5};
/** Grants within this time are reported as one row. */
constexpr std::chrono::milliseconds kGrantInterval{50};

/** Returns the tokens still in use after a refill that lasts from `from` to
 * `to`. */
auto Remaining(double used, double per_s, time_point from, time_point to)
    -> double {
  const auto seconds = std::chrono::duration<double>(to - from).count();
  return std::max(0.0, used - per_s * std::max(0.0, seconds));
}

}  // namespace

auto limit_ledger::Clear() -> void {
  buckets_.clear();
  informed_ = false;
}

auto limit_ledger::Refill(bucket& b, time_point now) -> void {
  if (now <= b.at) {
    return;
  }
  const auto seconds = std::chrono::duration<double>(now - b.at).count();
  const auto unused = b.rate.per_s * seconds - b.used;
  if (unused > 0) {
    if (b.unused.empty() || now - b.unused.back().at > kGrantInterval) {
      b.unused.push_back({now, 0});
    }
    b.unused.back().tokens += unused;
  }
  while (!b.unused.empty() && now - b.unused.front().at > kMemory) {
    b.unused.pop_front();
  }
  b.used = std::max(0.0, -unused);
  b.at = now;
}

auto limit_ledger::CountLate(bucket& b, double tokens, time_point at)
    -> double {
  for (auto it = b.unused.rbegin(); it != b.unused.rend() && it->at > at;
       ++it) {
    const auto covered = std::min(tokens, it->tokens);
    it->tokens -= covered;
    tokens -= covered;
  }
  return tokens;
}

auto limit_ledger::ApplyEvents(bucket& b) -> void {
  std::ranges::stable_sort(b.events, {}, &event::at);
  for (const auto& e : std::exchange(b.events, {})) {
    Refill(b, e.at);
    if (e.is_usage) {
      const auto used = Remaining(e.tokens, b.rate.per_s, e.at, b.at);
      if (used >= b.used) {
        b.used = used;
        b.covered_until = std::max(b.covered_until, e.at);
      }
    } else if (e.is_local || e.at > b.covered_until) {
      b.used += CountLate(b, e.tokens, e.at);
    }
  }
}

auto limit_ledger::Record(const usage_report& report,
                          bool decides,
                          time_point now) -> void {
  informed_ = informed_ || report.is_informed;
  std::vector<bucket*> changed;
  const auto add = [&](const auto& row, const event& e) {
    if (row.rate.per_s <= 0) {
      return;
    }
    auto& b = buckets_[row.workspace];
    b.rate = row.rate;
    b.events.push_back(e);
    changed.push_back(&b);
  };
  for (const auto& row : report.known) {
    add(row, {.at = std::min(row.at, now),
              .tokens = row.used,
              .is_usage = true,
              .is_local = false});
  }
  for (const auto& row : report.grants) {
    add(row, {.at = std::min(row.at, now),
              .tokens = static_cast<double>(row.count),
              .is_usage = false,
              .is_local = row.source == dispatcher_term()});
  }
  if (decides) {
    for (auto* b : changed) {
      ApplyEvents(*b);
    }
  }
}

auto limit_ledger::Consume(const workspace_id& workspace,
                           const limit_rate& rate,
                           time_point now) -> bool {
  auto& b = buckets_[workspace];
  b.rate = rate;
  ApplyEvents(b);
  Refill(b, now);
  const auto burst = std::max(1.0, rate.burst);
  if (!b.open) {
    b.open = true;
    if (!informed_) {
      b.used = std::max(b.used, rate.burst * (1 - initial_share_));
    }
  }
  if (b.used + 1 > burst) {
    return false;
  }
  b.used += 1;
  return true;
}

auto limit_ledger::Refund(const workspace_id& workspace) -> void {
  const auto found = buckets_.find(workspace);
  if (found != buckets_.end()) {
    found->second.used = std::max(0.0, found->second.used - 1);
  }
}

auto limit_ledger::Usage(double min_share, time_point now) const
    -> std::vector<limit_usage> {
  std::vector<limit_usage> rows;
  for (const auto& [workspace, b] : buckets_) {
    const auto used = Remaining(b.used, b.rate.per_s, b.at, now);
    if (used > 0 && used >= min_share * b.rate.burst) {
      rows.push_back({workspace, b.rate, used, now, {}});
    }
  }
  return rows;
}

auto limit_ledger::Used(const workspace_id& workspace, time_point now) const
    -> double {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return 0;
  }
  const auto& b = found->second;
  return Remaining(b.used, b.rate.per_s, b.at, now);
}

auto usage_memory::RecordUsage(const limit_usage& usage) -> void {
  const auto [found, is_new] = known_.try_emplace(usage.workspace, usage);
  auto& old = found->second;
  // A dispatcher that others have replaced may know of less.
  if (is_new || old.source == usage.source ||
      usage.used >= Remaining(old.used, usage.rate.per_s, old.at, usage.at)) {
    old = usage;
  }
}

auto usage_memory::RecordGrant(const workspace_id& workspace,
                               const limit_rate& rate,
                               dispatcher_term source,
                               time_point now) -> void {
  grants_.push_back({workspace, rate, source, now});
  while (now - grants_.front().at > kMemory) {
    grants_.pop_front();
  }
}

auto usage_memory::MakeReport(const std::string& target, time_point now)
    -> usage_report {
  usage_report report;
  report.is_informed = last_contact_ && now - *last_contact_ <= kMemory;
  auto& to = recipients_[target];
  std::erase_if(known_, [now](const auto& entry) {
    const auto& usage = entry.second;
    return Remaining(usage.used, usage.rate.per_s, usage.at, now) <= 0;
  });
  for (const auto& [workspace, usage] : known_) {
    if (usage.source != to.term) {
      report.known.push_back(usage);
    }
  }
  std::map<std::pair<workspace_id, dispatcher_term>, std::size_t> latest;
  for (const auto& grant : grants_) {
    if (grant.at <= to.reported_until || grant.source == to.term ||
        now - grant.at > kMemory) {
      continue;
    }
    const auto [found, is_new] = latest.try_emplace(
        {grant.workspace, grant.source}, report.grants.size());
    if (is_new ||
        grant.at - report.grants[found->second].at >= kGrantInterval) {
      found->second = report.grants.size();
      report.grants.push_back(
          {grant.workspace, grant.rate, 0, grant.at, grant.source});
    }
    ++report.grants[found->second].count;
  }
  to.reported_until = now;
  std::erase_if(recipients_, [now](const auto& entry) {
    return now - entry.second.reported_until > kMemory;
  });
  return report;
}

auto usage_memory::RecordReply(const std::string& target,
                               dispatcher_term term,
                               bool ready,
                               time_point now) -> void {
  if (ready) {
    last_contact_ = now;
    recipients_[target].term = term;
  } else {
    recipients_[target].term.reset();
  }
}

auto usage_memory::RecordNoReply(const std::string& target, time_point previous)
    -> void {
  auto& to = recipients_[target];
  to.term.reset();
  to.reported_until = std::min(to.reported_until, previous);
}

auto usage_memory::ReportedUntil(const std::string& target) const
    -> time_point {
  const auto found = recipients_.find(target);
  return found == recipients_.end() ? time_point()
                                    : found->second.reported_until;
}

auto usage_memory::Used(const workspace_id& workspace, time_point now) const
    -> double {
  const auto found = known_.find(workspace);
  if (found == known_.end()) {
    return 0;
  }
  const auto& usage = found->second;
  return Remaining(usage.used, usage.rate.per_s, usage.at, now);
}

}  // namespace dogwood
