#include "src/hostd_feed.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "src/hostd_base.h"
#include "src/hostd_state.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/** Time that a source holds a query until there is news. */
constexpr milliseconds kFeedWait{500};
constexpr milliseconds kPeerTimeout{400};
/** Interval between queries, so that changes are passed on in batches. */
constexpr milliseconds kFeedInterval{100};
/** Interval of queries to any host while the store does not answer, and after a
 * source has failed. */
constexpr milliseconds kPeerQueryInterval{300};
/** Data that the store confirmed longer ago than this is not current: a reader
 * gets a confirmation each second and a source passes it on within half a
 * second. Declared states must be in force 2.5 s after their confirmation on
 * the smallest fleets, which have no readers, and 4 s on others. */
constexpr milliseconds kMaxFeedAge{2000};
/** Added while a source receives an answer of the store: a large state may take
 * longer than kMaxFeedAge, and further copies would only delay it. */
constexpr milliseconds kMaxProgressWait{1500};
/** A read makes progress if a part of it has arrived this recently. */
constexpr milliseconds kMaxProgressAge{700};
/** Hosts of a data centre stand in for its readers one after another, the first
 * few at the shorter interval. If all did at once, their copies of a large
 * state would fill the link between regions, and none would arrive. */
constexpr std::size_t kEarlyStandIns = 2;
constexpr milliseconds kEarlyStandInInterval{300};
constexpr milliseconds kStandInInterval{1000};
/** A host that follows a stand-in asks its sources again after so many answers
 * of it. */
constexpr unsigned kStandInRounds = 8;
/** A host that has just started waits this long for the members, which tell it
 * whether it is a reader, before it reads the store itself. They come within
 * two calls to the store, but when all hosts start at once its queue of new
 * connections may be full, and a connection takes a second. */
constexpr milliseconds kViewTimeout{1500};
/** One in this many queries for want of a store goes to any region. */
constexpr unsigned kRegionRounds = 4;

/** Returns `d` in microseconds, 0 if it is negative. */
auto Micros(duration d) -> std::uint64_t {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<microseconds>(d).count()));
}

/** Returns the time that was `age` before `now`; the epoch for an age that
 * lies before it. */
auto TimeBefore(time_point now, std::uint64_t age) -> time_point {
  const auto longest = Micros(now.time_since_epoch());
  return now - microseconds(std::min(age, longest));
}

/** Queries peers one at a time and keeps what their answers refer to. */
class feed_client {
 public:
  explicit feed_client(host_state& host) : host_(host) {}

  /** Asks once. Returns whether the answer made this host current. */
  auto Ask(const std::string& address, milliseconds wait)
      -> asio::awaitable<bool> {
    const auto link = host_.links.Get(address);
    if (link == nullptr) {
      co_return false;
    }
    auto request = MakeViewRequest(host_, cursor_);
    request.wait_us = microseconds(wait).count();
    auto message = MakeMessage(request);
    auto reply = co_await link->Call(std::move(message),
                                     clock::now() + wait + kPeerTimeout);
    const auto* view = reply ? reply->Asview_reply() : nullptr;
    if (view == nullptr) {
      Log(log_level::kDebug, log_category::kMember,
          {reply ? "unexpected answer" : reply.error().message, "ask peer",
           address});
      co_return false;
    }
    ApplyPeerView(host_, *view, cursor_);
    const auto now = clock::now();
    const auto confirmed = std::min(TimeBefore(now, view->state_age_us),
                                    TimeBefore(now, view->servers_age_us));
    const auto progress = TimeBefore(now, view->progress_age_us);
    if (now - progress < kMaxProgressAge) {
      host_.feed_deadline =
          std::max(host_.feed_deadline,
                   std::min(now + kMaxProgressAge,
                            confirmed + kMaxFeedAge + kMaxProgressWait));
    }
    if (!view->has_servers || now - confirmed >= kMaxFeedAge) {
      co_return false;
    }
    host_.feed_deadline =
        std::max(host_.feed_deadline, confirmed + kMaxFeedAge);
    co_return true;
  }

 private:
  host_state& host_;
  feed_cursor cursor_;
};

/** Returns the address of a random host to ask for want of a store: mostly one
 * in the same region, since many may ask at once over a narrow link. */
auto RandomPeer(host_state& host, unsigned round) -> std::string {
  std::vector<std::string> near;
  for (const auto& member : host.view.members) {
    const auto region = host.options.data_centres.find(member.data_centre);
    if (member.name != host.self.name &&
        region != host.options.data_centres.end() &&
        region->second == host.options.region) {
      near.push_back(host.LinkAddressOf(member));
    }
  }
  const auto addresses =
      near.empty() || round % kRegionRounds == 0 ? PeerAddresses(host) : near;
  return addresses.empty() ? std::string()
                           : addresses[host.random() % addresses.size()];
}

/** Returns when the stand-in with this rank begins to read the store. */
auto StandInTime(const host_state& host, std::size_t rank) -> time_point {
  // When the store returns, the readers hear from it about as soon as this
  // host.
  const auto first = std::max(host.feed_deadline, host.store.reachable_since);
  const auto early = std::min(rank, kEarlyStandIns);
  return first + early * kEarlyStandInInterval +
         (rank - early) * kStandInInterval;
}

/** Returns the address of a random host that stands in for the readers at
 * `now`; empty if none does. */
auto RandomStandIn(host_state& host, time_point now) -> std::string {
  const auto& order = host.feed_stand_ins;
  std::size_t due = 0;
  while (due < order.size() && now >= StandInTime(host, due)) {
    ++due;
  }
  return due == 0 ? std::string()
                  : host.LinkAddressOf(order[host.random() % due]);
}

/** Whether the store does not tell this host about the members or itself. */
auto IsIsolated(const host_state& host, time_point now) -> bool {
  // A draining host has left the group, so it learns the members only from
  // peers.
  // A host that has just started gives the store the same time: if all ask the
  // configured peers at once, these send the state to each of them.
  const auto since = std::max(host.store.last_success, host.started);
  const auto confirmed = std::max(host.view_confirmed, host.started);
  return host.draining || now - since >= kStoreLostTimeout ||
         now - confirmed >= host.options.member_life;
}

/** Chooses the peers that this host asks, one after another: its sources, the
 * hosts that stand in for them, and any host while it is isolated. A source or
 * stand-in that answers with current data is followed. */
class peer_choice {
 public:
  /** Chooses the next peer. */
  auto Next(host_state& host, time_point now) -> void {
    const auto& sources = host.feed_sources;
    const auto& group = is_stand_in_ ? host.feed_stand_ins : sources;
    const bool is_in_group =
        std::ranges::any_of(group, [&](const auto& member) {
          return host.LinkAddressOf(member) == address_;
        });
    const bool tries_sources =
        is_stand_in_ && followed_answers_ >= kStandInRounds;
    if (is_following_ && is_in_group && !tries_sources) {
      return;
    }
    followed_answers_ = 0;
    const auto stand_in = RandomStandIn(host, now);
    const std::size_t stand_in_choices = stand_in.empty() ? 0 : 1;
    const auto choices =
        sources.size() + stand_in_choices + (IsIsolated(host, now) ? 1 : 0);
    const auto turn = choices == 0 ? 0 : failures_ % choices;
    may_follow_ = turn < sources.size() + stand_in_choices;
    is_stand_in_ = may_follow_ && turn >= sources.size();
    if (!may_follow_) {
      address_ = RandomPeer(host, failures_);
    } else if (is_stand_in_) {
      address_ = stand_in;
    } else {
      address_ = host.LinkAddressOf(sources[turn]);
    }
  }

  /** Records whether the chosen peer has answered with current data. */
  auto RecordAnswer(bool is_current) -> void {
    is_following_ = may_follow_ && is_current;
    followed_answers_ = is_following_ ? followed_answers_ + 1 : 0;
    failures_ = is_following_ && !is_stand_in_ ? 0 : failures_ + 1;
  }

  /** Address of the chosen peer; empty if there is none. */
  auto address() const -> const std::string& { return address_; }
  /** Whether the peer may be followed: it reads the store, or should. */
  auto may_follow() const -> bool { return may_follow_; }
  /** Whether the latest answer was that of a peer that is followed. */
  auto is_following() const -> bool { return is_following_; }

 private:
  std::string address_;
  bool may_follow_ = false;
  bool is_stand_in_ = false;
  bool is_following_ = false;
  unsigned followed_answers_ = 0;  // Of the followed peer in a row.
  unsigned failures_ = 0;          // Since a source was followed.
};

/** Whether this host knows something that the request does not. */
auto HasNews(const host_state& host, const wire::view_requestT& request)
    -> bool {
  const bool is_same_source = request.source == host.process;
  const auto known = is_same_source ? request.revision : 0;
  return (host.deployment != nullptr &&
          host.deployment->state().version.value > request.state_version) ||
         host.view.generation > request.generation ||
         (host.servers_known &&
          (!is_same_source ||
           host.registrations->journal().revision() != known));
}

/** Adds the registrations that the request lacks. */
auto AddRegistrations(const host_state& host,
                      const wire::view_requestT& request,
                      wire::view_replyT& reply) -> void {
  reply.has_servers = host.servers_known;
  if (!host.servers_known) {
    return;
  }
  const auto known = request.source == host.process ? request.revision : 0;
  auto changes = host.registrations->journal().ChangesSince(known);
  reply.source = host.process;
  reply.revision = changes.revision;
  reply.is_complete = changes.is_complete;
  for (const auto& [id, text] : changes.present) {
    reply.servers.push_back(id + "\n" + text);
  }
  reply.removed = std::move(changes.removed);
}

/** Applies the registrations of an answer. */
auto ApplyRegistrations(host_state& host, const wire::view_replyT& reply)
    -> void {
  std::set<std::string> present;
  for (const auto& entry : reply.servers) {
    const auto end = entry.find('\n');
    if (end != std::string::npos) {
      present.insert(entry.substr(0, end));
      host.registrations->Apply(entry.substr(0, end), entry.substr(end + 1));
    }
  }
  // The other host has deferred removals that are in doubt.
  if (reply.is_complete) {
    host.registrations->DropAbsent(present);
  }
  for (const auto& id : reply.removed) {
    host.registrations->Drop(id);
  }
  host.registrations->Expire(clock::now());
  host.registrations->Publish();
}

/** Returns the view of the members in an answer; nothing if it has none that is
 * newer and readable. */
auto NewerView(const host_state& host, const wire::view_replyT& reply)
    -> std::optional<fleet_view> {
  if (reply.generation <= host.view.generation || reply.members.empty()) {
    return std::nullopt;
  }
  fleet_view view;
  view.generation = reply.generation;
  view.owners = reply.owners;
  for (const auto& name : reply.members) {
    auto member = ParseMember(name);
    if (!member) {
      // The owners are indexes into the members: without this name they would
      // refer to the wrong ones.
      return std::nullopt;
    }
    view.members.push_back(std::move(*member));
  }
  AssignRegionalOwners(view, host.layout);
  return view;
}

}  // namespace

auto MakeViewRequest(const host_state& host, const feed_cursor& cursor)
    -> wire::view_requestT {
  wire::view_requestT request;
  request.state_version =
      host.deployment == nullptr ? 0 : host.deployment->state().version.value;
  request.generation = host.view.generation;
  request.source = cursor.source;
  const bool is_valid = cursor.reached == host.server_feed.reached;
  request.revision = is_valid ? cursor.revision : 0;
  return request;
}

auto ReadsStore(const host_state& host, time_point now) -> bool {
  if (host.view.members.empty()) {
    return host.is_small_fleet || now >= host.started + kViewTimeout;
  }
  return host.feed_sources.empty() ||
         now >= StandInTime(host, host.feed_stand_ins.size());
}

auto FollowFeed(host_state& host) -> asio::awaitable<void> {
  feed_client client(host);
  peer_choice choice;
  while (true) {
    const auto now = clock::now();
    if (host.feed_sources.empty() && !IsIsolated(host, now)) {
      co_await Sleep(kPeerQueryInterval);
      continue;
    }
    choice.Next(host, now);
    bool is_current = false;
    if (!choice.address().empty()) {
      is_current = co_await client.Ask(
          choice.address(), choice.may_follow() ? kFeedWait : milliseconds(0));
    }
    choice.RecordAnswer(is_current);
    co_await Sleep(choice.is_following() ? kFeedInterval : kPeerQueryInterval);
  }
}

auto ApplyPeerView(host_state& host,
                   const wire::view_replyT& reply,
                   feed_cursor& cursor) -> void {
  const auto now = clock::now();
  if (!reply.state.empty()) {
    ApplyState(host, reply.state);
  }
  // An offset of 0 stands for a host that has no position.
  if (reply.has_state && reply.state_next > 0) {
    host.state_feed.Advance(log_offset(reply.state_next),
                            TimeBefore(now, reply.state_age_us));
  }
  // What this host has read itself may be newer than the answer, also if it
  // has lost its position since.
  const log_offset servers_next(reply.servers_next);
  if (reply.has_servers && servers_next >= host.server_feed.reached) {
    ApplyRegistrations(host, reply);
    if (reply.servers_next > 0) {
      host.server_feed.Advance(servers_next,
                               TimeBefore(now, reply.servers_age_us));
    }
    cursor = {.source = reply.source,
              .revision = reply.revision,
              .reached = host.server_feed.reached};
  } else if (reply.has_servers) {
    ++host.feed.skipped_answers;
    LogEvent(log_level::kInfo, log_category::kConfig, "answer_skipped",
             {{"position", servers_next.value},
              {"own_position", host.server_feed.reached.value},
              {"complete", reply.is_complete},
              {"changes", reply.servers.size() + reply.removed.size()}});
  }
  if (auto view = NewerView(host, reply)) {
    ApplyView(host, std::move(*view));
  }
  if (reply.generation == host.view.generation) {
    host.view_confirmed =
        std::max(host.view_confirmed, TimeBefore(now, reply.view_age_us));
  }
}

auto PeerAddresses(const host_state& host) -> std::vector<std::string> {
  std::vector<std::string> addresses = host.options.peers;
  for (const auto& member : host.view.members) {
    if (member.name != host.self.name) {
      addresses.push_back(host.LinkAddressOf(member));
    }
  }
  std::erase(addresses, FormatEndpoint(host.options.link));
  return addresses;
}

auto AnswerView(host_state& host, wire::view_requestT request)
    -> asio::awaitable<wire::view_replyT> {
  const auto until = clock::now() + std::min(microseconds(request.wait_us),
                                             microseconds(kFeedWait));
  while (!HasNews(host, request) && clock::now() < until) {
    co_await host.feed_changed.Wait(until);
  }
  const auto now = clock::now();
  wire::view_replyT reply;
  reply.generation = host.view.generation;
  reply.view_age_us = Micros(now - host.view_confirmed);
  if (host.view.generation > request.generation) {
    // Each host derives the owners of the regions' partitions itself.
    reply.owners = host.view.owners;
    reply.owners.resize(
        std::min(reply.owners.size(), GroupPartitionCount(host.layout)));
    for (const auto& member : host.view.members) {
      reply.members.push_back(member.name);
    }
  }
  AddRegistrations(host, request, reply);
  reply.servers_age_us = Micros(now - host.server_feed.confirmed);
  reply.servers_next = host.server_feed.next.value_or(log_offset()).value;
  reply.has_state = host.deployment != nullptr;
  const auto& oldest = host.state_feed.confirmed < host.server_feed.confirmed
                           ? host.state_feed
                           : host.server_feed;
  reply.progress_age_us = Micros(now - oldest.progress);
  reply.state_age_us = Micros(now - host.state_feed.confirmed);
  reply.state_next = host.state_feed.next.value_or(log_offset()).value;
  if (reply.has_state &&
      host.deployment->state().version.value > request.state_version) {
    reply.state = host.state_text;
  }
  co_return reply;
}

}  // namespace dogwood
