#include "src/hostd_placement_codec.h"

#include <optional>
#include <set>
#include <utility>

namespace dogwood {

using std::chrono::microseconds;

auto MicrosUntil(time_point at, time_point now) -> std::int64_t {
  return std::chrono::duration_cast<microseconds>(at - now).count();
}

auto EncodePlacementRequest(const placement_request& request, time_point now)
    -> wire::place_requestT {
  wire::place_requestT message;
  message.host = request.host.value;
  message.ticket = request.ticket.value;
  message.service = request.service.value;
  message.workspace = request.workspace.value;
  message.batch = request.work == work_class::kBatch;
  message.priority = request.priority;
  message.takes_token = request.takes_token;
  message.returning = request.is_retry;
  message.data_centre = request.place.data_centre.value;
  message.region = request.place.region.value;
  message.start_by_us = MicrosUntil(request.latest_on_time_start, now);
  message.useless_after_us = MicrosUntil(request.latest_start, now);
  for (const auto& server : request.avoided) {
    message.avoided.push_back(server.value);
  }
  for (const auto& server : request.connected) {
    message.connected.push_back(server.value);
  }
  for (const auto& part : request.prompt.shared) {
    message.prompt.push_back(part.value);
  }
  message.prompt_own = request.prompt.own.value;
  message.content = request.content.value_or(request_hash()).value;
  message.is_region_bound = request.regions.IsBound();
  for (const auto& region : request.regions.allowed()) {
    message.regions.push_back(region.value);
  }
  const auto& objectives = request.objectives;
  message.first_event_aim_us =
      std::chrono::duration_cast<microseconds>(objectives.first_event).count();
  message.event_gap_aim_us =
      std::chrono::duration_cast<microseconds>(objectives.event_gap).count();
  return message;
}

auto DecodePlacementRequest(const wire::place_requestT& message, time_point now)
    -> placement_request {
  placement_request request{
      .host = host_id(message.host),
      .ticket = ticket_id(message.ticket),
      .service = service_id(message.service),
      .workspace = workspace_id(message.workspace),
      .work = message.batch ? work_class::kBatch : work_class::kOnline,
      .priority = message.priority,
      .takes_token = message.takes_token,
      .is_retry = message.returning,
      .place = {data_centre_id(message.data_centre), region_id(message.region)},
      .regions = {},
      .latest_on_time_start = now + microseconds(message.start_by_us),
      .latest_start = now + microseconds(message.useless_after_us),
      .avoided = {},
      .connected = {},
      .prompt = {.shared = {}, .own = prompt_part_id(message.prompt_own)},
      .content = message.batch ? std::nullopt
                               : std::optional(request_hash(message.content)),
      .objectives = {microseconds(message.first_event_aim_us),
                     microseconds(message.event_gap_aim_us)}};
  for (const auto& server : message.avoided) {
    request.avoided.emplace_back(server);
  }
  for (const auto& server : message.connected) {
    request.connected.emplace_back(server);
  }
  for (const auto part : message.prompt) {
    request.prompt.shared.emplace_back(part);
  }
  if (message.is_region_bound) {
    std::set<region_id> allowed;
    for (const auto& region : message.regions) {
      allowed.emplace(region);
    }
    request.regions = region_bound(std::move(allowed));
  }
  return request;
}

auto EncodeColdReports(const std::vector<cold_report>& reports,
                       time_point now,
                       wire::held_requestT& message) -> void {
  for (const auto& report : reports) {
    auto row = std::make_unique<wire::cold_server_rowT>();
    row->server = report.server.value;
    row->remaining_us = MicrosUntil(report.until, now);
    row->is_stated = report.is_stated;
    message.cold_servers.push_back(std::move(row));
  }
}

auto DecodeColdReports(const wire::held_requestT& message, time_point now)
    -> std::vector<cold_report> {
  std::vector<cold_report> reports;
  for (const auto& row : message.cold_servers) {
    reports.push_back(
        {.server = server_id(row->server),
         .until = now + std::chrono::microseconds(row->remaining_us),
         .is_stated = row->is_stated});
  }
  return reports;
}

auto EncodeRunEnd(const run_end_report& end)
    -> std::unique_ptr<wire::ticket_endT> {
  const auto micros = [](duration d) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(d).count());
  };
  auto entry = std::make_unique<wire::ticket_endT>();
  entry->ticket = end.ticket.value;
  entry->outcome = static_cast<std::uint8_t>(end.outcome);
  entry->may_have_crashed = end.may_have_crashed;
  entry->first_event_us = micros(end.times.first_event);
  entry->events_us = micros(end.times.events);
  entry->events = end.times.event_count;
  return entry;
}

auto DecodeRunEnd(const wire::ticket_endT& message) -> run_end_report {
  return {.ticket = ticket_id(message.ticket),
          .outcome = static_cast<run_outcome>(message.outcome),
          .may_have_crashed = message.may_have_crashed,
          .times = {microseconds(message.first_event_us),
                    microseconds(message.events_us), message.events}};
}

auto EncodeUsageReport(const usage_report& report,
                       time_point now,
                       wire::held_requestT& message) -> void {
  message.informed = report.is_informed;
  for (const auto& known : report.known) {
    auto row = std::make_unique<wire::limit_usage_rowT>();
    row->workspace = known.workspace.value;
    row->used = known.used;
    row->age_us = MicrosUntil(now, known.at);
    row->source = known.source.value;
    message.usage.push_back(std::move(row));
  }
  for (const auto& grants : report.grants) {
    auto row = std::make_unique<wire::limit_grants_rowT>();
    row->workspace = grants.workspace.value;
    row->count = grants.count;
    row->age_us = MicrosUntil(now, grants.at);
    row->source = grants.source.value;
    message.grants.push_back(std::move(row));
  }
}

auto EncodeCounts(const std::vector<server_count>& counts) -> wire_counts {
  wire_counts loads;
  for (const auto& count : counts) {
    auto load = std::make_unique<wire::server_loadT>();
    load->server = count.server.value;
    load->in_flight = count.count;
    load->slowness_percent = count.slowness_percent;
    load->age_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(count.age).count());
    loads.push_back(std::move(load));
  }
  return loads;
}

auto DecodeCounts(const wire_counts& loads) -> std::vector<server_count> {
  std::vector<server_count> counts;
  for (const auto& load : loads) {
    counts.push_back({server_id(load->server), load->in_flight,
                      load->slowness_percent, microseconds(load->age_us)});
  }
  return counts;
}

}  // namespace dogwood
