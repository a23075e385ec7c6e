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
  c.tracker.TakeChildVouch(host_id(peer.host),
                           log_offset(request.up->known_offset),
                           rank_set(std::move(request.up->covered)),
                           DurationOf(request.up->age_us), echo, now);
  // At the root this may complete the fleet's vouch.
  c.tracker.Gather(now);
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

/** The reply to a request. */
auto MakeReply(controld& c, const wire::tail_requestT& request)
    -> wire::tail_replyT {
  wire::tail_replyT reply;
  // The proof is read first: it holds for any later end, not for an earlier
  // one.
  const auto proof = c.tracker.Proof();
  FillRecords(c, request, reply);
  const auto now = clock::now();
  reply.proven = c.tracker.IsFresh(now);
  reply.age_us = reply.proven ? MicrosecondsOf(now - proof.as_of) : 0;
  if (const auto fleet = c.tracker.FleetVouch()) {
    reply.down = std::make_unique<wire::vouchT>();
    reply.down->known_offset = fleet->known_offset.value;
    reply.down->covered = fleet->covered.words();
    reply.down->age_us = MicrosecondsOf(now - fleet->as_of);
  }
  reply.start = c.process_start.value;
  reply.stamp_us = MicrosecondsOf(now.time_since_epoch());
  return reply;
}

/** Whether `peer` may be answered now. */
auto MayAnswer(const controld& c, const link_peer& peer) -> outcome<void> {
  const bool is_local = peer.host == c.settings.self.host.value;
  if (!is_local && peer.daemon != "controld") {
    return Refuse(error_code::kForbidden,
                  "this controld serves daemons of its own host only", peer);
  }
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

/** Answers one tail request. */
auto ServeTail(controld& c, const link_peer& peer, wire::tail_requestT& request)
    -> outcome<wire_message> {
  const auto now = clock::now();
  const log_offset from(request.from_offset);
  if (peer.daemon == "controld") {
    c.pulls.Note(peer, from, now);
    TakeVouch(c, peer, request, now);
  }
  auto allowed = MayAnswer(c, peer);
  if (!allowed) {
    ++c.metrics.tails_refused;
    return allowed.error();
  }
  if (peer.daemon != "controld") {
    c.pulls.Note(peer, from, now);
    c.tracker.TakeDaemonPull(peer.daemon, from, now);
  }
  ++c.metrics.tails_served;
  return MakeMessage(MakeReply(c, request));
}

}  // namespace

auto ServeLink(controld& c, link_peer peer, wire_message message)
    -> asio::awaitable<outcome<wire_message>> {
  auto* request = message.Astail_request();
  if (request == nullptr) {
    co_return Refuse(error_code::kBadRequest, "controld takes tail requests",
                     peer);
  }
  co_return ServeTail(c, peer, *request);
}

}  // namespace dogwood
