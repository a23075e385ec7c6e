#include "src/controld_pull.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** Maximum number of records requested at once. */
constexpr unsigned kPageRecords = 1000;
/** Minimum wait before a host or the log is queried again after a failure. */
constexpr std::chrono::milliseconds kRetryDelay{1000};
/** The log is read as well once the proof is older than the freshness limit
 * divided by this: the ancestor may have lost its connection to the root. */
constexpr int kOldProofDivisor = 2;

/** Builds the tail request for `peer`, with the attestation `up` if given. */
auto MakeTailRequest(const controld& c,
                     const member& peer,
                     const std::optional<attestation>& up,
                     time_point now) -> wire::tail_requestT {
  wire::tail_requestT request;
  request.host = c.settings.self.host.value;
  request.daemon = "controld";
  request.from_offset = NextOffset(c).value;
  request.limit = kPageRecords;
  if (up) {
    request.up = std::make_unique<wire::vouchT>();
    request.up->known_offset = up->known_offset.value;
    request.up->covered = up->covered.words();
    request.up->age_us = ToMicroseconds(now - up->as_of);
  }
  if (const auto last = c.replies.Find(peer.control_link)) {
    request.echo_start = last->start;
    request.echo_stamp_us = last->stamp_us;
    request.echo_elapsed_us = ToMicroseconds(now - last->arrived);
  }
  return request;
}

/** Applies the records, the proof and the fleet attestation of a reply to the
 * request sent at `sent`. */
auto HandleReply(controld& c, wire::tail_replyT reply, time_point sent)
    -> void {
  const record_run run{log_offset(reply.from), std::move(reply.records)};
  ApplyFetchedRecords(c, run, log_offset(reply.next));
  const auto held = FromMicroseconds(reply.held_us);
  if (reply.proven) {
    const freshness_proof proof{
        log_offset(reply.next),
        ReplyAsOf(sent, held, FromMicroseconds(reply.age_us))};
    c.tracker.ApplyProof(proof);
  }
  if (reply.down) {
    attestation fleet;
    fleet.known_offset = log_offset(reply.down->known_offset);
    fleet.covered = rank_set(reply.down->covered);
    fleet.as_of = ReplyAsOf(sent, held, FromMicroseconds(reply.down->age_us));
    c.tracker.ApplyFleetAttestation(fleet);
  }
}

/** Copies the proof of the tracker to the replica, whose RequireFresh() uses
 * it. */
auto PublishProof(controld& c) -> void {
  const auto proof = c.tracker.Proof();
  if (proof.as_of != time_point::min()) {
    c.replica.ApplyProof(proof.next, proof.as_of);
    c.metrics.proof_age.Observe(clock::now() - proof.as_of);
  }
}

/** The member `host`, nullptr if absent. */
auto FindMember(const std::vector<member>& members, const host_id& host)
    -> const member* {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&host](const member& m) { return m.host == host; });
  return found == members.end() ? nullptr : &*found;
}

/** Addresses of the control links of all members. */
auto ControlLinks(const std::vector<member>& members) -> std::set<std::string> {
  std::set<std::string> addresses;
  for (const auto& m : members) {
    addresses.insert(m.control_link);
  }
  return addresses;
}

/** Follows the stream "config"; remembers which sources failed recently. */
class config_follower {
 public:
  explicit config_follower(controld& c) : c_(c) {}

  /** Pulls once: from the nearest ancestor that answers, or else from the log.
   */
  auto PullOnce() -> asio::awaitable<void> {
    const auto started = clock::now();
    const auto members = MembersOf(c_);
    const auto position =
        TreePosition(members, c_.settings.self.host, c_.settings.log_region);
    c_.peers.Keep(ControlLinks(members));
    const bool answered = co_await PullFromAncestors(members, position);
    const bool reads_log = !answered || HasOldProof();
    bool log_answered = false;
    if (reads_log && clock::now() >= log_retry_at_) {
      // Only the root long-polls the log; this is what paces its loop.
      log_answered = co_await ReadLog(position.ancestors.empty());
    }
    // The root merges the attestations of its children here.
    c_.tracker.MergeAttestations(clock::now());
    PublishProof(c_);
    const bool is_root = position.ancestors.empty() && log_answered;
    const auto next_pull = started + c_.settings.pull_interval;
    if (!is_root && clock::now() < next_pull) {
      co_await Sleep(next_pull - clock::now());
    }
  }

 private:
  /** Pulls from the nearest ancestor that answers. Returns false if none does.
   */
  auto PullFromAncestors(const std::vector<member>& members,
                         const tree_position& position)
      -> asio::awaitable<bool> {
    for (const auto& host : position.ancestors) {
      const auto* peer = FindMember(members, host);
      if (peer == nullptr || retry_at_[host] > clock::now()) {
        continue;
      }
      const auto sent = clock::now();
      auto up = c_.tracker.MergeAttestations(sent);
      auto reply = co_await PullFromPeer(c_, *peer, std::move(up),
                                         sent + c_.settings.pull_timeout);
      if (reply) {
        retry_at_.erase(host);
        HandleReply(c_, std::move(reply.value()), sent);
        co_return true;
      }
      retry_at_[host] = clock::now() + kRetryDelay;
    }
    co_return false;
  }

  /** Reads the log to its end; with `long_poll` the read waits up to one pull
   * interval for new records. Returns false on failure. */
  auto ReadLog(bool long_poll) -> asio::awaitable<bool> {
    const auto max_wait =
        long_poll ? c_.settings.pull_interval : std::chrono::milliseconds(0);
    while (true) {
      const auto sent = clock::now();
      const auto next = NextOffset(c_);
      auto page =
          co_await c_.platform.Read("config", next, kPageRecords, max_wait,
                                    sent + max_wait + c_.settings.pull_timeout);
      if (!page) {
        co_await HandleReadFailure(page.error());
        co_return false;
      }
      ++c_.metrics.log_reads;
      c_.log_first = page->first.value;
      const bool is_tail = page->ReachesStreamEnd();
      const record_run run{page->from, std::move(page->records)};
      const log_offset end(run.from.value + run.records.size());
      ApplyFetchedRecords(c_, run, end);
      if (is_tail) {
        c_.tracker.ApplyProof({end, sent});
        co_return true;
      }
    }
  }

  /** Counts and logs a failed read; loads a snapshot if the log no longer
   * retains the next record. */
  auto HandleReadFailure(const failure& error) -> asio::awaitable<void> {
    ++c_.metrics.log_read_errors;
    LogFailure(log_level::kWarning, log_category::kConfig, error);
    log_retry_at_ = clock::now() + kRetryDelay;
    if (error.code == error_code::kNotFound) {
      co_await LoadConfig(c_);
    }
  }

  /** Whether the proof is too old to rely on the ancestors alone. */
  auto HasOldProof() const -> bool {
    const auto as_of = c_.tracker.Proof().as_of;
    return clock::now() - c_.settings.freshness_limit / kOldProofDivisor >
           as_of;
  }

  controld& c_;
  std::map<host_id, time_point> retry_at_;
  time_point log_retry_at_ = time_point::min();
};

/** Reads all retained records of the log. */
auto ReadRetained(controld& c) -> asio::awaitable<outcome<record_run>> {
  const auto bounds_deadline = clock::now() + c.settings.pull_timeout;
  auto bounds = co_await c.platform.ReadBounds("config", bounds_deadline);
  if (!bounds) {
    co_return bounds.error();
  }
  c.log_first = bounds->first.value;
  record_run run;
  run.from = bounds->first;
  while (run.from.value + run.records.size() < bounds->next.value) {
    const log_offset next(run.from.value + run.records.size());
    auto page = co_await c.platform.Read(
        "config", next, kPageRecords, std::chrono::milliseconds(0),
        clock::now() + c.settings.pull_timeout);
    if (!page) {
      co_return page.error();
    }
    if (page->records.empty()) {
      break;
    }
    std::move(page->records.begin(), page->records.end(),
              std::back_inserter(run.records));
  }
  co_return run;
}

/** The newest snapshot in `run` and its as_of; nothing if there is none. */
auto NewestSnapshot(const record_run& run)
    -> std::optional<std::pair<log_offset, std::string>> {
  for (auto i = run.records.size(); i-- > 0;) {
    config_tree scratch;
    if (run.records[i].find("\"snapshot\"") != std::string::npos &&
        ToOutcome([&] { return scratch.LoadSnapshot(run.records[i]); })) {
      return std::pair(scratch.next_offset(), run.records[i]);
    }
  }
  return std::nullopt;
}

/** Applies the retained records, starting at the newest snapshot. Returns false
 * if records before the retained range are missing. */
auto ApplyRetained(controld& c, record_run run) -> bool {
  const log_offset end(run.from.value + run.records.size());
  const auto snapshot = NewestSnapshot(run);
  if (snapshot && snapshot->first > NextOffset(c)) {
    ApplyFetchedRecords(c, {snapshot->first, {snapshot->second}},
                        snapshot->first);
  }
  const auto next = NextOffset(c);
  if (next < run.from) {
    return false;
  }
  const auto skip =
      std::min<std::uint64_t>(next.value - run.from.value, run.records.size());
  run.records.erase(run.records.begin(),
                    run.records.begin() + static_cast<std::ptrdiff_t>(skip));
  run.from = next;
  ApplyFetchedRecords(c, run, end);
  return NextOffset(c) >= end;
}

}  // namespace

auto PullFromPeer(controld& c,
                  const member& peer,
                  std::optional<attestation> up,
                  time_point deadline)
    -> asio::awaitable<outcome<wire::tail_replyT>> {
  auto client = c.peers.Get(peer.control_link);
  if (!client) {
    failure invalid{.code = error_code::kBadRequest,
                    .message = "the join record has no valid control_link",
                    .step = "pull",
                    .peer = peer.host.value};
    co_return invalid;
  }
  auto request = MakeMessage(MakeTailRequest(c, peer, up, clock::now()));
  auto answer = co_await client->Call(std::move(request), deadline);
  if (!answer) {
    ++c.metrics.pull_errors;
    LogFailure(log_level::kDebug, log_category::kConfig, answer.error());
    co_return answer.error();
  }
  auto* reply = answer->Astail_reply();
  if (reply == nullptr) {
    failure invalid{.code = error_code::kBadGateway,
                    .message = "the answer is no tail_reply",
                    .step = "pull",
                    .peer = peer.host.value};
    co_return invalid;
  }
  ++c.metrics.pulls;
  const received_reply received{reply->start, reply->stamp_us, clock::now()};
  c.replies.Record(peer.control_link, received);
  c.tracker.Confirm(log_offset(reply->next));
  co_return std::move(*reply);
}

auto LoadConfig(controld& c) -> asio::awaitable<void> {
  while (true) {
    auto run = co_await ReadRetained(c);
    if (run && ApplyRetained(c, std::move(run.value()))) {
      co_return;
    }
    const failure error =
        run ? failure{.code = error_code::kUnavailable,
                      .message =
                          "the retained records hold no snapshot and "
                          "do not start at offset 0",
                      .step = "load configuration",
                      .peer = "platform"}
            : run.error();
    LogFailure(log_level::kError, log_category::kConfig, error);
    co_await Sleep(kRetryDelay);
  }
}

auto FollowConfig(controld& c) -> asio::awaitable<void> {
  config_follower follower(c);
  while (true) {
    co_await follower.PullOnce();
  }
}

}  // namespace dogwood
