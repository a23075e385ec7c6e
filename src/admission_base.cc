#include "src/admission_base.h"

#include <algorithm>
#include <utility>

namespace dogwood {

auto admission_table::SetServer(const server_id& server,
                                unsigned slots,
                                bool accepts) -> void {
  auto& state = servers_[server];
  state.is_set = true;
  state.slots = slots;
  state.accepts = accepts;
}

auto admission_table::RemoveServer(const server_id& server) -> void {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  found->second.accepts = false;
  found->second.is_set = false;
  if (found->second.runs.empty() && found->second.online.empty()) {
    servers_.erase(found);
  }
}

auto admission_table::RecordOnlineCount(const host_id& host,
                                        const server_id& server,
                                        unsigned in_flight,
                                        time_point deadline) -> void {
  auto& state = servers_[server];
  if (in_flight == 0) {
    state.online.erase(host);
  } else {
    state.online[host] = online_count{in_flight, deadline};
  }
}

auto admission_table::ExtendHost(const host_id& host, time_point deadline)
    -> void {
  for (auto& [server, state] : servers_) {
    const auto found = state.online.find(host);
    if (found != state.online.end()) {
      found->second.deadline = deadline;
    }
  }
}

auto admission_table::DropHost(const host_id& host) -> void {
  for (auto& [server, state] : servers_) {
    state.online.erase(host);
  }
}

auto admission_table::RecordLoadReport(const server_id& server,
                                       const load_report& report,
                                       time_point now) -> void {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return;
  }
  auto& state = found->second;
  if (report.slots > 0) {
    state.slots = report.slots;
  }
  // The report lags: what it counts may have ended since. Only what exceeds
  // the most that was known during the last two reports is unknown.
  NotePeak(state, now);
  const auto known = std::max(state.peak, state.peak_before);
  const auto reported = report.running + report.waiting;
  state.unknown = reported > known ? reported - known : 0;
  state.peak_before = state.peak;
  state.peak = 0;
  NotePeak(state, now);
}

auto admission_table::Begin(const server_id& server, time_point now)
    -> std::optional<run_id> {
  const auto found = servers_.find(server);
  if (found == servers_.end() || Headroom(server, now) == 0) {
    return std::nullopt;
  }
  const run_id run(++last_run_);
  found->second.runs.emplace(run, false);
  NotePeak(found->second, now);
  return run;
}

auto admission_table::End(const server_id& server, run_id run) -> void {
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    found->second.runs.erase(run);
  }
}

auto admission_table::DrainCancellations(const server_id& server,
                                         time_point now)
    -> std::vector<run_id> {
  std::vector<run_id> cancelled;
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return cancelled;
  }
  auto& state = found->second;
  NotePeak(state, now);
  auto kept = static_cast<std::size_t>(
      std::count_if(state.runs.begin(), state.runs.end(),
                    [](const auto& run) { return !run.second; }));
  const auto allowed = Allowed(state, now);
  for (auto run = state.runs.rbegin();
       run != state.runs.rend() && kept > allowed; ++run) {
    if (!run->second) {
      run->second = true;
      cancelled.push_back(run->first);
      --kept;
    }
  }
  return cancelled;
}

auto admission_table::Headroom(const server_id& server, time_point now) const
    -> unsigned {
  const auto found = servers_.find(server);
  if (found == servers_.end() || !found->second.accepts) {
    return 0;
  }
  const auto allowed = Allowed(found->second, now);
  const auto used = static_cast<unsigned>(found->second.runs.size());
  return allowed > used ? allowed - used : 0;
}

auto admission_table::Online(const server_id& server, time_point now) const
    -> unsigned {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : OnlineOf(found->second, now);
}

auto admission_table::Batch(const server_id& server) const -> unsigned {
  const auto found = servers_.find(server);
  return found == servers_.end()
             ? 0
             : static_cast<unsigned>(found->second.runs.size());
}

auto admission_table::Servers() const -> std::vector<server_id> {
  std::vector<server_id> servers;
  for (const auto& [server, state] : servers_) {
    if (state.is_set) {
      servers.push_back(server);
    }
  }
  return servers;
}

auto admission_table::Allowed(const server_state& state, time_point now) const
    -> unsigned {
  server_view view;
  view.slots = state.slots;
  view.online = OnlineOf(state, now);
  view.unknown = state.unknown;
  return std::visit([&](const auto& policy) { return policy.Allowed(view); },
                    policy_);
}

auto admission_table::OnlineOf(const server_state& state, time_point now)
    -> unsigned {
  unsigned online = 0;
  for (const auto& [host, count] : state.online) {
    online += now < count.deadline ? count.in_flight : 0;
  }
  return online;
}

auto admission_table::NotePeak(server_state& state, time_point now) -> void {
  const auto known =
      OnlineOf(state, now) + static_cast<unsigned>(state.runs.size());
  state.peak = std::max(state.peak, known);
}

}  // namespace dogwood
