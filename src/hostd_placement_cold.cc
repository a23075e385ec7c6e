#include "src/hostd_base.h"
#include "src/hostd_placement.h"

namespace dogwood {
namespace {

/** Interval at which changes of cold servers are logged. */
constexpr std::chrono::milliseconds kColdLogInterval{200};

}  // namespace

auto placement_service::StateChanged() -> void {
  cold_rates rates;
  for (const auto& service : host_.deployment->state().services) {
    if (service.cold_starts_per_s > 0) {
      rates[service.id] = service.cold_starts_per_s;
    }
  }
  has_cold_rates_ = !rates.empty();
  local_.SetColdRates(rates);
  dispatcher_.SetColdRates(std::move(rates));
}

auto placement_service::SuspectCold(const data_centre_id& data_centre) -> void {
  const auto now = clock::now();
  dispatcher_.SuspectCold(data_centre, now);
  local_.SuspectCold(data_centre, now);
}

auto placement_service::RecordCold(const server_id& server,
                                   std::chrono::milliseconds left) -> void {
  if (!has_cold_rates_) {
    return;
  }
  const auto until = clock::now() + left;
  if (left.count() > 0) {
    cold_reports_[server] = {
        .server = server, .until = until, .is_stated = true};
    local_.RecordCold(server, until);
  }
}

auto placement_service::RejectColdTime(const server_id& server) -> void {
  if (has_cold_rates_ && rejected_cold_times_.insert(server).second) {
    ++host_.feed.rejected_entries;
    LogEvent(log_level::kWarning, log_category::kConfig, "entry_rejected",
             {{"entry", server.value},
              {"problem",
               "remaining cold time in an answer is no number of "
               "milliseconds up to a day"}});
  }
}

auto placement_service::RecordUnreachable(const server_id& server) -> void {
  if (!has_cold_rates_) {
    return;
  }
  const auto until = clock::now() + kUnreachableTtl;
  auto& report = cold_reports_[server];
  if (until > report.until) {
    report = {.server = server, .until = until, .is_stated = false};
  }
}

auto placement_service::ColdReports(time_point now)
    -> std::vector<cold_report> {
  std::erase_if(cold_reports_,
                [now](const auto& entry) { return now >= entry.second.until; });
  std::vector<cold_report> reports;
  for (const auto& [server, report] : cold_reports_) {
    reports.push_back(report);
  }
  return reports;
}

auto placement_service::LogColdServers(time_point now) -> void {
  if (now < cold_log_due_) {
    return;
  }
  cold_log_due_ = now + kColdLogInterval;
  std::map<server_id, cold_state> current;
  // One host logs, since all hosts know the same registrations.
  if (is_dispatcher_) {
    for (const auto& [server, state] : dispatcher_.ColdServers(now)) {
      current[server] = state;
    }
  }
  for (const auto& [server, state] : current) {
    if (!logged_cold_.contains(server)) {
      const bool is_open = state.until == time_point::max();
      const auto left = is_open ? duration() : state.until - now;
      LogEvent(
          log_level::kInfo, log_category::kRoute, "server_cold",
          {{"server", server.value},
           {"why", NameOf(state.reason)},
           {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(left)
                      .count()}});
    }
  }
  for (const auto& [server, state] : logged_cold_) {
    if (is_dispatcher_ && !current.contains(server)) {
      LogEvent(log_level::kInfo, log_category::kRoute, "server_warm",
               {{"server", server.value}, {"why", NameOf(state.reason)}});
    }
  }
  logged_cold_ = std::move(current);
}

}  // namespace dogwood
