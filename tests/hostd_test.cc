/** Unit tests of the parts of hostd that need no other process. */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <fstream>
#include <sstream>

#include "src/async_condition.h"
#include "src/core.h"
#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/hostd_caller.h"
#include "src/hostd_placement.h"
#include "src/hostd_placement_codec.h"
#include "src/hostd_setting.h"
#include "src/hostd_watch.h"
#include "src/net.h"
#include "src/proxy.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/** Enters the section for 1 ms and records the maximum number of concurrent
 * visitors in `most`. */
auto Visit(async_mutex& section, int& inside, int& max_inside)
    -> asio::awaitable<void> {
  const auto guard = co_await section.Enter();
  ++inside;
  max_inside = std::max(max_inside, inside);
  co_await Sleep(milliseconds(1));
  --inside;
}

/** Waits for one notification, then increments `woken`. */
auto WaitOnce(async_condition& list, int& woken) -> asio::awaitable<void> {
  co_await list.Wait(clock::now() + std::chrono::seconds(20));
  ++woken;
}

/** Returns settings with every required value, followed by `more`. */
auto Settings(std::string_view more) -> std::string {
  return std::string(R"({"host":"h","data_centre":"a","region":"east",
    "data_centres":["a=east","b=west"],
    "front_address":"127.0.0.1:1","ready_address":"127.0.0.1:2",
    "directory_address":"127.0.0.1:3","link_address":"127.0.0.1:4",
    "metrics_address":"127.0.0.1:5","store_address":"127.0.0.1:6",
    "secret":"s")") +
         std::string(more) + "}";
}

/** Parses settings to options; fails if they are invalid. */
auto Options(std::string_view json) -> outcome<hostd_options> {
  auto values =
      ToOutcome([&] { return ParseSettings(HostdSettings(), json, "test"); });
  if (!values) {
    return values.error();
  }
  return ReadHostdOptions(values.value());
}

}  // namespace

// Guards against two coroutines that use one store connection concurrently,
// which applied records twice.
Test(hostd, section_admits_one_at_a_time) {
  asio::io_context io(1);
  async_mutex section(io);
  int inside = 0;
  int max_inside = 0;
  for (int i = 0; i < 5; ++i) {
    asio::co_spawn(io, Visit(section, inside, max_inside), asio::detached);
  }
  io.run();
  cr_assert_eq(max_inside, 1);
  cr_assert_eq(inside, 0);
}

// Guards against a waiter that is woken by another waiter's wait, or never.
Test(hostd, notify_wakes_all_waiters) {
  asio::io_context io(1);
  async_condition list(io);
  int woken = 0;
  asio::co_spawn(io, WaitOnce(list, woken), asio::detached);
  asio::co_spawn(io, WaitOnce(list, woken), asio::detached);
  io.poll();
  cr_assert_eq(woken, 0);
  list.Notify();
  io.run();
  cr_assert_eq(woken, 2);
}

// Guards against events that are forwarded twice, dropped or joined.
Test(hostd, event_fields_are_read) {
  const auto event = ParseEventFields("id: 12\ndata: a\ndata:b\nother: x\n\n");
  cr_assert_eq(*event.id, 12);
  cr_assert_eq(event.data, "a\nb");
  cr_assert_not(ParseEventFields("id: x1\ndata: a\n\n").id.has_value());
  cr_assert_not(ParseEventFields("id:\n\n").id.has_value());
  cr_assert_eq(ParseEventFields("id:7\r\ndata: q\r\n\r\n").data, "q");
  cr_assert_not(ParseEventFields("id: 1\n\n").has_data);
  const auto ends_with_cr = ParseEventFields("id: 3\rdata: a\rdata: b\r\r");
  cr_assert(ends_with_cr.id == 3U);
  cr_assert_eq(ends_with_cr.data, "a\nb");
}

// Guards against a host that starts with invalid settings.
Test(hostd, settings_are_checked) {
  const auto valid = Options(Settings(""));
  cr_assert(valid.has_value());
  cr_assert_eq(valid->data_centres.size(), 2);
  cr_assert_eq(valid->link.port(), 4);
  cr_assert_not(Options(Settings(R"(,"peers":5)")).has_value());
  cr_assert_not(Options(Settings(R"(,"member_life_ms":5)")).has_value());
  cr_assert_not(Options(Settings(R"(,"data_centres":["a"])")).has_value());
  const auto bad = Options(Settings(R"(,"store_address":"nowhere")"));
  cr_assert_not(bad.has_value());
  cr_assert_neq(bad.error().message.find("store_address"), std::string::npos);
}

// Hosts are replaced all day, at new addresses. Guards against links to removed
// hosts that are never closed.
Test(hostd, links_to_removed_hosts_are_closed) {
  asio::io_context io(1);
  auto options = Options(Settings(R"(,"peers":["127.0.0.9:4"])"));
  cr_assert(options.has_value());
  host_state host(io, std::move(options.value()));
  host.view.members = {*ParseMember("127.0.0.2|a|500")};
  for (const auto* address :
       {"127.0.0.2:4", "127.0.0.3:4", "127.0.0.4:4", "127.0.0.9:4"}) {
    host.links.Get(address);
  }
  cr_assert_eq(host.links.Size(), 4);
  PruneLinks(host);
  cr_assert_eq(host.links.Size(), 2);
}

// Guards against delays of the event loop that metrics forget at once, or
// never.
Test(hostd, loop_delay_is_kept_for_a_while) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  loop_delay delay;
  const auto start = clock::now();
  delay.Record(start, start + milliseconds(300));
  delay.Record(start + seconds(1), start + seconds(1));
  cr_assert(delay.Largest() == milliseconds(300));
  delay.Record(start + seconds(11), start + seconds(11) + milliseconds(5));
  cr_assert(delay.Largest() == milliseconds(300));
  delay.Record(start + seconds(22), start + seconds(22));
  cr_assert(delay.Largest() == milliseconds(5));
  delay.Record(start + seconds(60), start + seconds(60));
  cr_assert(delay.Largest() == duration());
}

// Guards against times, objectives and figures that get lost between a host and
// its dispatcher: servers would all count as typical.
Test(hostd, messages_carry_what_speeds_are_learned_from) {
  const run_end_report end{.ticket = ticket_id(7),
                           .outcome = run_outcome::kComplete,
                           .may_have_crashed = true,
                           .times = {std::chrono::milliseconds(80),
                                     std::chrono::milliseconds(650), 20}};
  const auto read_end = DecodeRunEnd(*EncodeRunEnd(end));
  cr_assert_eq(read_end.ticket, end.ticket);
  cr_assert_eq(read_end.outcome, end.outcome);
  cr_assert(read_end.may_have_crashed);
  cr_assert(read_end.times.first_event == end.times.first_event);
  cr_assert(read_end.times.events == end.times.events);
  cr_assert_eq(read_end.times.event_count, 20);

  const auto counts = DecodeCounts(
      EncodeCounts({{server_id("s"), 3, 250, std::chrono::milliseconds(40)}}));
  cr_assert_eq(counts.at(0).count, 3);
  cr_assert_eq(counts.at(0).slowness_percent, 250);
  cr_assert(counts.at(0).age == std::chrono::milliseconds(40));

  placement_request request;
  request.objectives = {std::chrono::milliseconds(300),
                        std::chrono::milliseconds(600)};
  const auto read = DecodePlacementRequest(
      EncodePlacementRequest(request, time_point()), time_point());
  cr_assert(read.objectives.first_event == request.objectives.first_event);
  cr_assert(read.objectives.event_gap == request.objectives.event_gap);
}

// Guards against deployments that get the feature without asking for it.
Test(hostd, speeds_are_learned_only_if_asked_for) {
  cr_assert_not(PolicyFor({}).speed.is_enabled);
  cr_assert(PolicyFor({.learns_speed = true}).speed.is_enabled);
}

}  // namespace dogwood::testing
