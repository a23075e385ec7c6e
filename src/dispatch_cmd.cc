#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

#include "src/dispatch_base.h"

namespace dogwood {
namespace {

/** Weight of the newest run in the smoothed time of a run. */
constexpr double kRunWeight = 0.02;

/** Seconds in `d`. */
auto Seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/** What orders asks that wait: those that were refused before have waited
 * longest, and to refuse them again would end them. */
auto OrderOf(const placement_request& ask) {
  return std::tuple(!ask.is_retry, ask.priority, ask.latest_on_time_start);
}

}  // namespace

dispatcher::dispatcher(dispatch_policy policy, std::uint64_t seed)
    : policy_(policy),
      random_(seed),
      run_seconds_(Seconds(policy.first_run_time)) {}

auto dispatcher::Start(time_point now) -> void {
  ready_at_ = now + policy_.warm_up;
  slots_.clear();
  silent_after_.clear();
  buckets_.clear();
  online_.clear();
  batch_.clear();
  returns_.clear();
  notices_.clear();
  preemptions_.clear();
  for (auto& [id, row] : servers_) {
    row.used = 0;
    row.yielding = 0;
    row.batch.clear();
  }
}

auto dispatcher::Stop() -> void {
  ready_at_ = time_point::max();
  for (auto* queue : {&online_, &batch_}) {
    for (auto& ask : *queue) {
      ask.takes_token = false;
      Refuse(ask, placement_verdict::kNotReady, ask.latest_on_time_start);
    }
    queue->clear();
  }
}

auto dispatcher::SetServers(std::vector<registered_server> servers,
                            std::map<data_centre_id, region_id> regions)
    -> void {
  regions_ = std::move(regions);
  for (auto& [id, row] : servers_) {
    row.listed = false;
  }
  for (auto& server : servers) {
    auto& row = servers_[server.id];
    row.listed = true;
    row.info = std::move(server);
  }
  std::erase_if(servers_, [](const auto& entry) {
    return !entry.second.listed && entry.second.used == 0 &&
           entry.second.yielding == 0;
  });
}

auto dispatcher::Tier(const server_row& row, const host_location& place) const
    -> int {
  if (row.info.data_centre == place.data_centre) {
    return 0;
  }
  const auto region = regions_.find(row.info.data_centre);
  return region != regions_.end() && region->second == place.region ? 1 : 2;
}

auto dispatcher::IsUsable(const server_row& row,
                          const placement_request& ask,
                          time_point now) const -> bool {
  return row.listed && !row.info.leaving && row.info.service == ask.service &&
         now >= row.paused_until &&
         std::ranges::find(ask.avoided, row.info.id) == ask.avoided.end();
}

auto dispatcher::SlotsFor(work_class work, const server_row& row) const
    -> std::uint32_t {
  const auto reserve =
      work == work_class::kBatch ? policy_.batch_reserve * row.info.slots : 0;
  return row.info.slots - static_cast<std::uint32_t>(reserve);
}

auto dispatcher::LoadOf(const server_row& row, time_point now)
    -> std::uint32_t {
  return row.used + (now < row.others_until ? row.others : 0);
}

auto dispatcher::NotePeak(server_row& row, time_point now) -> void {
  auto& peak = row.peak;
  if (now >= peak.turns_at) {
    const bool is_next = now < peak.turns_at + policy_.reported_load_ttl;
    peak.previous = is_next ? peak.current : 0;
    peak.current = 0;
    peak.turns_at = now + policy_.reported_load_ttl;
  }
  peak.current = std::max(peak.current, row.used + row.yielding);
}

auto dispatcher::RecordReportedLoads(std::span<const server_count> told,
                                     time_point now) -> void {
  for (const auto& load : told) {
    const auto found = servers_.find(load.server);
    if (found == servers_.end()) {
      continue;
    }
    auto& row = found->second;
    NotePeak(row, now);
    const auto own = std::max(row.peak.current, row.peak.previous);
    row.others = load.count > own ? load.count - own : 0;
    row.others_until = now + policy_.reported_load_ttl;
  }
}

auto dispatcher::FindFree(const placement_request& ask, time_point now)
    -> server_row* {
  server_row* best = nullptr;
  std::tuple<int, double, std::uint64_t> best_rank;
  for (auto& [id, row] : servers_) {
    const auto load = LoadOf(row, now);
    if (!IsUsable(row, ask, now) || load >= SlotsFor(ask.work, row)) {
      continue;
    }
    // The last rank spreads requests over servers that are alike.
    const std::tuple rank(
        Tier(row, ask.place),
        static_cast<double>(load) / static_cast<double>(row.info.slots),
        random_());
    if (best == nullptr || rank < best_rank) {
      best = &row;
      best_rank = rank;
    }
  }
  return best;
}

auto dispatcher::FindBatchRun(const placement_request& ask, time_point now)
    -> std::optional<slot_key> {
  const server_row* best = nullptr;
  std::tuple<int, std::size_t> best_rank;
  for (const auto& [id, row] : servers_) {
    if (!IsUsable(row, ask, now) || row.batch.empty()) {
      continue;
    }
    const std::tuple rank(Tier(row, ask.place), SIZE_MAX - row.batch.size());
    if (best == nullptr || rank < best_rank) {
      best = &row;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  // The youngest run has the least to read again when it goes on elsewhere.
  return *std::ranges::max_element(
      best->batch, [this](const auto& a, const auto& b) {
        return slots_.at(a).granted_at < slots_.at(b).granted_at;
      });
}

auto dispatcher::HasServer(const service_id& service) const -> bool {
  return std::ranges::any_of(servers_, [&service](const auto& entry) {
    return entry.second.listed && !entry.second.info.leaving &&
           entry.second.info.service == service;
  });
}

auto dispatcher::Grant(const placement_request& ask,
                       server_row& row,
                       time_point now) -> void {
  const slot_key key(ask.host, ask.ticket);
  slots_[key] = {row.info.id, ask.work, false, now};
  ++row.used;
  NotePeak(row, now);
  if (ask.work == work_class::kBatch) {
    row.batch.insert(key);
  }
  notices_.push_back({ask.host,
                      ask.ticket,
                      {.verdict = placement_verdict::kGranted,
                       .server = row.info.id,
                       .waiting = static_cast<std::uint32_t>(online_.size()),
                       .free = FreeSlots(ask.service, now),
                       .retry_at = now}});
}

auto dispatcher::Yield(const slot_key& key) -> void {
  auto& slot = slots_.at(key);
  auto& row = servers_.at(slot.server);
  slot.yields = true;
  row.batch.erase(key);
  --row.used;
  ++row.yielding;
  preemptions_.push_back({key.first, key.second});
}

auto dispatcher::TryPlace(const placement_request& ask, time_point now)
    -> bool {
  if (auto* row = FindFree(ask, now)) {
    Grant(ask, *row, now);
    return true;
  }
  if (ask.work == work_class::kBatch) {
    return false;
  }
  const auto run = FindBatchRun(ask, now);
  if (!run) {
    return false;
  }
  auto& row = servers_.at(slots_.at(*run).server);
  Yield(*run);
  Grant(ask, row, now);
  return true;
}

auto dispatcher::ReturnTime(time_point now) -> time_point {
  // Spread, so that callers refused together do not return together.
  std::uniform_int_distribution<std::int64_t> spread(
      policy_.first_return.count(), policy_.last_return.count());
  return now + std::chrono::milliseconds(spread(random_));
}

auto dispatcher::Refuse(const placement_request& ask,
                        placement_verdict verdict,
                        time_point now) -> void {
  if (verdict != placement_verdict::kOverLimit) {
    ReturnToken(ask);
  }
  const auto retry_at = ReturnTime(now);
  if (verdict == placement_verdict::kNoCapacity &&
      ask.work == work_class::kOnline && !ask.is_retry) {
    returns_[ask.service].insert(retry_at);
  }
  notices_.push_back({ask.host,
                      ask.ticket,
                      {.verdict = verdict,
                       .server = {},
                       .waiting = static_cast<std::uint32_t>(online_.size()),
                       .free = FreeSlots(ask.service, now),
                       .retry_at = retry_at}});
}

auto dispatcher::ConsumeToken(const placement_request& ask,
                              const limit_rate& rate,
                              time_point now) -> bool {
  if (!ask.takes_token || rate.per_s <= 0) {
    return true;
  }
  const auto [found, is_new] = buckets_.try_emplace(ask.workspace);
  auto& b = found->second;
  if (is_new) {
    b = {rate.burst * policy_.first_burst, now};
  }
  b.level += rate.per_s * Seconds(now - b.filled_at);
  b.level = std::min(b.level, std::max(1.0, rate.burst));
  b.filled_at = now;
  if (b.level < 1) {
    return false;
  }
  b.level -= 1;
  return true;
}

auto dispatcher::ReturnToken(const placement_request& ask) -> void {
  const auto found = buckets_.find(ask.workspace);
  if (ask.takes_token && found != buckets_.end()) {
    found->second.level += 1;
  }
}

auto dispatcher::WaitOf(const placement_request& ask, time_point now) const
    -> duration {
  std::size_t runs = 0;
  for (const auto& [id, row] : servers_) {
    if (row.listed && !row.info.leaving && row.info.service == ask.service) {
      runs += row.used;
    }
  }
  if (runs == 0) {
    return duration::max();
  }
  const auto ahead = std::ranges::count_if(online_, [&](const auto& other) {
    return other.service == ask.service && now <= other.latest_on_time_start &&
           OrderOf(other) <= OrderOf(ask);
  });
  const auto seconds_per_slot = run_seconds_ / static_cast<double>(runs);
  const auto wait_behind = [&](std::ptrdiff_t asks) {
    // Slots come free at random times, so the wait for some of them deviates by
    // the root of their number. An ask behind nobody is taken as it comes: the
    // next slot would stay free without it.
    const auto others = static_cast<double>(asks);
    return seconds_per_slot *
           (others + 1 + policy_.wait_deviations * std::sqrt(others));
  };
  auto seconds = wait_behind(ahead);
  if (!ask.is_retry) {
    const auto end = now + std::chrono::duration_cast<duration>(
                               std::chrono::duration<double>(seconds));
    seconds = wait_behind(ahead + ReturnsUntil(ask.service, end));
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

auto dispatcher::ReturnsUntil(const service_id& service, time_point end) const
    -> std::ptrdiff_t {
  const auto found = returns_.find(service);
  return found == returns_.end()
             ? 0
             : std::distance(found->second.begin(),
                             found->second.upper_bound(end));
}

auto dispatcher::Enqueue(std::list<placement_request>& queue,
                         placement_request ask) -> void {
  const auto place = std::ranges::find_if(queue, [&ask](const auto& other) {
    return OrderOf(ask) < OrderOf(other);
  });
  queue.insert(place, std::move(ask));
}

auto dispatcher::Ask(placement_request ask,
                     const limit_rate& rate,
                     time_point now) -> void {
  if (!IsReady(now)) {
    // ReturnToken() must not add a token that was never taken.
    ask.takes_token = false;
    Refuse(ask, placement_verdict::kNotReady, now);
    return;
  }
  if (!HasServer(ask.service)) {
    ask.takes_token = false;
    Refuse(ask, placement_verdict::kNoServer, now);
    return;
  }
  if (!ConsumeToken(ask, rate, now)) {
    Refuse(ask, placement_verdict::kOverLimit, now);
    return;
  }
  const bool is_batch = ask.work == work_class::kBatch;
  if (is_batch ? batch_.empty() && online_.empty() && TryPlace(ask, now)
               : TryPlace(ask, now)) {
    return;
  }
  if (is_batch) {
    Enqueue(batch_, std::move(ask));
    return;
  }
  const auto limit = ask.is_retry ? ask.latest_start : ask.latest_on_time_start;
  const auto wait = WaitOf(ask, now);
  if (wait > limit - now) {
    Refuse(ask, placement_verdict::kNoCapacity, now);
    return;
  }
  Enqueue(online_, std::move(ask));
}

auto dispatcher::Withdraw(const host_id& host, ticket_id ticket) -> void {
  for (auto* queue : {&online_, &batch_}) {
    const auto found = std::ranges::find_if(*queue, [&](const auto& ask) {
      return ask.host == host && ask.ticket == ticket;
    });
    if (found != queue->end()) {
      Refuse(*found, placement_verdict::kNoCapacity, found->latest_start);
      queue->erase(found);
    }
  }
}

auto dispatcher::Release(const slot_key& key) -> void {
  const auto found = slots_.find(key);
  if (found == slots_.end()) {
    return;
  }
  const auto row = servers_.find(found->second.server);
  if (row != servers_.end()) {
    --(found->second.yields ? row->second.yielding : row->second.used);
    row->second.batch.erase(key);
  }
  slots_.erase(found);
}

auto dispatcher::End(const host_id& host,
                     const run_end_report& end,
                     time_point now) -> void {
  const slot_key key(host, end.ticket);
  const auto found = slots_.find(key);
  if (found == slots_.end()) {
    return;
  }
  const auto row = servers_.find(found->second.server);
  if (row != servers_.end()) {
    auto& server = row->second;
    if (end.outcome == run_outcome::kUnreachable) {
      server.last_pause = std::clamp<duration>(
          2 * server.last_pause, policy_.first_pause, policy_.longest_pause);
      server.paused_until = now + server.last_pause;
    } else if (end.outcome == run_outcome::kFull) {
      server.paused_until =
          std::max(server.paused_until, now + policy_.full_pause);
    } else if (end.outcome == run_outcome::kComplete) {
      server.last_pause = duration();
    }
  }
  if (end.outcome == run_outcome::kComplete &&
      found->second.work == work_class::kOnline) {
    const auto seconds = Seconds(now - found->second.granted_at);
    run_seconds_ += kRunWeight * (seconds - run_seconds_);
  }
  Release(key);
  Advance(now);
}

auto dispatcher::ReconcileHeldSlots(const host_id& host,
                                    std::span<const held_slot> held,
                                    time_point now) -> void {
  silent_after_[host] = now + policy_.host_silence;
  std::set<ticket_id> listed;
  for (const auto& entry : held) {
    listed.insert(entry.ticket);
    const slot_key key(host, entry.ticket);
    const auto row = servers_.find(entry.server);
    if (slots_.contains(key) || row == servers_.end()) {
      continue;
    }
    slots_[key] = {entry.server, entry.work, false, now};
    ++row->second.used;
    NotePeak(row->second, now);
    if (entry.work == work_class::kBatch) {
      row->second.batch.insert(key);
    }
  }
  std::vector<slot_key> gone;
  const auto first = slots_.lower_bound(slot_key(host, ticket_id(0)));
  for (auto it = first; it != slots_.end() && it->first.first == host; ++it) {
    if (!listed.contains(it->first.second) &&
        now - it->second.granted_at > policy_.grant_travel) {
      gone.push_back(it->first);
    }
  }
  for (const auto& key : gone) {
    Release(key);
  }
}

auto dispatcher::RefuseOverdue(std::list<placement_request>& queue,
                               time_point now) -> void {
  for (auto it = queue.begin(); it != queue.end();) {
    if (now >= it->latest_start) {
      Refuse(*it, placement_verdict::kNoCapacity, now);
      it = queue.erase(it);
    } else {
      ++it;
    }
  }
}

auto dispatcher::ServeQueue(std::list<placement_request>& queue, time_point now)
    -> void {
  // A service without a free slot is looked at once only.
  std::set<service_id> full;
  // Asks that have missed their objective go behind those that can still meet
  // it: in order of time alone, one late request makes all that follow late.
  for (const bool are_late : {false, true}) {
    for (auto it = queue.begin(); it != queue.end();) {
      if ((now > it->latest_on_time_start) == are_late &&
          !full.contains(it->service)) {
        if (TryPlace(*it, now)) {
          it = queue.erase(it);
          continue;
        }
        if (it->avoided.empty()) {
          full.insert(it->service);
        }
      }
      ++it;
    }
  }
}

auto dispatcher::Advance(time_point now) -> void {
  std::vector<slot_key> lost;
  for (auto& [key, slot] : slots_) {
    const auto heard = silent_after_.find(key.first);
    const auto last = heard == silent_after_.end()
                          ? slot.granted_at + policy_.host_silence
                          : heard->second;
    if (now >= last) {
      lost.push_back(key);
    }
  }
  for (const auto& key : lost) {
    Release(key);
  }
  // Both queues, even while only one is served: a host whose ask has no answer
  // in time takes this dispatcher for dead.
  RefuseOverdue(online_, now);
  RefuseOverdue(batch_, now);
  for (auto& [service, times] : returns_) {
    times.erase(times.begin(), times.lower_bound(now));
  }
  ServeQueue(online_, now);
  if (online_.empty()) {
    ServeQueue(batch_, now);
  }
}

auto dispatcher::DrainNotices() -> std::vector<placement_notice> {
  return std::exchange(notices_, {});
}

auto dispatcher::DrainPreemptions() -> std::vector<preemption> {
  return std::exchange(preemptions_, {});
}

auto dispatcher::Counts() const -> std::vector<server_count> {
  std::vector<server_count> counts;
  for (const auto& [id, row] : servers_) {
    counts.push_back({id, row.used});
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
        now >= row.paused_until && LoadOf(row, now) < row.info.slots) {
      free += row.info.slots - LoadOf(row, now);
    }
  }
  return free;
}

}  // namespace dogwood
