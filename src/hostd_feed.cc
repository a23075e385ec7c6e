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
    wire::view_requestT request;
    request.state_version = host_.deployment == nullptr
                                ? 0
                                : host_.deployment->state().version.value;
    request.generation = host_.view.generation;
    request.source = source_;
    request.revision = revision_;
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
    ApplyPeerView(host_, *view);
    source_ = view->source;
    revision_ = view->revision;
    const auto now = clock::now();
    const auto confirmed = std::min(TimeBefore(now, view->state_age_us),
                                    TimeBefore(now, view->servers_age_us));
    if (!view->has_servers || now - confirmed >= kMaxFeedAge) {
      co_return false;
    }
    host_.feed_deadline =
        std::max(host_.feed_deadline, confirmed + kMaxFeedAge);
    co_return true;
  }

 private:
  host_state& host_;
  std::uint64_t source_ = 0;    // Process of the newest answer.
  std::uint64_t revision_ = 0;  // Revision of the registrations there.
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

/** Moves a position to where the answer of a peer leads. */
auto Advance(feed_position& position, log_offset next, time_point confirmed)
    -> void {
  position.next = std::max(position.next.value_or(next), next);
  position.confirmed = std::max(position.confirmed, confirmed);
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
  return view;
}

}  // namespace

auto ReadsStore(const host_state& host, time_point now) -> bool {
  if (host.view.members.empty()) {
    return host.is_small_fleet || now >= host.started + kViewTimeout;
  }
  return host.feed_sources.empty() || now >= host.feed_deadline;
}

auto FollowFeed(host_state& host) -> asio::awaitable<void> {
  feed_client client(host);
  unsigned failures = 0;
  while (true) {
    // Copied because the view may change during the call.
    const auto sources = host.feed_sources;
    const bool is_isolated = IsIsolated(host, clock::now());
    if (sources.empty() && !is_isolated) {
      co_await Sleep(kPeerQueryInterval);
      continue;
    }
    const auto turn = failures % (sources.size() + (is_isolated ? 1 : 0));
    const bool is_source = turn < sources.size();
    const auto address = is_source ? host.LinkAddressOf(sources[turn])
                                   : RandomPeer(host, failures);
    bool is_current = false;
    if (!address.empty()) {
      is_current =
          co_await client.Ask(address, is_source ? kFeedWait : milliseconds(0));
    }
    failures = is_current && is_source ? 0 : failures + 1;
    co_await Sleep(is_current && is_source ? kFeedInterval
                                           : kPeerQueryInterval);
  }
}

auto ApplyPeerView(host_state& host, const wire::view_replyT& reply) -> void {
  const auto now = clock::now();
  if (!reply.state.empty()) {
    ApplyState(host, reply.state);
  }
  if (reply.has_state) {
    Advance(host.state_feed, log_offset(reply.state_next),
            TimeBefore(now, reply.state_age_us));
  }
  // What this host has read itself may be newer than the answer.
  const log_offset servers_next(reply.servers_next);
  if (reply.has_servers &&
      (!host.server_feed.next || servers_next >= *host.server_feed.next)) {
    ApplyRegistrations(host, reply);
    Advance(host.server_feed, servers_next,
            TimeBefore(now, reply.servers_age_us));
  } else if (reply.has_servers) {
    ++host.feed.skipped_answers;
    LogEvent(log_level::kInfo, log_category::kConfig, "answer_skipped",
             {{"position", servers_next.value},
              {"own_position", host.server_feed.next->value},
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
    reply.owners = host.view.owners;
    for (const auto& member : host.view.members) {
      reply.members.push_back(member.name);
    }
  }
  AddRegistrations(host, request, reply);
  reply.servers_age_us = Micros(now - host.server_feed.confirmed);
  reply.servers_next = host.server_feed.next.value_or(log_offset()).value;
  reply.has_state = host.deployment != nullptr;
  reply.state_age_us = Micros(now - host.state_feed.confirmed);
  reply.state_next = host.state_feed.next.value_or(log_offset()).value;
  if (reply.has_state &&
      host.deployment->state().version.value > request.state_version) {
    reply.state = host.state_text;
  }
  co_return reply;
}

}  // namespace dogwood
