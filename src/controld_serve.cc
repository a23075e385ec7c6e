#include "src/controld_serve.h"

#include <algorithm>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Most records in one reply. */
constexpr std::uint32_t kMaxRecords = 1000;
/** About the most bytes of records in one reply. */
constexpr std::size_t kMaxBytes = 4UL << 20;
/** Least time between two replies that bring a proof only, as a part of the
 * freshness limit, since a proof that passes several edges ages by it at each.
 * With the default limit it is 0.9 s, which with 6 children, 2 region heads and
 * 2 daemons keeps a host below 2 KB/s. */
constexpr double kReplyShare = 0.18;
/** Longest time that a request is held; below the caller's timeout. */
constexpr std::chrono::milliseconds kHoldLimit{1000};
/** How often a held request is looked at. */
constexpr std::chrono::milliseconds kHoldLook{25};

/** A refusal of a call. */
auto Refuse(error_code code, std::string why, const link_peer& peer)
    -> failure {
  return {.code = code,
          .message = std::move(why),
          .ran = ran_state::kNo,
          .step = "answer tail request",
          .peer = peer.Name()};
}

/** Takes the vouch that came with a request of another host. */
auto TakeVouch(controld& c,
               const link_peer& peer,
               wire::tail_requestT& request,
               time_point now) -> void {
  if (!request.up) {
    return;
  }
  const reply_echo echo{incarnation(request.echo_start),
                        time_point(DurationOf(request.echo_stamp_us)),
                        DurationOf(request.echo_elapsed_us)};
  c.tracker.HandleChildAttestation(host_id(peer.host),
                                   log_offset(request.up->known_offset),
                                   rank_set(std::move(request.up->covered)),
                                   DurationOf(request.up->age_us), echo, now);
  // At the root this may complete the fleet's vouch.
  c.tracker.MergeAttestations(now);
}

/** Fills in records, or a snapshot if the records are no longer held. */
auto FillRecords(const controld& c,
                 const wire::tail_requestT& request,
                 wire::tail_replyT& reply) -> void {
  const log_offset from(request.from_offset);
  const auto limit = std::clamp<std::uint32_t>(request.limit, 1, kMaxRecords);
  reply.first = c.store.First().value;
  reply.next = NextOffset(c).value;
  auto run = c.store.Read(from, limit, kMaxBytes);
  if (run) {
    reply.from = run->from.value;
    // A record stored since `next` was read is beyond what the proof covers.
    const auto known = reply.next > reply.from ? reply.next - reply.from : 0;
    run->records.resize(std::min<std::size_t>(run->records.size(), known));
    reply.records = std::move(run->records);
    return;
  }
  c.replica.Read([&](const config_tree& tree) {
    const record_writer writer{c.settings.self.host, c.process_start, 0};
    reply.from = tree.next_offset().value;
    reply.next = reply.from;
    reply.records = {tree.Snapshot(writer)};
  });
}

/** The reply to a request that arrived at `arrived`. */
auto MakeReply(controld& c,
               const link_peer& peer,
               const wire::tail_requestT& request,
               time_point arrived) -> wire::tail_replyT {
  wire::tail_replyT reply;
  // The proof is read first: it holds for any later end, not for an earlier
  // one.
  const auto proof = c.tracker.Proof();
  FillRecords(c, request, reply);
  const auto now = clock::now();
  reply.proven = c.tracker.IsFresh(now);
  reply.age_us = reply.proven ? MicrosecondsOf(now - proof.as_of) : 0;
  if (const auto fleet = c.tracker.FleetAttestation()) {
    reply.down = std::make_unique<wire::vouchT>();
    reply.down->known_offset = fleet->known_offset.value;
    reply.down->covered = fleet->covered.words();
    reply.down->age_us = MicrosecondsOf(now - fleet->as_of);
  }
  reply.start = c.process_start.value;
  reply.stamp_us = MicrosecondsOf(now.time_since_epoch());
  reply.held_us = MicrosecondsOf(now - arrived);
  c.given.Note(peer.Name(), {proof.as_of, now});
  return reply;
}

/** Whether `peer` may be answered now. */
auto MayAnswer(const controld& c, const link_peer& peer) -> outcome<void> {
  if (c.state == serve_state::kStopped) {
    return Refuse(error_code::kUnavailable, "this host has stopped", peer);
  }
  // Until a member knows of this host, others may still prove to each other
  // that nothing changed since before its join.
  if (!c.tracker.IsConfirmed()) {
    return Refuse(error_code::kUnavailable,
                  "this host's join is not confirmed yet", peer);
  }
  return {};
}

/** Whether the reply to `peer` would bring it something now: records, or a
 * newer proof a while after the last one. */
auto IsReplyDue(const controld& c,
                const link_peer& peer,
                log_offset from,
                time_point now) -> bool {
  if (c.state == serve_state::kStopped || NextOffset(c) > from) {
    return true;
  }
  const auto last = c.given.Find(peer.Name());
  const auto period = std::chrono::duration_cast<duration>(
      c.settings.freshness_limit * kReplyShare);
  return last.at == time_point::min() ||
         (now - period >= last.at && c.tracker.Proof().as_of > last.as_of);
}

/** Holds a request until its reply is due. A proof then passes down the tree as
 * soon as it is there, with one message a second for each edge; with a fixed
 * period each level would add that period to its age. */
auto HoldReply(const controld& c,
               const link_peer& peer,
               log_offset from,
               time_point arrived) -> asio::awaitable<void> {
  const auto limit = arrived + kHoldLimit;
  while (clock::now() < limit && !IsReplyDue(c, peer, from, clock::now())) {
    co_await Sleep(kHoldLook);
  }
}

/** Notes that a daemon has applied the records before `from`, and may serve on
 * them for the freshness limit from `now` on. */
auto NoteDaemonPull(controld& c,
                    const link_peer& peer,
                    log_offset from,
                    time_point now) -> void {
  if (peer.daemon != "controld") {
    const bool is_local = peer.host == c.settings.self.host.value;
    c.pulls.Note(peer, from, now);
    c.tracker.RecordDaemonPull(
        peer.Name(),
        is_local ? daemon_place::kOwnHost : daemon_place::kOtherHost, from,
        now);
  }
}

/** Answers one tail request. */
auto ServeTail(controld& c, link_peer peer, wire::tail_requestT request)
    -> asio::awaitable<outcome<wire_message>> {
  const auto arrived = clock::now();
  const log_offset from(request.from_offset);
  if (peer.daemon == "controld") {
    c.pulls.Note(peer, from, arrived);
    TakeVouch(c, peer, request, arrived);
  }
  auto allowed = MayAnswer(c, peer);
  if (allowed) {
    NoteDaemonPull(c, peer, from, arrived);
    co_await HoldReply(c, peer, from, arrived);
    allowed = MayAnswer(c, peer);
  }
  if (!allowed) {
    ++c.metrics.tails_refused;
    co_return allowed.error();
  }
  // Again, as the proof that the daemon gets counts from now.
  NoteDaemonPull(c, peer, from, clock::now());
  ++c.metrics.tails_served;
  co_return MakeMessage(MakeReply(c, peer, request, arrived));
}

}  // namespace

auto ServeLink(controld& c, link_peer peer, wire_message message)
    -> asio::awaitable<outcome<wire_message>> {
  auto* request = message.Astail_request();
  if (request == nullptr) {
    co_return Refuse(error_code::kBadRequest, "controld takes tail requests",
                     peer);
  }
  co_return co_await ServeTail(c, std::move(peer), std::move(*request));
}

}  // namespace dogwood
