/** Servers and placement requests shared by the dispatch tests. */
#ifndef TESTS_DISPATCH_FIXTURE_H_
#define TESTS_DISPATCH_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/dispatch.h"

namespace dogwood::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Slots of each server. */
inline constexpr unsigned kSlots = 8;

/** Start time of the tests; a dispatcher that was started before is ready. */
inline auto Begin() -> time_point {
  return time_point() + seconds(1000);
}

/** `count` servers of one service in data centre "a". */
inline auto Servers(unsigned count) -> std::vector<registered_server> {
  std::vector<registered_server> servers;
  for (unsigned i = 0; i < count; ++i) {
    servers.push_back({.id = server_id("s" + std::to_string(i)),
                       .service = service_id("llm"),
                       .address = "10.0.0.1:1",
                       .data_centre = data_centre_id("a"),
                       .slots = kSlots,
                       .leaving = false,
                       .start = 1,
                       .cold_until = {}});
  }
  return servers;
}

/** Regions of the data centres. */
inline auto Regions() -> std::map<data_centre_id, region_id> {
  return {{data_centre_id("a"), region_id("east")},
          {data_centre_id("b"), region_id("west")}};
}

/** A placement request of host "h". */
inline auto MakeRequest(std::uint64_t ticket, work_class work, time_point now)
    -> placement_request {
  return {.host = host_id("h"),
          .ticket = ticket_id(ticket),
          .service = service_id("llm"),
          .workspace = workspace_id("w"),
          .work = work,
          .priority = 0,
          .takes_token = work == work_class::kOnline,
          .is_retry = false,
          .place = {data_centre_id("a"), region_id("east")},
          .regions = {},
          .latest_on_time_start = now + milliseconds(200),
          .latest_start = now + seconds(5),
          .avoided = {},
          .connected = {},
          .prompt = {},
          .content = {}};
}

}  // namespace dogwood::testing

#endif  // TESTS_DISPATCH_FIXTURE_H_
