#include "src/dispatch_local.h"

#include <algorithm>
#include <tuple>

namespace dogwood {
namespace {

/** Requests beyond its slots that a server may hold before this host chooses
 * another one; servers queue a few. */
constexpr std::uint32_t kMaxQueuedPerServer = 2;
/** Fraction of all slots that the batch runs of all hosts may use without a
 * dispatcher. The rest is for online work, which cannot preempt batch runs
 * then. */
constexpr double kBatchShare = 0.5;
/** Delay after which a refused caller should retry. */
constexpr std::chrono::milliseconds kRetryDelay{800};
/** Number of hosts that is assumed to share each limit before the members are
 * known. */
constexpr std::size_t kInitialHostCount = 64;
/** Tokens of each workspace at the start of a host, when no dispatcher is
 * known. All hosts together stay within the slack of a limit. */
constexpr double kInitialTokens = 1;
/** A server that could not be reached is probed at its first request within
 * this time. Later, its registration tells whether it is cold. */
constexpr std::chrono::minutes kProbeTtl{1};

}  // namespace

local_placement::local_placement(double share, std::uint64_t seed)
    : share_(share), random_(seed), hosts_(kInitialHostCount) {}

auto local_placement::SetServers(std::vector<registered_server> servers,
                                 std::map<data_centre_id, region_id> regions)
    -> void {
  regions_ = std::move(regions);
  std::map<server_id, row> rows;
  for (auto& server : servers) {
    const auto id = server.id;
    const auto known = rows_.find(id);
    auto& entry = rows[id];
    if (known != rows_.end()) {
      entry = std::move(known->second);
      if (entry.info.start != server.start) {
        entry.has_restarted = true;
      }
    }
    entry.info = std::move(server);
  }
  rows_ = std::move(rows);
}

auto local_placement::SetHostCount(std::size_t hosts) -> void {
  hosts_ = std::max<std::size_t>(1, hosts);
}

auto local_placement::SetCounts(const std::vector<server_count>& counts,
                                time_point until) -> void {
  for (auto& [id, r] : rows_) {
    r.others = 0;
    r.factor = 1;
  }
  for (const auto& entry : counts) {
    const auto found = rows_.find(entry.server);
    if (found != rows_.end()) {
      auto& r = found->second;
      r.others = entry.count > r.own ? entry.count - r.own : 0;
      if (entry.slowness_percent > 0) {
        r.factor = static_cast<double>(entry.slowness_percent) / 100;
      }
    }
  }
  counts_until_ = until;
}

auto local_placement::RecordRunStart(const server_id& server, work_class work)
    -> void {
  own_batch_ += work == work_class::kBatch ? 1 : 0;
  const auto found = rows_.find(server);
  if (found != rows_.end()) {
    ++found->second.own;
  }
}

auto local_placement::RecordRunEnd(const server_id& server, work_class work)
    -> void {
  own_batch_ -= work == work_class::kBatch ? 1 : 0;
  const auto found = rows_.find(server);
  if (found != rows_.end() && found->second.own > 0) {
    --found->second.own;
  }
}

auto local_placement::Pause(const server_id& server, time_point until) -> void {
  const auto found = rows_.find(server);
  if (found != rows_.end()) {
    auto& r = found->second;
    r.backs_off_until = until;
    if (HasColdRate(r)) {
      r.cold_until = std::max(r.cold_until, until + ProbeInterval(r));
      r.probe_until = r.cold_until + kProbeTtl;
    }
  }
}

auto local_placement::ProbeInterval(const row& r) -> duration {
  const auto found = rates_.find(r.info.service);
  const auto per_s =
      ColdStartsPerSecond(found == rates_.end() ? 0 : found->second);
  const std::chrono::duration<double> host_interval(
      static_cast<double>(hosts_) / static_cast<double>(per_s));
  const auto least = std::max<duration>(
      kSuspicionTime, std::chrono::duration_cast<duration>(host_interval));
  // Random, since all hosts lose a server at the same time.
  std::uniform_real_distribution<double> factor(1, 2);
  return std::chrono::duration_cast<duration>(least * factor(random_));
}

auto local_placement::SuspectCold(const data_centre_id& data_centre,
                                  time_point now) -> void {
  for (auto& [id, r] : rows_) {
    if (r.info.data_centre == data_centre) {
      r.cold_until = std::max<time_point>(r.cold_until, now + kSuspicionTime);
    }
  }
}

auto local_placement::RecordCold(const server_id& server, time_point until)
    -> void {
  const auto found = rows_.find(server);
  if (found != rows_.end()) {
    found->second.cold_until = std::max(found->second.cold_until, until);
  }
}

auto local_placement::ConsumeToken(const placement_request& request,
                                   const limit_rate& rate,
                                   time_point now) -> bool {
  if (!request.takes_token || rate.per_s <= 0) {
    return true;
  }
  const auto host_share = share_ / static_cast<double>(hosts_);
  auto& b = buckets_[request.workspace];
  if (b.filled_at == time_point()) {
    b = {kInitialTokens, now};
  }
  const auto seconds = std::chrono::duration<double>(now - b.filled_at).count();
  b.level = std::min(b.level + rate.per_s * host_share * seconds,
                     std::max(1.0, rate.burst * host_share));
  b.filled_at = now;
  if (b.level < 1) {
    return false;
  }
  b.level -= 1;
  return true;
}

auto local_placement::MayRunBatch(const service_id& service,
                                  time_point now) const -> bool {
  std::size_t slots = 0;
  for (const auto& [id, r] : rows_) {
    if (r.info.service == service && !r.info.leaving) {
      slots += r.info.slots;
    }
  }
  const auto host_share =
      kBatchShare * static_cast<double>(slots) / static_cast<double>(hosts_);
  return now >= expected_until_ &&
         static_cast<double>(own_batch_) < std::max(1.0, host_share);
}

auto local_placement::RequestSlot(const placement_request& request,
                                  const limit_rate& rate,
                                  time_point now) -> placement_answer {
  placement_answer answer{.verdict = placement_verdict::kNoServer,
                          .server = {},
                          .retry_at = now + kRetryDelay};
  if (request.work == work_class::kBatch &&
      !MayRunBatch(request.service, now)) {
    answer.verdict = placement_verdict::kNoCapacity;
    return answer;
  }
  row* best = nullptr;
  std::tuple<bool, int, double, std::uint64_t> best_rank;
  for (auto& [id, r] : rows_) {
    const auto region = regions_.find(r.info.data_centre);
    const bool is_allowed =
        !request.regions.IsBound() ||
        (region != regions_.end() && request.regions.Allows(region->second));
    if (r.info.service != request.service || r.info.leaving || !is_allowed ||
        std::ranges::find(request.avoided, id) != request.avoided.end()) {
      continue;
    }
    const auto others = now < counts_until_ ? r.others : 0;
    const auto load = r.own + others;
    const auto capacity = request.work == work_class::kBatch
                              ? r.info.slots / 2
                              : r.info.slots + kMaxQueuedPerServer;
    if (answer.verdict == placement_verdict::kNoServer) {
      answer.verdict = placement_verdict::kNoCapacity;
    }
    if (r.has_restarted) {
      r.has_restarted = false;
      r.cold_until = now + kSuspicionTime;
      r.probe_until = time_point();
    }
    if (load >= capacity || now < r.backs_off_until || IsCold(r, now)) {
      continue;
    }
    const bool is_near =
        region != regions_.end() && region->second == request.place.region;
    const int tier =
        r.info.data_centre == request.place.data_centre ? 0 : (is_near ? 1 : 2);
    // The time is assumed to double from an empty to a full server.
    const auto factor = now < counts_until_ ? r.factor : 1;
    const std::tuple rank(
        load >= r.info.slots, tier,
        factor * (1 + static_cast<double>(load) / r.info.slots), random_());
    if (best == nullptr || rank < best_rank) {
      best = &r;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return answer;
  }
  if (!ConsumeToken(request, rate, now)) {
    answer.verdict = placement_verdict::kOverLimit;
    return answer;
  }
  if (HasColdRate(*best) && now < best->probe_until) {
    best->cold_until = now + ProbeInterval(*best);
  }
  best->probe_until = time_point();
  answer.verdict = placement_verdict::kGranted;
  answer.server = best->info.id;
  return answer;
}

auto local_placement::Find(const server_id& server) const
    -> const registered_server* {
  const auto found = rows_.find(server);
  return found == rows_.end() ? nullptr : &found->second.info;
}

}  // namespace dogwood
