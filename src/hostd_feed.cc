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
/** A host that sees a single member, and not itself, waits this much longer for
 * each member that may have come before it reads the store itself. The first
 * members give up partitions 1.3 s after a start of all hosts; 100 hosts that
 * read the registrations of 3,000 servers until then fill a link of 30 Mbit/s.
 */
constexpr milliseconds kDelayPerMember{8};
constexpr std::uint64_t kMaxCountedMembers = 300;
/** Largest error of the time at which another host read the owners, as computed
 * from the age that it tells. */
constexpr milliseconds kMaxReadTimeError{50};
/** In a data centre with readers, only these and as many stand-ins ask other
 * regions: an answer holds all registrations, and the others get them nearby.
 */
constexpr std::size_t kFarStandIns = 2;
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
  const bool may_ask_far = host.feed_sources.empty() ||
                           host.feed_stand_ins.empty() ||
                           host.feed_stand_ins.size() < kFarStandIns;
  const auto addresses =
      near.empty() || (may_ask_far && round % kRegionRounds == 0)
          ? PeerAddresses(host)
          : near;
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

/** Whether this host has a newer view of the members than the request, or one
 * of the same generation with other owners. */
auto HasOtherView(const host_state& host, const wire::view_requestT& request)
    -> bool {
  return host.view.generation > request.generation ||
         (host.view.generation == request.generation &&
          host.view_hash != request.view_hash);
}

/** Whether this host knows something that the request does not. */
auto HasNews(const host_state& host, const wire::view_requestT& request)
    -> bool {
  const bool is_same_source = request.source == host.process;
  const auto known = is_same_source ? request.revision : 0;
  return (host.deployment != nullptr &&
          host.deployment->state().version.value > request.state_version) ||
         HasOtherView(host, request) ||
         (is_same_source &&
          host.evacuations.revision() != request.evacuation_revision) ||
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

/** Applies the evacuations of an answer. Those of an older position, or of the
 * same one, change nothing: this host may know a newer record. */
auto ApplyEvacuations(host_state& host, const wire::view_replyT& reply)
    -> void {
  const log_offset next(reply.state_next);
  const auto reached = host.state_feed.reached;
  const bool is_newer = reply.has_state && next > reached;
  // A host that has lost its position still knows evacuations. They are better
  // than none, but it cannot say that there are no others.
  const bool is_without_position =
      next == log_offset() && reached == log_offset();
  if (!is_newer && !is_without_position) {
    return;
  }
  auto evacuated = is_newer ? data_centre_set() : host.evacuations.All();
  for (const auto& name : reply.evacuated) {
    evacuated.insert(data_centre_id(name));
  }
  ApplyEvacuations(host, evacuated, next);
}

/** Returns the view of the members in an answer, whose owners were read at
 * `read`; nothing if it has none that is newer and readable. Partitions may
 * change hands within one generation. */
auto NewerView(const host_state& host,
               const wire::view_replyT& reply,
               time_point read) -> std::optional<fleet_view> {
  const bool is_newer = reply.generation > host.view.generation ||
                        (reply.generation == host.view.generation &&
                         read > host.view_read + kMaxReadTimeError);
  if (!is_newer || reply.members.empty()) {
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
  request.view_hash = host.view_hash;
  request.source = cursor.source;
  const bool is_valid = cursor.reached == host.server_feed.reached;
  request.revision = is_valid ? cursor.revision : 0;
  request.evacuation_revision = cursor.evacuation_revision;
  return request;
}

auto ReadsStore(const host_state& host, time_point now) -> bool {
  if (host.view.members.empty()) {
    return host.is_small_fleet || now >= host.started + kViewTimeout;
  }
  if (IsProvisional(host.view, host.self)) {
    // The generation counts the members that have come, so it bounds their
    // number: in a large fleet the others become known before this is over.
    const milliseconds delay =
        std::min<std::uint64_t>(host.view.generation, kMaxCountedMembers) *
        kDelayPerMember;
    return now >= host.started + delay;
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
  // Before the state, which may make this host ready for callers, and before
  // the position advances.
  ApplyEvacuations(host, reply);
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
  // Also after an answer that was skipped: its evacuations were older.
  if (reply.source == cursor.source) {
    cursor.evacuation_revision = reply.evacuation_revision;
  }
  const auto owners_read = TimeBefore(now, reply.owners_age_us);
  if (auto view = NewerView(host, reply, owners_read)) {
    if (*view != host.view) {
      ApplyView(host, std::move(*view));
    }
    host.view_read = owners_read;
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
  reply.owners_age_us = Micros(now - host.view_read);
  if (HasOtherView(host, request)) {
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
  reply.evacuation_revision = host.evacuations.revision();
  for (const auto& [data_centre, since] : host.evacuations.since()) {
    reply.evacuated.push_back(data_centre.value);
  }
  if (reply.has_state &&
      host.deployment->state().version.value > request.state_version) {
    reply.state = host.state_text;
  }
  co_return reply;
}

}  // namespace dogwood
