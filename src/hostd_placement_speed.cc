#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/hostd_state.h"

namespace dogwood {
namespace {

/** Bounds of the figure that a server reports. Servers that take a tenth or ten
 * times of the usual time are not plausible. */
constexpr unsigned kMinSlownessPercent = 10;
constexpr unsigned kMaxSlownessPercent = 1000;

}  // namespace

auto PolicyFor(const deployment_features& features) -> dispatch_policy {
  dispatch_policy policy;
  policy.speed.is_enabled = features.learns_speed;
  return policy;
}

auto placement_service::CheckFigure(const server_id& server,
                                    const reported_load& load)
    -> std::uint32_t {
  if (!host_.options.features.learns_speed) {
    return 0;
  }
  const auto percent = load.slowness_percent.value_or(0);
  if (percent >= kMinSlownessPercent && percent <= kMaxSlownessPercent) {
    return percent;
  }
  ++rejected_figures_;
  if (rejected_figure_servers_.insert(server).second) {
    LogEvent(log_level::kWarning, log_category::kRoute, "load_figure_rejected",
             {{"server", server.value},
              {"given", load.slowness_percent.has_value()},
              {"percent", percent}});
  }
  return 0;
}

auto placement_service::RecordLoad(const server_id& server,
                                   const reported_load& load) -> void {
  reported_loads_[server] = {load.running + load.waiting, clock::now(),
                             CheckFigure(server, load)};
}

auto placement_service::ReportedLoads(time_point now) const
    -> std::vector<server_count> {
  std::vector<server_count> list;
  for (const auto& [server, load] : reported_loads_) {
    const auto age = now - load.reported_at;
    if (age < kHeldReportInterval) {
      list.push_back({server, load.count, load.slowness_percent, age});
    }
  }
  return list;
}

auto placement_service::ForgetLoads() -> void {
  std::erase_if(reported_loads_, [this](const auto& entry) {
    return !host_.servers.contains(entry.first);
  });
  std::erase_if(rejected_figure_servers_, [this](const auto& server) {
    return !host_.servers.contains(server);
  });
}

auto placement_service::LogSpeeds() -> void {
  for (const auto& change : dispatcher_.DrainSpeedChanges()) {
    LogEvent(log_level::kInfo, log_category::kRoute, "server_speed",
             {{"server", change.server.value},
              {"factor", change.factor},
              {"told", change.told},
              {"room", change.room},
              {"samples", change.samples}});
  }
}

}  // namespace dogwood
