#include "src/controld_serve.h"

#include <algorithm>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Maximum number of records in one reply. */
constexpr std::uint32_t kMaxRecords = 1000;
/** Soft limit on the bytes of records in one reply: the last record may exceed
 * it. */
constexpr std::size_t kMaxBytes = 4UL << 20;
/** Minimum interval between two replies without records, as a fraction of the
 * freshness limit: each edge of the tree ages a proof by up to this interval.
 * With the default limit it is 0.9 s, which keeps a host with 6 children, 2
 * region heads and 2 daemons below 2 KB/s. */
constexpr double kReplyIntervalShare = 0.18;
/** Maximum time that a request is held (long poll); must be below the timeout
 * of the caller. */
constexpr std::chrono::milliseconds kMaxHoldTime{1000};
/** Interval at which a held request is checked. */
constexpr std::chrono::milliseconds kHoldPollInterval{25};

/** Builds the failure of a refused call. */
auto Refuse(error_code code, std::string why, const link_peer& peer)
    -> failure {
  return {.code = code,
          .message = std::move(why),
          .ran = ran_state::kNo,
          .step = "answer tail request",
          .peer = peer.Name()};
}

/** Passes the attestation in a request of another host to the tracker. */
auto HandleAttestation(controld& c,
                       const link_peer& peer,
                       wire::tail_requestT& request,
                       time_point now) -> void {
  if (!request.up) {
    return;
  }
  const reply_echo echo{incarnation(request.echo_start),
                        time_point(FromMicroseconds(request.echo_stamp_us)),
                        FromMicroseconds(request.echo_elapsed_us)};
  c.tracker.HandleChildAttestation(
      host_id(peer.host), log_offset(request.up->known_offset),
      rank_set(std::move(request.up->covered)),
      FromMicroseconds(request.up->age_us), echo, now);
  // At the root this may complete the attestation of the whole fleet.
  c.tracker.MergeAttestations(now);
}

/** Fills in the requested records, or a snapshot if they were evicted from the
 * record store. */
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
    // The proof does not cover records stored after `next` was read.
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

/** Builds the reply to a request that arrived at `arrived`. */
auto MakeTailReply(controld& c,
                   const link_peer& peer,
                   const wire::tail_requestT& request,
                   time_point arrived) -> wire::tail_replyT {
  wire::tail_replyT reply;
  // The proof must be read before `next`: it is valid for a later end of the
  // log, but not for an earlier one.
  const auto proof = c.tracker.Proof();
  FillRecords(c, request, reply);
  const auto now = clock::now();
  reply.proven = c.tracker.IsFresh(now);
  reply.age_us = reply.proven ? ToMicroseconds(now - proof.as_of) : 0;
  if (const auto fleet = c.tracker.FleetAttestation()) {
    reply.down = std::make_unique<wire::vouchT>();
    reply.down->known_offset = fleet->known_offset.value;
    reply.down->covered = fleet->covered.words();
    reply.down->age_us = ToMicroseconds(now - fleet->as_of);
  }
  reply.start = c.process_start.value;
  reply.stamp_us = ToMicroseconds(now.time_since_epoch());
  reply.held_us = ToMicroseconds(now - arrived);
  c.sent_proofs.Record(peer.Name(), {proof.as_of, now});
  return reply;
}

/** Fails if tail requests of `peer` must be refused now. */
auto CheckCanAnswer(const controld& c, const link_peer& peer) -> outcome<void> {
  if (c.state == serve_state::kStopped) {
    return Refuse(error_code::kUnavailable, "this host has stopped", peer);
  }
  // Until another member has applied the join of this host, the others may
  // still prove to each other that nothing has changed since before the join.
  if (!c.tracker.IsConfirmed()) {
    return Refuse(error_code::kUnavailable,
                  "this host's join is not confirmed yet", peer);
  }
  return {};
}

/** Whether a reply to `peer` is due: there are new records, or there is a newer
 * proof and the minimum interval since the last reply has passed. */
auto IsReplyDue(const controld& c,
                const link_peer& peer,
                log_offset from,
                time_point now) -> bool {
  if (c.state == serve_state::kStopped || NextOffset(c) > from) {
    return true;
  }
  const auto last = c.sent_proofs.Find(peer.Name());
  const auto interval = std::chrono::duration_cast<duration>(
      c.settings.freshness_limit * kReplyIntervalShare);
  return last.at == time_point::min() ||
         (now - interval >= last.at && c.tracker.Proof().as_of > last.as_of);
}

/** Holds a request until its reply is due (long poll). New proofs thus
 * propagate down the tree at once, at one message a second for each edge; with
 * polling at a fixed interval each level would add that interval to the age of
 * a proof. */
auto HoldReply(const controld& c,
               const link_peer& peer,
               log_offset from,
               time_point arrived) -> asio::awaitable<void> {
  const auto deadline = arrived + kMaxHoldTime;
  while (clock::now() < deadline && !IsReplyDue(c, peer, from, clock::now())) {
    co_await Sleep(kHoldPollInterval);
  }
}

/** Records that a daemon has applied the records before `from` and may serve on
 * them until the freshness limit after `now`. Pulls of other controlds are
 * ignored. */
auto RecordPull(controld& c,
                const link_peer& peer,
                log_offset from,
                time_point now) -> void {
  if (peer.daemon != "controld") {
    const bool is_local = peer.host == c.settings.self.host.value;
    c.pulls.Record(peer, from, now);
    c.tracker.RecordDaemonPull(
        peer.Name(),
        is_local ? daemon_place::kOwnHost : daemon_place::kOtherHost, from,
        now);
  }
}

/** Handles one tail request. */
auto ServeTail(controld& c, link_peer peer, wire::tail_requestT request)
    -> asio::awaitable<outcome<wire_message>> {
  const auto arrived = clock::now();
  const log_offset from(request.from_offset);
  if (peer.daemon == "controld") {
    c.pulls.Record(peer, from, arrived);
    HandleAttestation(c, peer, request, arrived);
  }
  auto allowed = CheckCanAnswer(c, peer);
  if (allowed) {
    RecordPull(c, peer, from, arrived);
    co_await HoldReply(c, peer, from, arrived);
    allowed = CheckCanAnswer(c, peer);
  }
  if (!allowed) {
    ++c.metrics.tails_refused;
    co_return allowed.error();
  }
  // Recorded again because the validity of the proof sent to the daemon starts
  // now.
  RecordPull(c, peer, from, clock::now());
  ++c.metrics.tails_served;
  co_return MakeMessage(MakeTailReply(c, peer, request, arrived));
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
