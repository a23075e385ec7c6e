#include "tests/freshness_world.h"

namespace dogwood::test {
namespace {

/** Name of a host; sorts by index. */
auto NameOf(std::size_t host) -> host_id {
  return host_id("h" + std::to_string(1000 + host));
}

/** Name of a region; sorts by number. */
auto RegionOf(std::size_t region) -> region_id {
  return region_id("r" + std::to_string(region));
}

}  // namespace

freshness_world::freshness_world(std::uint64_t seed,
                                 world_faults faults,
                                 std::size_t hosts,
                                 std::size_t regions)
    : random_(seed), faults_(faults), regions_(regions) {
  for (std::size_t i = 0; i < hosts; ++i) {
    AddHost(i % regions);
  }
}

auto freshness_world::Step() -> void {
  auto next = events_.top();
  events_.pop();
  now_ = next.at;
  next.run();
}

auto freshness_world::RunUntil(real_us until) -> void {
  while (events_.top().at < until) {
    Step();
  }
}

auto freshness_world::Serves(std::size_t host) const -> bool {
  const auto& h = *hosts_[host];
  return h.daemon_as_of > Local(h) - kLimit;
}

auto freshness_world::Violation() const -> std::optional<std::string> {
  for (const auto& h : hosts_) {
    const bool daemon_old = h->daemon_applied < accepted_ && Serves(h->index);
    const bool controld_old =
        h->applied < accepted_ && h->tracker->IsFresh(Local(*h));
    if (daemon_old || controld_old) {
      return "host " + std::to_string(h->index) + " serves at " +
             std::to_string(daemon_old ? h->daemon_applied : h->applied) +
             " although " + std::to_string(accepted_) + " is accepted, at " +
             std::to_string(now_) + " us";
    }
  }
  return std::nullopt;
}

auto freshness_world::At(real_us at, action run) -> void {
  events_.push({at, seq_++, std::move(run)});
}

// Sends a message to `to`, nullptr for the log. A paused host takes it late.
auto freshness_world::Deliver(std::size_t from_region, sim_host* to, action run)
    -> void {
  if (Chance(faults_.loss)) {
    return;
  }
  const auto delay = Chance(faults_.slow) ? Between(kSecond, 8 * kSecond)
                                          : Between(1000, kSecond / 20);
  const auto to_region = to == nullptr ? 0 : to->region;
  At(now_ + delay, [this, from_region, to_region, to, run = std::move(run)] {
    if (IsCut(from_region, to_region)) {
      return;
    }
    if (to != nullptr && to->paused_until > now_) {
      At(to->paused_until, run);
      return;
    }
    run();
  });
}

auto freshness_world::Local(const sim_host& h) const -> time_point {
  const auto real = static_cast<double>(now_ - h.rate_since);
  return h.local_then +
         std::chrono::microseconds(static_cast<real_us>(real * h.rate));
}

auto freshness_world::IsCut(std::size_t a, std::size_t b) const -> bool {
  return now_ < cut_until_ && a != b && (a == cut_region_ || b == cut_region_);
}

auto freshness_world::MembersAt(std::uint64_t next) const
    -> std::vector<member> {
  std::map<std::pair<std::size_t, std::size_t>, member> found;
  for (std::uint64_t i = 0; i < next; ++i) {
    const auto& record = log_[i];
    if (record.change != 0) {
      continue;
    }
    const auto region = hosts_[record.host]->region;
    auto& m = found[{region, record.host}];
    if (m.start.value < record.start) {
      m.host = NameOf(record.host);
      m.region = RegionOf(region);
      m.start = incarnation(record.start);
      m.joined = log_offset(i);
    }
  }
  std::vector<member> members;
  for (auto& [key, m] : found) {
    members.push_back(m);
  }
  return members;
}

auto freshness_world::AddHost(std::size_t region) -> void {
  auto h = std::make_unique<sim_host>();
  h->index = hosts_.size();
  h->region = region;
  h->rate_since = now_;
  // Clocks of different hosts have nothing to do with each other.
  h->local_then = time_point(std::chrono::seconds(Between(1000, 1000000)));
  h->rate = 1 + faults_.drift * (2 * uniform_(random_) - 1);
  StartControld(*h);
  auto* added = h.get();
  hosts_.push_back(std::move(h));
  At(now_ + Between(0, kPullPeriod), [this, added] { Tick(*added); });
  At(now_ + Between(0, kPullPeriod), [this, added] { TickDaemon(*added); });
}

// A new process: it knows nothing, while its daemon goes on.
auto freshness_world::StartControld(sim_host& h) -> void {
  ++h.start;
  h.applied = 0;
  h.join.reset();
  h.join_resend = time_point::min();
  h.echoes.clear();
  h.changes.clear();
  h.tracker = std::make_unique<freshness_tracker>(incarnation(h.start), kLimit,
                                                  Local(h));
}

auto freshness_world::Disturb(sim_host& h) -> void {
  if (Chance(faults_.pause_rate)) {
    h.paused_until = now_ + Between(kSecond / 5, 12 * kSecond);
  }
  if (Chance(faults_.restart_rate)) {
    StartControld(h);
  }
  if (Chance(faults_.join_rate) && hosts_.size() < 9) {
    AddHost(hosts_.size() % regions_);
  }
  if (Chance(faults_.cut_rate) && now_ > cut_until_) {
    SetCut(static_cast<std::size_t>(Between(0, static_cast<real_us>(regions_))),
           now_ + Between(kSecond, 20 * kSecond));
  }
  if (Chance(faults_.outage_rate) && now_ > outage_until_) {
    const auto until = now_ + Between(kSecond, 20 * kSecond);
    SetOutage(until, Chance(0.5) ? std::optional(h.index) : std::nullopt);
    // A host that only now joins meets members that cannot read of it.
    if (Chance(0.5)) {
      StartControld(h);
    }
  }
  if (Chance(faults_.pause_rate)) {
    h.local_then = Local(h);
    h.rate_since = now_;
    h.rate = 1 + faults_.drift * (2 * uniform_(random_) - 1);
  }
}

auto freshness_world::Tick(sim_host& h) -> void {
  if (h.paused_until > now_) {
    At(h.paused_until, [this, &h] { Tick(h); });
    return;
  }
  Disturb(h);
  Join(h);
  Pull(h);
  HandleChanges(h);
  h.tracker->MergeAttestations(Local(h));
  At(now_ + Between(kPullPeriod * 8 / 10, kPullPeriod),
     [this, &h] { Tick(h); });
}

// The daemon's request and its reply take time, like those between hosts.
auto freshness_world::TickDaemon(sim_host& h) -> void {
  if (h.paused_until > now_) {
    At(h.paused_until, [this, &h] { TickDaemon(h); });
    return;
  }
  const auto sent = Local(h);
  const auto from = h.daemon_applied;
  // A daemon whose own controld does not answer it asks another one, for longer
  // than a proof lasts.
  if (now_ >= h.away_until && Chance(faults_.away_rate)) {
    h.away_until = now_ + Between(kSecond, 20 * kSecond);
    h.away_peer = static_cast<std::size_t>(
        Between(0, static_cast<real_us>(hosts_.size())));
  }
  auto& peer = now_ < h.away_until ? *hosts_[h.away_peer] : h;
  Deliver(h.region, &peer, [this, &h, &peer, sent, from] {
    if (!peer.tracker->IsConfirmed()) {
      return;
    }
    NoteDaemonPull(h, peer, from);
    const auto start = peer.start;
    const auto arrived = Local(peer);
    At(now_ + Between(0, kHoldLimit),
       [this, &h, &peer, start, sent, from, arrived] {
         if (peer.start == start && peer.paused_until <= now_) {
           AnswerDaemon(h, peer, sent, from, arrived);
         }
       });
  });
  At(now_ + kPullPeriod, [this, &h] { TickDaemon(h); });
}

auto freshness_world::NoteDaemonPull(const sim_host& h,
                                     sim_host& peer,
                                     std::uint64_t from) -> void {
  peer.tracker->RecordDaemonPull(
      NameOf(h.index).value + "/entryd",
      &h == &peer ? daemon_place::kOwnHost : daemon_place::kOtherHost,
      log_offset(from), Local(peer));
}

auto freshness_world::AnswerDaemon(sim_host& h,
                                   sim_host& peer,
                                   time_point sent,
                                   std::uint64_t from,
                                   time_point arrived) -> void {
  if (!peer.tracker->IsConfirmed()) {
    return;
  }
  NoteDaemonPull(h, peer, from);
  const auto proof = peer.tracker->Proof();
  const auto next = peer.applied;
  const bool proven = peer.tracker->IsFresh(Local(peer));
  const auto as_of =
      ReplyAsOf(sent, Local(peer) - arrived, Local(peer) - proof.as_of);
  Deliver(peer.region, &h, [&h, next, proven, as_of] {
    h.daemon_applied = std::max(h.daemon_applied, next);
    if (proven) {
      h.daemon_as_of = std::max(h.daemon_as_of, as_of);
    }
  });
}

auto freshness_world::Pull(sim_host& h) -> void {
  const auto members = MembersAt(h.applied);
  const auto position = TreePosition(members, NameOf(h.index), RegionOf(0));
  if (Chance(faults_.stray) || !h.tracker->IsConfirmed()) {
    const auto peer = static_cast<std::size_t>(
        Between(0, static_cast<real_us>(hosts_.size())));
    SendPull(h, *hosts_[peer]);
  }
  for (const auto& ancestor : position.ancestors) {
    SendPull(h, *hosts_[std::stoul(ancestor.value.substr(1)) - 1000]);
    if (!Chance(faults_.stray)) {
      break;
    }
  }
  const bool old = h.tracker->Proof().as_of < Local(h) - kLimit / 2;
  if (position.ancestors.empty() || old) {
    ReadLog(h);
  }
}

auto freshness_world::SendPull(sim_host& h, sim_host& peer) -> void {
  if (&h == &peer) {
    return;
  }
  const auto sent = Local(h);
  const auto start = h.start;
  const auto up = h.tracker->MergeAttestations(sent);
  const auto age = up ? sent - up->as_of : duration::zero();
  reply_echo echo;
  if (const auto found = h.echoes.find(peer.index); found != h.echoes.end()) {
    echo = found->second.first;
    echo.elapsed = sent - found->second.second;
  }
  Deliver(h.region, &peer, [this, &h, &peer, sent, start, up, age, echo] {
    if (up) {
      peer.tracker->HandleChildAttestation(NameOf(h.index), up->known_offset,
                                           up->covered, age, echo, Local(peer));
    }
    const auto peer_start = peer.start;
    const auto arrived = Local(peer);
    At(now_ + Between(0, kHoldLimit),
       [this, &h, &peer, sent, start, peer_start, arrived] {
         if (peer.start == peer_start && peer.paused_until <= now_) {
           SendReply(h, peer, sent, start, arrived);
         }
       });
  });
}

auto freshness_world::SendReply(sim_host& h,
                                sim_host& peer,
                                time_point sent,
                                std::uint64_t start,
                                time_point arrived) -> void {
  auto reply = ServePull(peer);
  if (!reply) {
    return;
  }
  reply->held = Local(peer) - arrived;
  const auto peer_index = peer.index;
  Deliver(peer.region, &h, [this, &h, peer_index, sent, start, reply] {
    if (h.start == start) {
      HandleReply(h, peer_index, *reply, sent);
    }
  });
}

auto freshness_world::ServePull(sim_host& h) -> std::optional<tail_reply> {
  if (!h.tracker->IsConfirmed()) {
    return std::nullopt;
  }
  const auto local = Local(h);
  tail_reply reply{};
  reply.next = h.applied;
  if (h.tracker->IsFresh(local)) {
    reply.age = local - h.tracker->Proof().as_of;
  }
  reply.down = h.tracker->FleetAttestation();
  if (reply.down) {
    reply.down_age = local - reply.down->as_of;
  }
  reply.stamp.start = incarnation(h.start);
  reply.stamp.stamp = local;
  return reply;
}

auto freshness_world::HandleReply(sim_host& h,
                                  std::size_t peer,
                                  const tail_reply& reply,
                                  time_point sent) -> void {
  h.echoes[peer] = {reply.stamp, Local(h)};
  h.tracker->Confirm(log_offset(reply.next));
  // A reply holds a limited number of records.
  h.tracker->RecordSeen(log_offset(reply.next));
  const bool is_cut = reply.next > h.applied && Chance(0.2);
  Apply(h, h.applied, is_cut ? (h.applied + reply.next) / 2 : reply.next);
  if (reply.age) {
    h.tracker->ApplyProof(
        {log_offset(reply.next), ReplyAsOf(sent, reply.held, *reply.age)});
  }
  if (reply.down) {
    auto fleet = *reply.down;
    fleet.as_of = ReplyAsOf(sent, reply.held, reply.down_age);
    h.tracker->ApplyFleetAttestation(fleet);
  }
}

auto freshness_world::ReadLog(sim_host& h) -> void {
  const auto sent = Local(h);
  const auto start = h.start;
  Deliver(h.region, nullptr, [this, &h, sent, start] {
    if (InOutage(h)) {
      return;
    }
    const auto end = log_.size();
    Deliver(0, &h, [this, &h, sent, start, end] {
      if (h.start == start) {
        Apply(h, h.applied, end);
        h.tracker->ApplyProof({log_offset(end), sent});
      }
    });
  });
}

auto freshness_world::Append(sim_host& h,
                             sim_record record,
                             action acknowledged) -> void {
  const auto start = h.start;
  Deliver(h.region, nullptr,
          [this, &h, start, record, acknowledged = std::move(acknowledged)] {
            // In an outage some appends take effect without an answer.
            const bool outage = InOutage(h);
            if (outage && Chance(0.7)) {
              return;
            }
            log_.push_back(record);
            const auto end = log_.size();
            if (record.change != 0) {
              first_offset_.emplace(record.change, end - 1);
            }
            if (outage || Chance(faults_.answer_loss)) {
              return;
            }
            Deliver(0, &h, [&h, start, end, acknowledged] {
              if (h.start == start) {
                h.tracker->RecordSeen(log_offset(end));
                acknowledged();
              }
            });
          });
}

auto freshness_world::Apply(sim_host& h, std::uint64_t from, std::uint64_t end)
    -> void {
  if (end <= h.applied) {
    return;
  }
  h.tracker->RecordSeen(log_offset(end));
  h.applied = end;
  const auto members = MembersAt(end);
  auto rank = freshness_tracker::kNoRank;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].host == NameOf(h.index) &&
        members[i].start.value == h.start) {
      rank = i;
    }
  }
  h.tracker->SetApplied(log_offset(end), rank, members.size());
  for (auto i = from; i < end; ++i) {
    SeeRecord(h, i);
  }
}

auto freshness_world::SeeRecord(sim_host& h, std::uint64_t offset) -> void {
  const auto& record = log_[offset];
  if (record.host != h.index || record.start != h.start) {
    return;
  }
  if (record.change == 0) {
    if (!h.join) {
      h.join = offset;
      h.tracker->SetJoined(log_offset(offset));
    }
    return;
  }
  for (auto& change : h.changes) {
    if (change.id == record.change && !change.acknowledged) {
      change.acknowledged = Local(h);
    }
  }
}

auto freshness_world::Join(sim_host& h) -> void {
  if (h.join) {
    ConfirmAlone(h);
    return;
  }
  ReadLog(h);
  if (Local(h) >= h.join_resend) {
    h.join_resend = Local(h) + std::chrono::seconds(2);
    Append(h, {h.index, h.start, 0}, [] {});
  }
}

// The member with the oldest join needs nobody.
auto freshness_world::ConfirmAlone(sim_host& h) -> void {
  const auto members = MembersAt(h.applied);
  const bool is_oldest =
      std::all_of(members.begin(), members.end(),
                  [&h](const member& m) { return m.joined.value >= *h.join; });
  if (is_oldest) {
    h.tracker->ConfirmAlone();
  }
}

auto freshness_world::HandleChanges(sim_host& h) -> void {
  const auto local = Local(h);
  if (h.tracker->IsConfirmed() && Chance(faults_.change_rate)) {
    h.changes.push_back({next_change_++, time_point::min(), std::nullopt});
  }
  for (auto& change : h.changes) {
    if (!change.acknowledged && local >= change.resend) {
      change.resend = local + std::chrono::seconds(1);
      const auto id = change.id;
      Append(h, {h.index, h.start, id}, [this, &h, id] {
        for (auto& waiting : h.changes) {
          if (waiting.id == id && !waiting.acknowledged) {
            waiting.acknowledged = Local(h);
          }
        }
      });
    }
  }
  std::erase_if(h.changes, [this, &h, local](const sim_change& change) {
    const auto found = first_offset_.find(change.id);
    if (!change.acknowledged || found->second >= h.applied) {
      return false;
    }
    const bool early = h.tracker->AppliedEverywhere(log_offset(found->second));
    if (!early && local < h.tracker->AcceptedAt(*change.acknowledged)) {
      return false;
    }
    early_ += early ? 1 : 0;
    accepted_ = std::max(accepted_, found->second + 1);
    return true;
  });
}

}  // namespace dogwood::test
