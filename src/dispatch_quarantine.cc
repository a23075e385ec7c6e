#include "src/dispatch_quarantine.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dogwood {
namespace {

/** Crashes after which a request or a part is put under quarantine, and
 * different requests for a part: one alone may be at fault as a whole. */
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kMinRequests = 2;
/** Different requests after which parts that were there at the same crashes are
 * all put under quarantine. */
constexpr std::size_t kCertainRequests = 5;
/** Crashes that are remembered for a part. */
constexpr std::size_t kMaxCrashes = 64;
/** The hosts whose requests one crash has broken off report it within this
 * time. */
constexpr std::chrono::milliseconds kReportTime{150};
/** Interval at which the evidence is examined. */
constexpr std::chrono::milliseconds kDecideInterval{20};
/** Requests that break off at a server within this time belong to one crash. */
constexpr std::chrono::milliseconds kCrashSpan{1500};
constexpr std::chrono::seconds kSuspicionTtl{30};
/** A part that was answered is beyond suspicion for this long: while many
 * servers are down, a part of every prompt may lack answers for a while. */
constexpr std::chrono::seconds kAnsweredTtl{60};
constexpr std::chrono::minutes kQuarantineTime{10};
constexpr std::chrono::hours kRelapseTime{24};
/** Maximum numbers of parts that are remembered. */
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxAnswered = 16384;
constexpr std::size_t kMaxQuarantined = 256;
/** A request that was there at a crash and has not been answered since is
 * remembered for this long: callers may take their time to send it again. */
constexpr std::chrono::minutes kRequestTtl{10};
/** Length of the quarantine of a request after its third crash, and after each
 * one that follows. */
constexpr std::array<std::chrono::minutes, 3> kRequestQuarantineTimes{
    std::chrono::minutes(1), std::chrono::minutes(10), std::chrono::hours(24)};
/** Others like it are refused for this long after a request was tried again,
 * unless the run ends before. */
constexpr std::chrono::seconds kTrialTime{30};
/** Other hosts learn within this time that a request was answered. */
constexpr std::chrono::seconds kRefutedTtl{10};
/** Maximum number of requests that are remembered. */
constexpr std::size_t kMaxRequests = 4096;

auto IsSameCrash(const server_crash& a, const server_crash& b) -> bool {
  return a.server == b.server &&
         std::max(a.at, b.at) - std::min(a.at, b.at) < kCrashSpan;
}

/** Adds a crash unless it is known. */
auto AddCrash(std::vector<server_crash>& crashes, server_crash newest) -> void {
  const bool is_known = std::ranges::any_of(
      crashes,
      [&](const server_crash& other) { return IsSameCrash(newest, other); });
  if (!is_known && crashes.size() < kMaxCrashes) {
    crashes.push_back(std::move(newest));
  }
}

}  // namespace

auto prompt_quarantine::ReportedCrashes(const suspicion& evidence,
                                        time_point now)
    -> std::vector<server_crash> {
  std::vector<server_crash> reported;
  for (const auto& entry : evidence.crashes) {
    if (now - entry.at >= kReportTime) {
      reported.push_back(entry);
    }
  }
  return reported;
}

auto prompt_quarantine::IsExplained(prompt_part_id part,
                                    std::span<const server_crash> crashes,
                                    time_point now) const -> bool {
  const auto requests = suspects_.at(part).requests.size();
  return std::ranges::any_of(suspects_, [&](const auto& entry) {
    const auto others = ReportedCrashes(entry.second, now);
    const bool is_open =
        std::min(requests, entry.second.requests.size()) < kCertainRequests;
    const bool is_stronger =
        others.size() > crashes.size() ||
        (others.size() == crashes.size() && entry.first != part && is_open);
    return is_stronger &&
           std::ranges::all_of(crashes, [&](const server_crash& own) {
             return std::ranges::any_of(others, [&](const server_crash& other) {
               return IsSameCrash(own, other);
             });
           });
  });
}

auto prompt_quarantine::RecordCrash(const prompt_parts& prompt,
                                    const server_id& server,
                                    time_point now) -> void {
  Prune(now);
  for (const auto part : prompt.shared) {
    const auto answered = answered_.find(part);
    if (answered != answered_.end() && now < answered->second) {
      continue;
    }
    auto& evidence = suspects_[part];
    evidence.expires = now + kSuspicionTtl;
    if (evidence.requests.size() < kCertainRequests) {
      evidence.requests.insert(prompt.own);
    }
    AddCrash(evidence.crashes, {server, now});
    const auto relapsed = quarantined_.find(part);
    if (relapsed != quarantined_.end()) {
      relapsed->second = now + kQuarantineTime;
    }
  }
}

auto prompt_quarantine::Decide(time_point now) -> bool {
  if (now < decide_due_) {
    return false;
  }
  decide_due_ = now + kDecideInterval;
  Prune(now);
  bool is_found = false;
  for (const auto& [part, evidence] : suspects_) {
    if (evidence.crashes.size() < kMinCrashes ||
        evidence.requests.size() < kMinRequests ||
        quarantined_.contains(part) || quarantined_.size() >= kMaxQuarantined) {
      continue;
    }
    const auto crashes = ReportedCrashes(evidence, now);
    if (crashes.size() >= kMinCrashes && !IsExplained(part, crashes, now)) {
      quarantined_[part] = now + kQuarantineTime;
      is_found = true;
    }
  }
  return is_found;
}

auto prompt_quarantine::RecordAnswer(const prompt_parts& prompt, time_point now)
    -> void {
  if (answered_.size() >= kMaxAnswered) {
    Prune(now);
  }
  for (const auto part : prompt.shared) {
    suspects_.erase(part);
    quarantined_.erase(part);
    if (answered_.size() < kMaxAnswered || answered_.contains(part)) {
      answered_[part] = now + kAnsweredTtl;
    }
  }
}

auto prompt_quarantine::Prune(time_point now) -> void {
  std::erase_if(suspects_, [now](const auto& entry) {
    return now >= entry.second.expires;
  });
  if (suspects_.size() >= kMaxSuspects) {
    suspects_.clear();
  }
  if (answered_.size() >= kMaxAnswered) {
    std::erase_if(answered_,
                  [now](const auto& entry) { return now >= entry.second; });
  }
  std::erase_if(quarantined_, [now](const auto& entry) {
    return now >= entry.second + kRelapseTime;
  });
}

auto prompt_quarantine::Merge(std::span<const quarantined_part> found,
                              time_point now) -> void {
  for (const auto& entry : found) {
    const auto answered = answered_.find(entry.part);
    const bool is_refuted =
        answered != answered_.end() && now < answered->second;
    if (!is_refuted && quarantined_.size() < kMaxQuarantined) {
      auto& until = quarantined_[entry.part];
      until = std::max(until, entry.until);
    }
  }
}

auto prompt_quarantine::Replace(std::span<const quarantined_part> found)
    -> void {
  quarantined_.clear();
  for (const auto& entry : found) {
    quarantined_[entry.part] = entry.until;
  }
}

auto prompt_quarantine::Contains(const prompt_parts& prompt,
                                 time_point now) const -> bool {
  return !quarantined_.empty() &&
         std::ranges::any_of(prompt.shared, [&](prompt_part_id part) {
           const auto found = quarantined_.find(part);
           return found != quarantined_.end() && now < found->second;
         });
}

auto prompt_quarantine::Entries(time_point now) const
    -> std::vector<quarantined_part> {
  std::vector<quarantined_part> entries;
  for (const auto& [part, until] : quarantined_) {
    if (now < until) {
      entries.push_back({part, until});
    }
  }
  return entries;
}

auto request_quarantine::RecordCrash(request_hash content,
                                     const server_id& server,
                                     time_point now) -> void {
  Prune(now);
  if (records_.size() >= kMaxRequests && !records_.contains(content)) {
    return;
  }
  auto& known = records_[content];
  AddCrash(known.crashes, {server, now});
  known.forget_at = now + kRequestTtl;
  if (known.crashes.size() >= kMinCrashes) {
    const auto relapses = std::min(known.crashes.size() - kMinCrashes,
                                   kRequestQuarantineTimes.size() - 1);
    known.quarantined_until = now + kRequestQuarantineTimes.at(relapses);
    known.forget_at = known.quarantined_until + kRelapseTime;
  }
}

auto request_quarantine::RecordStart(request_hash content, time_point now)
    -> void {
  const auto found = records_.find(content);
  if (found != records_.end() && found->second.crashes.size() >= kMinCrashes) {
    found->second.quarantined_until = now + kTrialTime;
  }
}

auto request_quarantine::RecordAnswer(request_hash content, time_point now)
    -> void {
  const auto found = records_.find(content);
  if (found == records_.end()) {
    return;
  }
  if (now >= found->second.quarantined_until) {
    records_.erase(found);
    return;
  }
  found->second = {.crashes = {},
                   .quarantined_until = {},
                   .refuted_until = now + kRefutedTtl,
                   .forget_at = now + kRefutedTtl};
}

auto request_quarantine::Merge(std::span<const quarantined_request> found,
                               time_point now) -> void {
  for (const auto& entry : found) {
    if (records_.size() >= kMaxRequests && !records_.contains(entry.content)) {
      continue;
    }
    auto& known = records_[entry.content];
    if (now >= known.refuted_until) {
      known.quarantined_until = std::max(known.quarantined_until, entry.until);
      known.forget_at = std::max(known.forget_at, entry.until);
    }
  }
}

auto request_quarantine::Replace(std::span<const quarantined_request> found,
                                 time_point now) -> void {
  records_.clear();
  Merge(found, now);
}

auto request_quarantine::Contains(request_hash content, time_point now) const
    -> bool {
  const auto found = records_.find(content);
  return found != records_.end() && now < found->second.quarantined_until;
}

auto request_quarantine::Entries(time_point now) const
    -> std::vector<quarantined_request> {
  std::vector<quarantined_request> entries;
  for (const auto& [content, known] : records_) {
    if (now < known.quarantined_until && entries.size() < kMaxQuarantined) {
      entries.push_back({content, known.quarantined_until});
    }
  }
  return entries;
}

auto request_quarantine::Prune(time_point now) -> void {
  std::erase_if(records_, [now](const auto& entry) {
    return now >= entry.second.forget_at;
  });
}

}  // namespace dogwood
