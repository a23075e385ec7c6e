/** Tests of what a host keeps of the answers of other hosts and of the store.
 */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "src/hostd_base.h"
#include "src/hostd_feed.h"
#include "src/hostd_follow.h"
#include "src/hostd_placement.h"
#include "src/hostd_setting.h"
#include "src/hostd_state.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** A host that has no connections. */
class feed_fixture {
 public:
  explicit feed_fixture(hostd_options options = {})
      : host_(io_, std::move(options)) {}

  auto host() -> host_state& { return host_; }

  /** Returns an answer with registrations that lead to offset `next` of the
   * log. */
  static auto Answer(std::uint64_t next, std::uint64_t revision)
      -> wire::view_replyT {
    wire::view_replyT reply;
    reply.has_servers = true;
    reply.source = 7;
    reply.revision = revision;
    reply.servers_next = next;
    return reply;
  }

  /** Returns a registration as "id\nJSON". */
  static auto Entry(const std::string& id, const std::string& state)
      -> std::string {
    return id + R"(
{"service":"llm","address":"127.0.0.1:1","slots":8,"state":")" +
           state + R"("})";
  }

  /** Returns an answer of a host at offset `next` of the log of the state that
   * lists these evacuated data centres. */
  static auto EvacuationAnswer(std::uint64_t next,
                               std::vector<std::string> evacuated)
      -> wire::view_replyT {
    wire::view_replyT reply;
    reply.has_state = true;
    reply.state_next = next;
    reply.evacuated = std::move(evacuated);
    return reply;
  }

  /** Starts to answer a query. */
  auto BeginAnswer(const wire::view_requestT& request)
      -> std::future<wire::view_replyT> {
    auto answer = boost::asio::co_spawn(io_, AnswerView(host_, request),
                                        boost::asio::use_future);
    RunReady();
    return answer;
  }
  /** Runs all that need not wait. */
  auto RunReady() -> void {
    io_.restart();
    io_.poll();
  }

  auto IsEvacuated(const std::string& data_centre) const -> bool {
    return host_.evacuations.Contains(data_centre_id(data_centre));
  }

  auto Knows(const std::string& id) const -> bool {
    return host_.servers.contains(server_id(id));
  }

 private:
  boost::asio::io_context io_;
  host_state host_;
};

}  // namespace

// A source that lost its position answers with an older one. Guards against
// changes that are skipped and never sent again.
Test(feed, skipped_changes_are_asked_for_again) {
  feed_fixture f;
  feed_cursor cursor;
  auto first = feed_fixture::Answer(10, 1);
  first.is_complete = true;
  first.servers = {feed_fixture::Entry("a", "ready")};
  ApplyPeerView(f.host(), first, cursor);
  auto behind = feed_fixture::Answer(0, 2);
  behind.servers = {feed_fixture::Entry("b", "ready")};
  ApplyPeerView(f.host(), behind, cursor);
  cr_assert_not(f.Knows("b"));
  cr_assert_eq(cursor.revision, 1);
}

// The store deletes old records, and the host has to read all registrations
// anew. Guards against a server that has left and is in use again because
// another host still lists it.
Test(feed, older_answers_change_nothing_after_the_position_is_lost) {
  feed_fixture f;
  feed_cursor cursor;
  auto first = feed_fixture::Answer(10, 1);
  first.is_complete = true;
  first.servers = {feed_fixture::Entry("a", "draining")};
  ApplyPeerView(f.host(), first, cursor);
  f.host().server_feed.next.reset();
  auto old = feed_fixture::Answer(5, 3);
  old.source = 8;
  old.is_complete = true;
  old.servers = {feed_fixture::Entry("a", "ready"),
                 feed_fixture::Entry("gone", "ready")};
  ApplyPeerView(f.host(), old, cursor);
  cr_assert(f.host().servers.at(server_id("a")).leaving);
  cr_assert_not(f.Knows("gone"));
}

// Guards against a position of one source that carries the confirmation of
// another one, and against a page in the middle of a log that confirms it.
Test(feed, a_confirmation_belongs_to_its_position) {
  const auto at = [](int seconds) {
    return time_point(std::chrono::seconds(seconds));
  };
  feed_position position;
  position.Advance(log_offset(10), at(1));
  position.Advance(log_offset(8), at(5));
  cr_assert_eq(position.next->value, 10);
  cr_assert(position.confirmed == at(1));
  position.Advance(log_offset(20), std::nullopt);
  cr_assert_eq(position.next->value, 20);
  cr_assert(position.confirmed == at(1));
  position.Advance(log_offset(20), at(7));
  cr_assert(position.confirmed == at(7));
}

// Guards against a newer state that is lost because the last record of its page
// cannot be read, or is older.
Test(feed, an_unreadable_record_hides_no_state) {
  feed_fixture f;
  const auto state = [](int version) {
    return keyed_record{"config", R"({"routes":[],"services":[],"version":)" +
                                      std::to_string(version) + "}"};
  };
  ApplyNewestState(f.host(), {state(1)});
  ApplyNewestState(f.host(), {state(3), keyed_record{"config", "{"}});
  cr_assert_eq(f.host().deployment->state().version.value, 3);
  ApplyNewestState(f.host(), {state(5), state(2)});
  cr_assert_eq(f.host().deployment->state().version.value, 5);
}

// Guards against an evacuation that an older answer undoes, and against a
// withdrawn one that it brings back.
Test(feed, older_answers_change_no_evacuation) {
  feed_fixture f;
  feed_cursor cursor;
  const auto apply = [&](std::uint64_t next,
                         std::vector<std::string> evacuated) {
    ApplyPeerView(f.host(),
                  feed_fixture::EvacuationAnswer(next, std::move(evacuated)),
                  cursor);
  };
  apply(10, {"a"});
  apply(9, {});
  cr_assert(f.IsEvacuated("a"));
  apply(11, {"b"});
  apply(10, {"a"});
  apply(0, {"a"});
  cr_assert_not(f.IsEvacuated("a"));
  cr_assert(f.IsEvacuated("b"));
  f.host().state_feed.next.reset();
  apply(10, {});
  apply(0, {});
  cr_assert(f.IsEvacuated("b"));
}

// Snapshots that were cut by changes may tell two hosts different sets at the
// same position. Guards against sets that change back and forth between them.
Test(feed, evacuations_of_the_same_position_change_nothing) {
  feed_fixture f;
  feed_cursor cursor;
  ApplyPeerView(f.host(), feed_fixture::EvacuationAnswer(10, {"a"}), cursor);
  ApplyPeerView(f.host(), feed_fixture::EvacuationAnswer(10, {}), cursor);
  cr_assert(f.IsEvacuated("a"));
}

// A host starts while the store is away, and the one that it asks had lost its
// position before. Guards against a start without the evacuations in force, and
// against one of them that remains after the withdrawal.
Test(feed, evacuations_of_a_host_without_position_hold_until_one_is_known) {
  feed_fixture f;
  feed_cursor cursor;
  ApplyPeerView(f.host(), feed_fixture::EvacuationAnswer(0, {"a"}), cursor);
  cr_assert(f.IsEvacuated("a"));
  ApplyPeerView(f.host(), feed_fixture::EvacuationAnswer(0, {}), cursor);
  cr_assert(f.IsEvacuated("a"));
  ApplyPeerView(f.host(), feed_fixture::EvacuationAnswer(5, {}), cursor);
  cr_assert_not(f.IsEvacuated("a"));
}

// A record was written and removed while the pages of a snapshot were read.
// Guards against knowledge that differs from the log once the rest is read.
Test(feed, cut_snapshots_end_with_the_log) {
  feed_fixture f;
  state_follower follower(f.host());
  // The pages show neither of the two records that follow their end.
  ApplySnapshot(follower,
                {.records = {{"evacuate/gone", "x"}}, .end = log_offset(5)});
  cr_assert(f.IsEvacuated("gone"));
  const store_page rest{.end = log_offset(7),
                        .first = log_offset(0),
                        .records = {"\x0d"
                                    "evacuate/gone",
                                    "\x0d"
                                    "evacuate/late"
                                    "x"}};
  ApplyPage(follower, log_offset(5), rest);
  cr_assert_not(f.IsEvacuated("gone"));
  cr_assert(f.IsEvacuated("late"));
  f.host().state_feed.next.reset();
  ApplySnapshot(follower,
                {.records = {{"evacuate/other", "x"}}, .end = log_offset(9)});
  cr_assert_not(f.IsEvacuated("late"));
  cr_assert(f.IsEvacuated("other"));
}

// Guards against a query that is held although an evacuation has begun, and
// against one that ends again and again for the same evacuation.
Test(feed, a_held_query_ends_with_a_changed_evacuation) {
  feed_fixture f;
  wire::view_requestT request;
  request.source = f.host().process;
  request.wait_us = 400000;
  auto held = f.BeginAnswer(request);
  cr_assert(held.wait_for(std::chrono::seconds(0)) !=
            std::future_status::ready);
  ApplyEvacuations(f.host(), {data_centre_id("a")}, log_offset(1));
  f.RunReady();
  cr_assert(held.wait_for(std::chrono::seconds(0)) ==
            std::future_status::ready);
  const auto reply = held.get();
  cr_assert_eq(reply.evacuated.size(), 1);
  request.evacuation_revision = reply.evacuation_revision;
  held = f.BeginAnswer(request);
  cr_assert(held.wait_for(std::chrono::seconds(0)) !=
            std::future_status::ready);
}

// Guards against larger messages on fleets on which nobody evacuates.
Test(feed, without_evacuations_messages_have_no_more_fields) {
  feed_fixture f;
  const auto request = MakeViewRequest(f.host(), feed_cursor());
  auto answer = f.BeginAnswer(request);
  const auto reply = answer.get();
  cr_assert_eq(request.evacuation_revision, 0);
  cr_assert_eq(reply.evacuation_revision, 0);
  cr_assert(reply.evacuated.empty());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::view_reply::Pack(builder, &reply));
  const auto* sent =
      flatbuffers::GetRoot<flatbuffers::Table>(builder.GetBufferPointer());
  cr_assert_not(sent->CheckField(wire::view_reply::VT_EVACUATED));
  cr_assert_not(sent->CheckField(wire::view_reply::VT_EVACUATION_REVISION));
}

// Guards against placement on servers of an evacuated data centre, whether they
// registered before the evacuation or after it, and against servers that stay
// unused when it has ended.
Test(feed, placement_gets_servers_of_evacuated_data_centres_as_leaving) {
  feed_fixture f;
  const auto put = [&](const std::string& id, const std::string& zone) {
    f.host().registrations->Apply(
        id,
        R"({"service":"llm","address":"127.0.0.1:1","slots":8,"state":"ready")"
        R"(,"zone":")" +
            zone + R"("})");
    f.host().registrations->Publish();
  };
  const auto is_leaving = [&](const std::string& id) {
    return f.host().placement->FindServer(server_id(id))->leaving;
  };
  put("early", "a");
  put("other", "b");
  ApplyEvacuations(f.host(), {data_centre_id("a")}, log_offset(1));
  put("late", "a");
  cr_assert(is_leaving("early"));
  cr_assert(is_leaving("late"));
  cr_assert_not(is_leaving("other"));
  ApplyEvacuations(f.host(), {}, log_offset(2));
  cr_assert_not(is_leaving("early"));
  cr_assert_not(is_leaving("late"));
}

// Guards against heartbeats of warm and cold servers that count as changes
// and are passed on to all hosts, and against a text that is read again and
// counts its remaining time anew.
Test(feed, remaining_cold_time_is_no_change) {
  feed_fixture f;
  auto& table = *f.host().registrations;
  int number = 0;
  const auto apply = [&](int left_ms) {
    table.Apply(
        "a",
        R"({"service":"llm","address":"127.0.0.1:1","slots":8,"state":"ready",)"
        R"("born":1,"seq":)" +
            std::to_string(number) + R"(,"coldLeftMs":)" +
            std::to_string(left_ms) + "}");
  };
  const auto until = [&] {
    return f.host().servers.at(server_id("a")).cold_until;
  };
  const auto revision = [&] { return table.journal().revision(); };
  apply(0);
  const auto listed = revision();
  for (number = 1; number < 5; ++number) {
    apply(0);
  }
  cr_assert_eq(revision(), listed, "warm heartbeats are changes");
  cr_assert(until() == time_point());
  apply(20000);
  cr_assert_eq(revision(), listed + 1, "a server that becomes cold is none");
  const auto end = until();
  cr_assert(end >= clock::now() + std::chrono::milliseconds(19000));
  for (number = 10; number < 14; ++number) {
    apply(20000 - number * 50);
  }
  cr_assert_eq(revision(), listed + 1, "cold heartbeats are changes");
  cr_assert(until() == end);
  // Now it is warm, long before the end, and then cold again.
  apply(0);
  cr_assert_eq(revision(), listed + 2);
  number = 20;
  apply(3000);
  const auto second = until();
  cr_assert(second > clock::now());
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  apply(3000);
  cr_assert(until() == second, "the same text counts anew");
  cr_assert_eq(revision(), listed + 3);
}

// Guards against hosts that know the members from another host only and do not
// own, load or ask for the partitions of their region.
Test(feed, views_of_other_hosts_name_regional_owners) {
  hostd_options options;
  options.partitions_per_topic = 4;
  options.data_centre = data_centre_id("a");
  options.processor_share = 0.5;
  options.data_centres = {{data_centre_id("a"), region_id("east")},
                          {data_centre_id("b"), region_id("west")}};
  options.features.regional_jobs = true;
  feed_fixture f(options);
  auto& host = f.host();
  const std::string other = "10.0.0.2|b|500";
  wire::view_replyT reply;
  reply.generation = 3;
  reply.members = {host.self.name, other};
  // The second member owns all partitions that the group assigns.
  reply.owners.assign(GroupPartitionCount(host.layout), 1);
  feed_cursor cursor;
  ApplyPeerView(host, reply, cursor);
  cr_assert_eq(host.view.owners.size(), PartitionCount(host.layout));
  for (std::uint32_t i = 0; i < host.view.owners.size(); ++i) {
    const auto region = RegionOf(partition_id(i), host.layout);
    const bool is_own = region == region_id("east");
    cr_assert_eq(host.view.OwnerOf(partition_id(i))->name,
                 is_own ? host.self.name : other);
    cr_assert_eq(host.owned.contains(partition_id(i)), is_own);
  }
  // The region loses its only host.
  wire::view_replyT next;
  next.generation = 4;
  next.members = {other};
  next.owners.assign(GroupPartitionCount(host.layout), 0);
  ApplyPeerView(host, next, cursor);
  cr_assert(host.owned.empty());
  const auto* lost =
      host.view.OwnerOf(partition_id(kJobTopics * host.layout.per_topic));
  cr_assert_null(lost, "owner of a partition of a region without hosts");
}

}  // namespace dogwood::testing
