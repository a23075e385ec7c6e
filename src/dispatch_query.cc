#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

#include "src/dispatch_base.h"

namespace dogwood {
namespace {

/** Number of distance classes, see dispatcher::TierOf(). */
constexpr std::size_t kTiers = 3;
/** A server counts as typical while its factor is within this of 100. */
constexpr int kTypicalPercentRange = 10;

/** Returns the estimate of a server, 0 if there is none. */
auto PercentOf(const server_pace* pace) -> std::uint32_t {
  return pace == nullptr ? 0 : pace->percent;
}

/** Whether hosts should know of a server's estimate although it is unused. */
auto IsUntypical(const server_pace* pace) -> bool {
  return pace != nullptr && pace->percent > 0 &&
         std::abs(static_cast<int>(pace->percent) - 100) >=
             kTypicalPercentRange;
}

}  // namespace

auto dispatcher::TierOf(const server_row& row, const host_location& place) const
    -> int {
  if (row.info.data_centre == place.data_centre) {
    return 0;
  }
  return row.region != nullptr && *row.region == place.region ? 1 : 2;
}

auto dispatcher::IsInAllowedRegion(const server_row& row,
                                   const placement_request& request) const
    -> bool {
  if (!request.regions.IsBound()) {
    return true;
  }
  return row.region != nullptr && request.regions.Allows(*row.region);
}

auto dispatcher::CanServe(const server_row& row,
                          const placement_request& request) const -> bool {
  return row.listed && !row.info.leaving &&
         row.info.service == request.service && IsInAllowedRegion(row, request);
}

auto dispatcher::IsAvailable(const server_row& row,
                             const placement_request& request,
                             time_point now) const -> bool {
  return CanServe(row, request) && now >= row.backs_off_until &&
         std::ranges::find(request.avoided, row.info.id) ==
             request.avoided.end();
}

auto dispatcher::IsUsable(const server_row& row,
                          const placement_request& request,
                          time_point now) const -> bool {
  return IsAvailable(row, request, now) && cold_.MayStart(row.info, now);
}

auto dispatcher::IsDeferredByCold(const placement_request& request,
                                  time_point now) const -> bool {
  return cold_.IsActive() &&
         std::ranges::any_of(servers_, [&](const auto& entry) {
           const auto& row = entry.second;
           return IsAvailable(row, request, now) &&
                  LoadOf(row, now) < SlotsFor(request.work, row) &&
                  !cold_.MayStart(row.info, now);
         });
}

auto dispatcher::ColdRate(const server_row& row,
                          const placement_request& request,
                          time_point now) const -> double {
  if (!IsAvailable(row, request, now)) {
    return 0;
  }
  return std::min(static_cast<double>(cold_.StartsPerSecond(row.info.service)),
                  static_cast<double>(row.info.slots) / run_seconds_);
}

auto dispatcher::ColdServers(time_point now) const -> std::vector<cold_server> {
  std::vector<cold_server> found;
  if (!cold_.IsActive()) {
    return found;
  }
  for (const auto& [id, row] : servers_) {
    const auto state = cold_.StateOf(row.info, now);
    if (row.listed && state) {
      found.push_back({id, *state});
    }
  }
  return found;
}

auto dispatcher::SlotsFor(work_class work, const server_row& row) const
    -> std::uint32_t {
  const auto reserve = work == work_class::kBatch
                           ? policy_.batch_reserve_share * row.info.slots
                           : 0;
  return row.info.slots - static_cast<std::uint32_t>(reserve);
}

auto dispatcher::BatchSlack(const placement_request& request,
                            time_point now) const -> double {
  if (request.work != work_class::kBatch) {
    return std::numeric_limits<double>::infinity();
  }
  // For batch items `latest_on_time_start` is the due time. It does not matter
  // once it has passed; without an objective it is the time of submission.
  const auto typical = speeds_.BatchRunTime(request.service);
  if (typical <= duration() || request.latest_on_time_start <= now) {
    return std::numeric_limits<double>::infinity();
  }
  return std::chrono::duration<double>(request.latest_on_time_start - now) /
         std::chrono::duration<double>(typical);
}

auto dispatcher::LoadOf(const server_row& row, time_point now)
    -> std::uint32_t {
  return row.used + (now < row.external_until ? row.external : 0);
}

auto dispatcher::FindBatchRun(const placement_request& request, time_point now)
    -> std::optional<slot_key> {
  const server_row* best = nullptr;
  std::tuple<int, double, std::size_t> best_rank;
  for (const auto& [id, row] : servers_) {
    if (!IsUsable(row, request, now) || row.batch.empty()) {
      continue;
    }
    const std::tuple rank(
        TierOf(row, request.place),
        row.pace == nullptr ? 0 : row.pace->ExpectedFactor(LoadOf(row, now)),
        SIZE_MAX - row.batch.size());
    if (best == nullptr || rank < best_rank) {
      best = &row;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  // The latest run has the least to recompute when it resumes elsewhere.
  return *std::ranges::max_element(
      best->batch, [this](const auto& a, const auto& b) {
        return slots_.at(a).granted_at < slots_.at(b).granted_at;
      });
}

auto dispatcher::HasServer(const placement_request& request) const -> bool {
  return std::ranges::any_of(servers_, [&](const auto& entry) {
    return CanServe(entry.second, request);
  });
}

auto dispatcher::Usage(double min_share, time_point now) const
    -> std::vector<limit_usage> {
  auto rows = limits_.Usage(min_share, now);
  for (auto& row : rows) {
    row.source = term_;
  }
  return rows;
}

auto dispatcher::IsAhead(const placement_request& a, const placement_request& b)
    -> bool {
  const auto order = [](const placement_request& request) {
    return std::tuple(!request.is_retry, request.priority,
                      request.latest_on_time_start);
  };
  return order(a) < order(b);
}

auto dispatcher::EstimateWait(const placement_request& request,
                              time_point now) const -> duration {
  std::size_t runs = 0;
  double cold_starts_per_s = 0;
  auto backoff_ends = time_point::max();
  for (const auto& [id, row] : servers_) {
    if (CanServe(row, request)) {
      if (cold_.StateOf(row.info, now)) {
        cold_starts_per_s += ColdRate(row, request, now);
      } else {
        runs += row.used;
      }
      if (now < row.backs_off_until &&
          std::ranges::find(request.avoided, id) == request.avoided.end()) {
        backoff_ends = std::min(backoff_ends, row.backs_off_until);
      }
    }
  }
  if (runs == 0 && cold_starts_per_s == 0) {
    // Others are told at once to return when a server can be reached again.
    const bool may_wait = request.is_retry && backoff_ends != time_point::max();
    return may_wait ? backoff_ends - now : duration::max();
  }
  const auto ahead = std::ranges::count_if(online_, [&](const auto& other) {
    return other.service == request.service &&
           other.regions.Overlaps(request.regions) &&
           now <= other.latest_on_time_start && !IsAhead(request, other);
  });
  // Cold servers get requests at their rate, however soon their slots are free.
  const auto seconds_per_slot =
      run_seconds_ /
      (static_cast<double>(runs) + cold_starts_per_s * run_seconds_);
  const auto held =
      runs == 0 ? std::max(duration(), cold_.HeldUntil() - now) : duration();
  const auto wait_behind = [&](std::ptrdiff_t requests_ahead) {
    // Slots become free at random times, so the standard deviation of the wait
    // for n of them grows with the square root of n. A request with nobody
    // ahead is queued regardless of the deviation: the next slot would stay
    // free without it.
    const auto ahead_count = static_cast<double>(requests_ahead);
    return seconds_per_slot *
           (ahead_count + 1 + policy_.wait_deviations * std::sqrt(ahead_count));
  };
  auto seconds = wait_behind(ahead);
  if (!request.is_retry) {
    const auto end = now + std::chrono::duration_cast<duration>(
                               std::chrono::duration<double>(seconds));
    seconds = wait_behind(ahead + ExpectedRetries(request.service, end));
  }
  return held + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(seconds));
}

auto dispatcher::ExpectedRetries(const service_id& service,
                                 time_point end) const -> std::ptrdiff_t {
  const auto found = expected_retries_.find(service);
  return found == expected_retries_.end()
             ? 0
             : std::distance(found->second.begin(),
                             found->second.upper_bound(end));
}

auto dispatcher::CountsNear(const host_location& place,
                            std::size_t max_rows) const
    -> std::vector<server_count> {
  std::array<std::vector<server_count>, kTiers> by_tier;
  for (const auto& [id, row] : servers_) {
    auto& tier = by_tier[TierOf(row, place)];
    if (row.used > 0 && tier.size() < max_rows) {
      tier.push_back({id, row.used, PercentOf(row.pace)});
    }
  }
  std::vector<server_count> counts;
  for (auto& tier : by_tier) {
    const auto room = std::min(tier.size(), max_rows - counts.size());
    counts.insert(counts.end(), tier.begin(),
                  tier.begin() + static_cast<std::ptrdiff_t>(room));
  }
  for (const auto& [id, row] : servers_) {
    if (counts.size() < max_rows && row.used == 0 && IsUntypical(row.pace)) {
      counts.push_back({id, 0, row.pace->percent});
    }
  }
  return counts;
}

auto dispatcher::ExternalCount(time_point now) const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [id, row] : servers_) {
    count += LoadOf(row, now) - row.used;
  }
  return count;
}

auto dispatcher::WaitingCount(work_class work) const -> std::size_t {
  return work == work_class::kOnline ? online_.size() : batch_.size();
}

auto dispatcher::FreeSlots(const service_id& service, time_point now) const
    -> std::uint32_t {
  std::uint32_t free = 0;
  for (const auto& [id, row] : servers_) {
    if (row.listed && !row.info.leaving && row.info.service == service &&
        now >= row.backs_off_until && LoadOf(row, now) < row.info.slots) {
      free += row.info.slots - LoadOf(row, now);
    }
  }
  return free;
}

}  // namespace dogwood
