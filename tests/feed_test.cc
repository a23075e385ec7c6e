/** Tests of what a host keeps of the answers of other hosts and of the store.
 */
#include <boost/asio/io_context.hpp>
#include <memory>

#include "src/hostd_base.h"
#include "src/hostd_feed.h"
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
