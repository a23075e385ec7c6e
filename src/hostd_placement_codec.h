/** Codec of the messages about placement between hosts. Times in messages are
 * relative to their sending. */
#ifndef SRC_HOSTD_PLACEMENT_CODEC_H_
#define SRC_HOSTD_PLACEMENT_CODEC_H_

#include <concepts>
#include <cstdint>
#include <memory>
#include <vector>

#include "src/dispatch.h"
#include "src/link.h"

namespace dogwood {

/** Returns the microseconds from `now` to `at`. */
auto MicrosUntil(time_point at, time_point now) -> std::int64_t;

/** Encodes a placement request as a message. */
auto EncodePlacementRequest(const placement_request& request, time_point now)
    -> wire::place_requestT;

/** Decodes a message made by EncodePlacementRequest(). */
auto DecodePlacementRequest(const wire::place_requestT& message, time_point now)
    -> placement_request;

/** Adds what is under quarantine to a held_requestT or held_replyT. */
template <typename Message>
auto EncodeQuarantine(const quarantine_entries& entries,
                      time_point now,
                      Message& message) -> void {
  for (const auto& entry : entries.parts) {
    auto row = std::make_unique<wire::quarantined_rowT>();
    row->part = entry.part.value;
    row->remaining_us = MicrosUntil(entry.until, now);
    message.quarantine.push_back(std::move(row));
  }
  for (const auto& entry : entries.requests) {
    auto row = std::make_unique<wire::quarantined_request_rowT>();
    row->content = entry.content.value;
    row->remaining_us = MicrosUntil(entry.until, now);
    message.quarantined_requests.push_back(std::move(row));
  }
}

/** Returns what is under quarantine according to such a message. */
template <typename Message>
auto DecodeQuarantine(const Message& message, time_point now)
    -> quarantine_entries {
  quarantine_entries entries;
  for (const auto& row : message.quarantine) {
    entries.parts.push_back(
        {prompt_part_id(row->part),
         now + std::chrono::microseconds(row->remaining_us)});
  }
  for (const auto& row : message.quarantined_requests) {
    entries.requests.push_back(
        {request_hash(row->content),
         now + std::chrono::microseconds(row->remaining_us)});
  }
  return entries;
}

/** Adds what a host has seen of servers that may be cold to its report. */
auto EncodeColdReports(const std::vector<cold_report>& reports,
                       time_point now,
                       wire::held_requestT& message) -> void;

/** Decodes what EncodeColdReports() added. */
auto DecodeColdReports(const wire::held_requestT& message, time_point now)
    -> std::vector<cold_report>;

/** Encodes the end of a run. */
auto EncodeRunEnd(const run_end_report& end)
    -> std::unique_ptr<wire::ticket_endT>;

/** Decodes a message made by EncodeRunEnd(). */
auto DecodeRunEnd(const wire::ticket_endT& message) -> run_end_report;

/** Adds what a host knows of the use of limits to its report. */
auto EncodeUsageReport(const usage_report& report,
                       time_point now,
                       wire::held_requestT& message) -> void;

/** Decodes what EncodeUsageReport() added; `rate_of` returns the limit of a
 * workspace. */
template <std::invocable<const workspace_id&> RateOf>
auto DecodeUsageReport(const wire::held_requestT& message,
                       RateOf rate_of,
                       time_point now) -> usage_report {
  usage_report report;
  report.is_informed = message.informed;
  for (const auto& row : message.usage) {
    const workspace_id workspace(row->workspace);
    report.known.push_back({.workspace = workspace,
                            .rate = rate_of(workspace),
                            .used = row->used,
                            .at = now - std::chrono::microseconds(row->age_us),
                            .source = dispatcher_term(row->source)});
  }
  for (const auto& row : message.grants) {
    const workspace_id workspace(row->workspace);
    report.grants.push_back({.workspace = workspace,
                             .rate = rate_of(workspace),
                             .count = row->count,
                             .at = now - std::chrono::microseconds(row->age_us),
                             .source = dispatcher_term(row->source)});
  }
  return report;
}

/** Request counts of servers, as carried by messages. */
using wire_counts = std::vector<std::unique_ptr<wire::server_loadT>>;

auto EncodeCounts(const std::vector<server_count>& counts) -> wire_counts;

auto DecodeCounts(const wire_counts& loads) -> std::vector<server_count>;

}  // namespace dogwood

#endif  // SRC_HOSTD_PLACEMENT_CODEC_H_
