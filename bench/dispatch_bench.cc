/** Benchmarks of one placement by number of servers, with and without learned
 * speeds. */
#include <benchmark/benchmark.h>

#include "src/dispatch.h"

namespace dogwood::bench {
namespace {

constexpr unsigned kSlots = 8;

/** Returns `count` servers of one service in two data centres. */
auto Servers(std::int64_t count) -> std::vector<registered_server> {
  std::vector<registered_server> servers;
  for (std::int64_t i = 0; i < count; ++i) {
    servers.push_back({.id = server_id("server-" + std::to_string(i)),
                       .service = service_id("llm"),
                       .address = "10.0.0.1:1",
                       .data_centre = data_centre_id(i % 2 == 0 ? "a" : "b"),
                       .slots = kSlots,
                       .leaving = false,
                       .start = 1,
                       .cold_until = {}});
  }
  return servers;
}

/** A dispatcher that is ready, half of whose slots are in use. */
auto MakeDispatcher(std::int64_t servers, bool learns_speed, time_point now)
    -> dispatcher {
  dispatch_policy policy;
  policy.speed.is_enabled = learns_speed;
  dispatcher d(policy, 1);
  d.SetServers(Servers(servers), {{data_centre_id("a"), region_id("east")},
                                  {data_centre_id("b"), region_id("west")}});
  d.Start(now - std::chrono::seconds(1));
  std::vector<held_slot> held;
  for (std::int64_t i = 0; i < servers * kSlots / 2; ++i) {
    held.push_back({ticket_id(static_cast<std::uint64_t>(i)),
                    server_id("server-" + std::to_string(i % servers)),
                    work_class::kOnline});
  }
  d.ReconcileHeldSlots(host_id("other"), held, now);
  return d;
}

/** Places one request and ends it. Time passes as at 400 requests a second, so
 * that the regular computation of the speeds is included. */
auto Place(benchmark::State& state, bool learns_speed) -> void {
  auto now = time_point() + std::chrono::hours(1);
  auto d = MakeDispatcher(state.range(0), learns_speed, now);
  std::uint64_t ticket = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(2500);
    placement_request request;
    request.host = host_id("h");
    request.ticket = ticket_id(++ticket);
    request.service = service_id("llm");
    request.place = {data_centre_id("a"), region_id("east")};
    request.latest_on_time_start = now + std::chrono::milliseconds(200);
    request.latest_start = now + std::chrono::seconds(5);
    request.objectives = {std::chrono::milliseconds(300),
                          std::chrono::milliseconds(600)};
    d.RequestSlot(std::move(request), {}, now);
    benchmark::DoNotOptimize(d.DrainNotices());
    state.PauseTiming();
    d.End(host_id("h"),
          {.ticket = ticket_id(ticket),
           .outcome = run_outcome::kComplete,
           .times = {std::chrono::milliseconds(100),
                     std::chrono::milliseconds(650), 20}},
          now);
    state.ResumeTiming();
  }
}

auto DispatchPlace(benchmark::State& state) -> void {
  Place(state, false);
}
BENCHMARK(DispatchPlace)->Arg(60)->Arg(300)->Arg(7800);

auto DispatchPlaceBySpeed(benchmark::State& state) -> void {
  Place(state, true);
}
BENCHMARK(DispatchPlaceBySpeed)->Arg(60)->Arg(300)->Arg(7800);

}  // namespace
}  // namespace dogwood::bench
