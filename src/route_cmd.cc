#include <utility>

#include "src/error_func.h"
#include "src/route_base.h"
#include "src/text_func.h"

namespace dogwood {

server_table::server_table(route_place place,
                           any_route_policy policy,
                           route_limits limits)
    : place_(std::move(place)), policy_(policy), limits_(limits) {}

auto server_table::SetServers(std::vector<backend_server> servers) -> void {
  const std::lock_guard lock(mutex_);
  for (auto& [id, r] : rows_) {
    r.listed = false;
  }
  for (auto& info : servers) {
    const auto id = info.server;
    auto& r = rows_[id];
    r.listed = true;
    r.id_hash = StableHash(id.value);
    r.info = std::move(info);
  }
  std::erase_if(rows_, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
}

auto server_table::SetDraining(std::set<server_id> draining) -> void {
  const std::lock_guard lock(mutex_);
  draining_ = std::move(draining);
}

auto server_table::Acquire(const route_request& request, time_point now)
    -> result<route_choice> {
  const std::lock_guard lock(mutex_);
  auto chosen = Choose(request, now);
  if (!chosen) {
    return chosen.error();
  }
  const auto& info = chosen.value()->info;
  ++rows_[info.server].in_flight;
  ++turn_;
  return route_choice{info.server, info.address, info.region != place_.region};
}

auto server_table::Release(const server_id& server) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(server);
  if (found == rows_.end() || found->second.in_flight == 0) {
    return;
  }
  auto& r = found->second;
  --r.in_flight;
  if (!r.listed && r.in_flight == 0) {
    rows_.erase(found);
  }
}

auto server_table::RecordLoadReport(const server_id& server,
                                    const load_report& report,
                                    std::uint32_t own,
                                    time_point now) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(server);
  if (found == rows_.end()) {
    return;
  }
  // The report includes the own requests, which are counted exactly here.
  const auto total = report.running + report.waiting;
  found->second.others = total > own ? total - own : 0;
  found->second.others_until = now + limits_.report_ttl;
}

auto server_table::RecordConnectFailure(const server_id& server, time_point now)
    -> void {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find(server);
  if (found != rows_.end()) {
    found->second.backs_off_until = now + limits_.backoff;
  }
}

}  // namespace dogwood
