#include <algorithm>
#include <utility>

#include "src/dispatch_base.h"

namespace dogwood {
namespace {

/** Weight of the latest run in the moving average of run times. */
constexpr double kRunTimeWeight = 0.02;

auto Seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

dispatcher::dispatcher(dispatch_policy policy, std::uint64_t seed)
    : policy_(policy),
      random_(seed),
      limits_(policy.initial_burst_share),
      speeds_(policy.speed),
      run_seconds_(Seconds(policy.initial_run_time)) {}

auto dispatcher::Start(time_point now) -> void {
  ready_at_ = now + policy_.warm_up;
  cold_.HoldUntil(ready_at_ + kColdWindow);
  term_ = dispatcher_term(random_());
  slots_.clear();
  host_deadlines_.clear();
  limits_.Clear();
  online_.clear();
  batch_.clear();
  expected_retries_.clear();
  notices_.clear();
  preemptions_.clear();
  for (auto& [id, row] : servers_) {
    row.used = 0;
    row.preempted = 0;
    row.batch.clear();
  }
}

auto dispatcher::Stop() -> void {
  ready_at_ = time_point::max();
  for (auto* queue : {&online_, &batch_}) {
    for (auto& request : *queue) {
      request.takes_token = false;
      Refuse(request, placement_verdict::kNotReady,
             request.latest_on_time_start);
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
    if (!row.info.id.value.empty() && row.info.start != server.start) {
      cold_.RecordRestart(server);
    }
    row.listed = true;
    row.info = std::move(server);
  }
  std::erase_if(servers_, [this](const auto& entry) {
    const bool is_gone = !entry.second.listed && entry.second.used == 0 &&
                         entry.second.preempted == 0;
    if (is_gone) {
      cold_.Forget(entry.first);
    }
    return is_gone;
  });
  for (auto& [id, row] : servers_) {
    const auto region = regions_.find(row.info.data_centre);
    row.region = region == regions_.end() ? nullptr : &region->second;
  }
  if (!policy_.speed.is_enabled) {
    return;
  }
  std::vector<registered_server> known;
  for (const auto& [id, row] : servers_) {
    known.push_back(row.info);
  }
  speeds_.SetServers(known);
  for (auto& [id, row] : servers_) {
    row.pace = speeds_.Find(id);
  }
}

auto dispatcher::AdoptSpeeds(std::span<const server_count> rows, time_point now)
    -> void {
  for (const auto& row : rows) {
    speeds_.Adopt(row.server, row.slowness_percent, now);
  }
}

auto dispatcher::RecordPeak(server_row& row, time_point now) -> void {
  auto& peak = row.peak;
  if (now >= peak.rotates_at) {
    const bool is_next = now < peak.rotates_at + policy_.reported_load_ttl;
    peak.previous = is_next ? peak.current : 0;
    peak.current = 0;
    peak.rotates_at = now + policy_.reported_load_ttl;
  }
  peak.current = std::max(peak.current, row.used + row.preempted);
}

auto dispatcher::RecordReportedLoads(std::span<const server_count> reported,
                                     time_point now) -> void {
  for (const auto& load : reported) {
    const auto found = servers_.find(load.server);
    if (found == servers_.end()) {
      continue;
    }
    auto& row = found->second;
    speeds_.RecordTold(load.server, load.slowness_percent, load.age, now);
    RecordPeak(row, now);
    const auto own = std::max(row.peak.current, row.peak.previous);
    row.external = load.count > own ? load.count - own : 0;
    row.external_until = now + policy_.reported_load_ttl;
  }
}

auto dispatcher::FindFree(const placement_request& request, time_point now)
    -> server_row* {
  if (policy_.speed.is_enabled) {
    return FindFreeBySpeed(request, now);
  }
  server_row* best = nullptr;
  std::tuple<int, double, std::uint64_t> best_rank;
  for (auto& [id, row] : servers_) {
    const auto load = LoadOf(row, now);
    if (!IsUsable(row, request, now) || load >= SlotsFor(request.work, row)) {
      continue;
    }
    const bool is_connected =
        std::ranges::find(request.connected, id) != request.connected.end();
    // The random component spreads requests over equally ranked servers.
    const std::tuple rank(
        TierOf(row, request.place),
        static_cast<double>(load) / static_cast<double>(row.info.slots) -
            (is_connected ? policy_.connected_bonus : 0),
        random_());
    if (best == nullptr || rank < best_rank) {
      best = &row;
      best_rank = rank;
    }
  }
  return best;
}

auto dispatcher::FindFreeBySpeed(const placement_request& request,
                                 time_point now) -> server_row* {
  speeds_.Refresh(now);
  const speed_ranking ranking(policy_.speed, request.work,
                              BatchSlack(request, now));
  server_row* best = nullptr;
  std::tuple<bool, int, double> best_rank;
  std::uint64_t equals = 0;
  for (auto& [id, row] : servers_) {
    const auto load = LoadOf(row, now);
    if (load >= SlotsFor(request.work, row) || !IsUsable(row, request, now)) {
      continue;
    }
    const bool is_connected =
        std::ranges::find(request.connected, id) != request.connected.end();
    const std::tuple rank(
        ranking.IsBeyondRoom(*row.pace, load), TierOf(row, request.place),
        ranking.Cost(*row.pace, load, row.info.slots,
                     is_connected ? policy_.connected_bonus : 0));
    if (best != nullptr && rank > best_rank) {
      continue;
    }
    equals = best != nullptr && rank == best_rank ? equals + 1 : 1;
    // Each of the equally ranked servers is chosen with the same probability.
    if (equals == 1 || random_() % equals == 0) {
      best = &row;
      best_rank = rank;
    }
  }
  return best;
}

auto dispatcher::Grant(const placement_request& request,
                       server_row& row,
                       time_point now) -> void {
  const slot_key key(request.host, request.ticket);
  auto& slot = slots_[key];
  slot = {row.info.id, request.work,   false,
          now,         request.prompt, request.content};
  if (policy_.speed.is_enabled) {
    slot.start = speeds_.BeginRun(row.info.id, LoadOf(row, now), now);
  }
  ++row.used;
  RecordPeak(row, now);
  cold_.RecordStart(row.info, now);
  if (request.work == work_class::kBatch) {
    row.batch.insert(key);
  }
  if (request.content) {
    request_quarantine_.RecordStart(*request.content, now);
  }
  notices_.push_back({request.host,
                      request.ticket,
                      {.verdict = placement_verdict::kGranted,
                       .server = row.info.id,
                       .waiting = static_cast<std::uint32_t>(online_.size()),
                       .free = FreeSlots(request.service, now),
                       .retry_at = now}});
}

auto dispatcher::Preempt(const slot_key& key) -> void {
  auto& slot = slots_.at(key);
  auto& row = servers_.at(slot.server);
  slot.is_preempted = true;
  row.batch.erase(key);
  --row.used;
  ++row.preempted;
  preemptions_.push_back({key.first, key.second});
}

auto dispatcher::TryPlace(const placement_request& request, time_point now)
    -> bool {
  if (auto* row = FindFree(request, now)) {
    Grant(request, *row, now);
    return true;
  }
  if (request.work == work_class::kBatch) {
    return false;
  }
  const auto run = FindBatchRun(request, now);
  if (!run) {
    return false;
  }
  auto& row = servers_.at(slots_.at(*run).server);
  Preempt(*run);
  Grant(request, row, now);
  return true;
}

auto dispatcher::RetryTime(time_point now) -> time_point {
  // Random, so that callers refused together do not retry together.
  std::uniform_int_distribution<std::int64_t> spread(
      policy_.min_retry_delay.count(), policy_.max_retry_delay.count());
  return now + std::chrono::milliseconds(spread(random_));
}

auto dispatcher::Refuse(const placement_request& request,
                        placement_verdict verdict,
                        time_point now) -> void {
  if (verdict != placement_verdict::kOverLimit) {
    RefundToken(request);
  }
  const auto retry_at = RetryTime(now);
  if (verdict == placement_verdict::kNoCapacity &&
      request.work == work_class::kOnline && !request.is_retry) {
    expected_retries_[request.service].insert(retry_at);
  }
  notices_.push_back({request.host,
                      request.ticket,
                      {.verdict = verdict,
                       .server = {},
                       .waiting = static_cast<std::uint32_t>(online_.size()),
                       .free = FreeSlots(request.service, now),
                       .retry_at = retry_at}});
}

auto dispatcher::ConsumeToken(const placement_request& request,
                              const limit_rate& rate,
                              time_point now) -> bool {
  if (!request.takes_token || rate.per_s <= 0) {
    return true;
  }
  return limits_.Consume(request.workspace, rate, now);
}

auto dispatcher::RefundToken(const placement_request& request) -> void {
  if (request.takes_token) {
    limits_.Refund(request.workspace);
  }
}

auto dispatcher::RecordUsage(const usage_report& report, time_point now)
    -> void {
  if (ready_at_ == time_point::max()) {
    return;
  }
  auto others = report;
  const auto is_own = [this](const auto& row) { return row.source == term_; };
  std::erase_if(others.known, is_own);
  std::erase_if(others.grants, is_own);
  limits_.Record(others, IsReady(now), now);
}

auto dispatcher::Enqueue(std::list<placement_request>& queue,
                         placement_request request) -> void {
  const auto place = std::ranges::find_if(
      queue, [&request](const auto& other) { return IsAhead(request, other); });
  queue.insert(place, std::move(request));
}

auto dispatcher::RequestSlot(placement_request request,
                             const limit_rate& rate,
                             time_point now) -> void {
  if (!IsReady(now)) {
    // RefundToken() must not refund a token that was never consumed.
    request.takes_token = false;
    Refuse(request, placement_verdict::kNotReady, now);
    return;
  }
  if (!HasServer(request)) {
    request.takes_token = false;
    Refuse(request, placement_verdict::kNoServer, now);
    return;
  }
  if (IsQuarantined(request, now)) {
    request.takes_token = false;
    Refuse(request, placement_verdict::kQuarantined, now);
    return;
  }
  if (!ConsumeToken(request, rate, now)) {
    Refuse(request, placement_verdict::kOverLimit, now);
    return;
  }
  const bool is_batch = request.work == work_class::kBatch;
  if (policy_.speed.is_enabled && !is_batch) {
    speeds_.RecordObjectives(request.service, request.objectives, now);
  }
  if (is_batch ? batch_.empty() && online_.empty() && TryPlace(request, now)
               : TryPlace(request, now)) {
    return;
  }
  if (IsDeferredByCold(request, now)) {
    ++deferred_cold_starts_;
  }
  if (is_batch) {
    Enqueue(batch_, std::move(request));
    return;
  }
  const auto limit =
      request.is_retry ? request.latest_start : request.latest_on_time_start;
  const auto wait = EstimateWait(request, now);
  if (wait > limit - now) {
    Refuse(request, placement_verdict::kNoCapacity, now);
    return;
  }
  Enqueue(online_, std::move(request));
}

auto dispatcher::Withdraw(const host_id& host, ticket_id ticket) -> void {
  for (auto* queue : {&online_, &batch_}) {
    const auto found = std::ranges::find_if(*queue, [&](const auto& request) {
      return request.host == host && request.ticket == ticket;
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
    --(found->second.is_preempted ? row->second.preempted : row->second.used);
    row->second.batch.erase(key);
  }
  slots_.erase(found);
}

auto dispatcher::RecordEvidence(const slot& run,
                                const run_end_report& end,
                                time_point now) -> void {
  if (end.outcome == run_outcome::kComplete) {
    quarantine_.RecordAnswer(run.prompt, now);
    if (run.content) {
      request_quarantine_.RecordAnswer(*run.content, now);
    }
  } else if (end.may_have_crashed) {
    quarantine_.RecordCrash(run.prompt, run.server, now);
    if (run.content) {
      request_quarantine_.RecordCrash(*run.content, run.server, now);
    }
  }
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
    const bool backs_off = now < server.backs_off_until;
    if (end.outcome == run_outcome::kUnreachable && !backs_off) {
      server.last_backoff = std::clamp<duration>(
          2 * server.last_backoff, policy_.min_backoff, policy_.max_backoff);
      server.backs_off_until = now + server.last_backoff;
    } else if (end.outcome == run_outcome::kFull) {
      server.backs_off_until =
          std::max(server.backs_off_until, now + policy_.full_backoff);
    } else if (end.outcome == run_outcome::kComplete) {
      server.last_backoff = duration();
    }
    // A server that broke off may have started anew.
    if (end.outcome == run_outcome::kUnreachable || end.may_have_crashed) {
      cold_.RecordUnreachable(server.info);
    }
  }
  RecordEvidence(found->second, end, now);
  if (end.outcome == run_outcome::kComplete &&
      found->second.work == work_class::kOnline) {
    const auto seconds = Seconds(now - found->second.granted_at);
    run_seconds_ += kRunTimeWeight * (seconds - run_seconds_);
  }
  const auto& run = found->second;
  if (end.outcome == run_outcome::kComplete && run.start.at != time_point()) {
    speeds_.RecordRun(run.server, run.start, end.times, run.work, now);
  }
  Release(key);
  Advance(now);
}

auto dispatcher::ReconcileHeldSlots(const host_id& host,
                                    std::span<const held_slot> held,
                                    time_point now) -> void {
  host_deadlines_[host] = now + policy_.host_timeout;
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
    RecordPeak(row->second, now);
    if (entry.work == work_class::kBatch) {
      row->second.batch.insert(key);
    }
  }
  std::vector<slot_key> unlisted;
  const auto first = slots_.lower_bound(slot_key(host, ticket_id(0)));
  for (auto it = first; it != slots_.end() && it->first.first == host; ++it) {
    if (!listed.contains(it->first.second) &&
        now - it->second.granted_at > policy_.grant_grace_period) {
      unlisted.push_back(it->first);
    }
  }
  for (const auto& key : unlisted) {
    Release(key);
  }
}

auto dispatcher::SuspectCold(const data_centre_id& data_centre, time_point now)
    -> void {
  for (const auto& [id, row] : servers_) {
    if (row.info.data_centre == data_centre) {
      cold_.Suspect(row.info, cold_reason::kEvacuated, now + kSuspicionTime);
    }
  }
}

auto dispatcher::RecordColdReports(std::span<const cold_report> reports,
                                   time_point now) -> void {
  for (const auto& report : reports) {
    const auto row = servers_.find(report.server);
    if (row != servers_.end() &&
        (report.is_stated || now < cold_.HeldUntil())) {
      cold_.Suspect(
          row->second.info,
          report.is_stated ? cold_reason::kReported : cold_reason::kUnreachable,
          report.until);
    }
  }
}

auto dispatcher::MergeQuarantine(const quarantine_entries& found,
                                 time_point now) -> void {
  quarantine_.Merge(found.parts, now);
  request_quarantine_.Merge(found.requests, now);
}

auto dispatcher::ReplaceQuarantine(const quarantine_entries& found,
                                   time_point now) -> void {
  quarantine_.Replace(found.parts);
  request_quarantine_.Replace(found.requests, now);
}

auto dispatcher::RefuseOverdue(std::list<placement_request>& queue,
                               time_point now) -> void {
  for (auto it = queue.begin(); it != queue.end();) {
    if (now >= it->latest_start) {
      Refuse(*it, placement_verdict::kNoCapacity, now);
      it = queue.erase(it);
    } else if (IsQuarantined(*it, now)) {
      Refuse(*it, placement_verdict::kQuarantined, now);
      it = queue.erase(it);
    } else {
      ++it;
    }
  }
}

auto dispatcher::ServeQueue(std::list<placement_request>& queue, time_point now)
    -> void {
  // Services without a free slot in a set of regions are tried only once.
  std::set<std::pair<service_id, region_bound>> full;
  // Requests that have missed their objective are served after those that can
  // still meet it: in order of time alone, one late request would make all that
  // follow late.
  for (const bool are_late : {false, true}) {
    for (auto it = queue.begin(); it != queue.end();) {
      if ((now > it->latest_on_time_start) == are_late &&
          !full.contains({it->service, it->regions})) {
        if (TryPlace(*it, now)) {
          it = queue.erase(it);
          continue;
        }
        if (it->avoided.empty()) {
          full.emplace(it->service, it->regions);
        }
      }
      ++it;
    }
  }
}

auto dispatcher::Advance(time_point now) -> void {
  if (policy_.speed.is_enabled && IsReady(now)) {
    speeds_.Refresh(now);
  }
  std::vector<slot_key> expired;
  for (auto& [key, slot] : slots_) {
    const auto deadline = host_deadlines_.find(key.first);
    const auto expires_at = deadline == host_deadlines_.end()
                                ? slot.granted_at + policy_.host_timeout
                                : deadline->second;
    if (now >= expires_at) {
      expired.push_back(key);
    }
  }
  for (const auto& key : expired) {
    Release(key);
  }
  quarantine_.Decide(now);
  cold_.Advance(now);
  // Both queues, even while only one is served: a host that gets no answer to a
  // placement request in time considers this dispatcher dead.
  RefuseOverdue(online_, now);
  RefuseOverdue(batch_, now);
  for (auto& [service, times] : expected_retries_) {
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
}  // namespace dogwood
