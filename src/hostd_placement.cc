#include "src/hostd_placement.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/hostd_placement_codec.h"
#include "src/hostd_state.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Timer interval of the dispatcher while placement requests wait, and while
 * none do. */
constexpr milliseconds kBusyTick{20};
constexpr milliseconds kIdleTick{200};
constexpr milliseconds kReportTimeout{350};
/** A dispatcher that has not answered a report for this long gets no placement
 * requests. */
constexpr milliseconds kDispatcherTtl{700};
/** Report interval while this host has no dispatcher. */
constexpr milliseconds kDiscoveryInterval{80};
/** Ends of runs within this time are sent as one message. */
constexpr milliseconds kEndDelay{1};
constexpr milliseconds kEndReportTimeout{1000};
/** Added to the waiting time of a placement request, for the network round
 * trip. */
constexpr milliseconds kPlacementRoundTrip{200};
/** A dispatcher is expected to answer within this time after a start or after
 * the last answer of the previous one: hosts join within 0.5 s, and a new
 * dispatcher warms up for 0.35 s.
 */
constexpr milliseconds kDiscoveryTimeout{1500};
/** The same after a start of this host. When all hosts of a large fleet start
 * at once, the members are known only after seconds. Callers return meanwhile,
 * and those who find a part of their limit too small would be refused for good.
 */
constexpr milliseconds kStartDiscoveryTimeout{4000};
/** Fraction of a limit that hosts admit while they have no dispatcher. */
constexpr double kLocalShare = 0.5;
/** A replaced dispatcher goes on deciding for this long, because hosts learn of
 * the new view at different times. */
constexpr std::chrono::seconds kDispatcherHandoverTime{3};
/** The same once it has seen the new one decide: two that decide for long each
 * grant the whole limit to their part of the hosts. */
constexpr milliseconds kSettledHandoverTime{1000};
/** A dispatcher that was paused for this long may have been replaced: its
 * membership of 2 s was renewed up to 0.67 s before the pause. */
constexpr milliseconds kMaxPause{1300};
/** A dispatcher that was paused decides again after this time unless it has
 * learned by then that it was replaced. */
constexpr milliseconds kPauseRecovery{1500};
/** Hosts are told regularly which limits have this fraction of their burst or
 * more in use. */
constexpr double kReportedUsageShare = 0.125;
/** Validity of the request counts that a dispatcher has sent, and how often a
 * host asks for them: a row for each server in each report of each host would
 * be most of what the dispatcher sends. */
constexpr std::chrono::seconds kCountsTtl{2};
constexpr milliseconds kCountsInterval{1000};
/** Most servers whose counts a host gets. With 3,000 servers, their counts for
 * 150 hosts in the other region filled a link of 150 Mbit/s. */
constexpr std::size_t kMaxCountRows = 200;
/** Validity of a host's report of waiting tokens. It exceeds the time until the
 * partitions of a lost host are loaded and counted by others: the lifetime of a
 * membership and one renewal. */
constexpr std::chrono::seconds kWaitingTtl{4};
/** Backoff for a server that this host could not reach. */
constexpr milliseconds kUnreachableBackoff{500};

}  // namespace

placement_service::placement_service(host_state& host, std::uint64_t seed)
    : host_(host),
      dispatcher_(PolicyFor(host.options.features), seed),
      local_(kLocalShare, seed + 1),
      next_ticket_(seed),
      dispatcher_found_(host.io) {
  ExpectDispatcher(clock::now() + kStartDiscoveryTimeout);
}

placement_service::~placement_service() = default;

auto placement_service::Start() -> void {
  asio::co_spawn(host_.io, RunTicker(), AbortOnException);
  asio::co_spawn(host_.io, RunReports(), AbortOnException);
}

auto placement_service::ExpectDispatcher(time_point until) -> void {
  discovery_deadline_ = until;
  local_.ExpectDispatcher(until);
}

auto placement_service::NewTicket() -> ticket_id {
  return ticket_id(next_ticket_++);
}

auto placement_service::RateOf(const workspace_id& workspace) const
    -> limit_rate {
  const auto* rule = host_.deployment == nullptr
                         ? nullptr
                         : host_.deployment->FindWorkspace(workspace);
  return rule == nullptr ? limit_rate()
                         : limit_rate{rule->rate_per_s, rule->burst};
}

auto placement_service::LocationOf(const data_centre_id& data_centre) const
    -> host_location {
  const auto found = host_.options.data_centres.find(data_centre);
  return {data_centre, found == host_.options.data_centres.end()
                           ? region_id()
                           : found->second};
}

auto placement_service::HasDispatcher() const -> bool {
  return !active_.name.empty() &&
         (active_.address.empty() || clock::now() < active_.valid_until);
}

auto placement_service::Place(placement_request request)
    -> asio::awaitable<placement_answer> {
  request.host = host_id(host_.self.name);
  std::optional<placement_answer> answer;
  if (dispatcher_.IsQuarantined(request, clock::now())) {
    answer = placement_answer{.verdict = placement_verdict::kQuarantined,
                              .server = {},
                              .retry_at = request.latest_start};
  }
  while (!answer) {
    if (HasDispatcher()) {
      const auto to = active_;
      if (to.address.empty()) {
        answer = co_await PlaceAsDispatcher(request);
      } else {
        answer = co_await PlaceAtDispatcher(request, to.address);
      }
    }
    if (answer && answer->verdict != placement_verdict::kNotReady) {
      break;
    }
    answer = PlaceWithoutDispatcher(request);
    const auto wait_until = std::min(discovery_deadline_, request.latest_start);
    if (answer->verdict == placement_verdict::kOverLimit && request.is_retry &&
        clock::now() < wait_until) {
      // Only this host's share of the limit is exhausted, and a second refusal
      // would end the request: wait for the dispatcher, which is expected soon.
      answer.reset();
      co_await dispatcher_found_.Wait(
          std::min(wait_until, clock::now() + kDiscoveryInterval));
    }
  }
  if (answer->verdict == placement_verdict::kGranted) {
    held_[request.ticket] = {answer->server, request.work, {}};
    local_.RecordRunStart(answer->server, request.work);
    const auto rate = RateOf(request.workspace);
    if (request.takes_token && rate.per_s > 0) {
      usage_.RecordGrant(request.workspace, rate, answer->decided_by,
                         clock::now());
    }
  }
  co_return *answer;
}

auto placement_service::PlaceWithoutDispatcher(const placement_request& request)
    -> placement_answer {
  const auto now = clock::now();
  // What is in use beyond the refill is not granted a second time.
  auto rate = RateOf(request.workspace);
  rate.burst -= usage_.Used(request.workspace, now);
  return local_.RequestSlot(request, rate, now);
}

auto placement_service::PlaceAtDispatcher(const placement_request& request,
                                          const std::string& address)
    -> asio::awaitable<std::optional<placement_answer>> {
  const auto link = host_.links.Get(address);
  if (link == nullptr) {
    co_return std::nullopt;
  }
  const auto now = clock::now();
  auto message = MakeMessage(EncodePlacementRequest(request, now));
  auto reply = co_await link->Call(std::move(message),
                                   request.latest_start + kPlacementRoundTrip);
  const auto* placed = reply ? reply->Asplace_reply() : nullptr;
  if (placed == nullptr) {
    // If a slot was granted, the next report of held slots releases it.
    if (active_.address == address) {
      active_.valid_until = clock::now();
    }
    co_return std::nullopt;
  }
  placement_answer answer;
  answer.verdict = static_cast<placement_verdict>(placed->verdict);
  answer.server = server_id(placed->server);
  answer.waiting = placed->waiting;
  answer.free = placed->free;
  const auto answered = clock::now();
  answer.retry_at = answered + microseconds(placed->retry_after_us);
  answer.decided_by = dispatcher_term(placed->term);
  const auto rate = RateOf(request.workspace);
  if (request.takes_token && rate.per_s > 0 &&
      answer.verdict != placement_verdict::kNotReady) {
    usage_.RecordUsage({.workspace = request.workspace,
                        .rate = rate,
                        .used = placed->used,
                        .at = answered,
                        .source = answer.decided_by});
  }
  co_return answer;
}

auto placement_service::PlaceAsDispatcher(placement_request request)
    -> asio::awaitable<placement_answer> {
  const std::pair key(request.host, request.ticket);
  const auto limit = request.latest_start + kPlacementRoundTrip;
  const auto rate = RateOf(request.workspace);
  CheckForPause(clock::now());
  if (IsIsolated(clock::now())) {
    co_return placement_answer{.verdict = placement_verdict::kNotReady,
                               .server = {},
                               .retry_at = clock::now()};
  }
  auto wait = std::make_shared<waiter>(asio::steady_timer(host_.io, limit));
  waiters_[key] = wait;
  dispatcher_.RequestSlot(std::move(request), rate, clock::now());
  DeliverAnswers();
  if (!wait->answer) {
    co_await wait->timer.async_wait(kAwait);
  }
  waiters_.erase(key);
  if (wait->answer) {
    wait->answer->decided_by = dispatcher_.Term();
    co_return *wait->answer;
  }
  placement_answer none;
  none.verdict = placement_verdict::kNoCapacity;
  none.retry_at = clock::now();
  co_return none;
}

auto placement_service::DeliverAnswers() -> void {
  for (auto& notice : dispatcher_.DrainNotices()) {
    const auto found = waiters_.find({notice.host, notice.ticket});
    if (found == waiters_.end()) {
      if (notice.answer.verdict == placement_verdict::kGranted) {
        dispatcher_.End(notice.host, {notice.ticket, run_outcome::kUnused},
                        clock::now());
      }
      continue;
    }
    found->second->answer = std::move(notice.answer);
    found->second->timer.cancel();
  }
  SendPreemptions();
}

auto placement_service::SendPreemptions() -> void {
  std::map<host_id, wire::preempt_requestT> by_host;
  for (const auto& run : dispatcher_.DrainPreemptions()) {
    by_host[run.host].tickets.push_back(run.ticket.value);
  }
  for (auto& [host, request] : by_host) {
    if (host.value == host_.self.name) {
      HandlePreempt(request);
      continue;
    }
    const auto member = ParseMember(host.value);
    const auto link =
        member ? host_.links.Get(host_.LinkAddressOf(*member)) : nullptr;
    if (link != nullptr) {
      auto call = [](std::shared_ptr<link_client> to,
                     wire_message message) -> asio::awaitable<void> {
        auto sent = co_await to->Call(std::move(message),
                                      clock::now() + kEndReportTimeout);
        if (!sent) {
          Log(log_level::kWarning, log_category::kRoute,
              {"preemption not delivered: " + sent.error().message, "preempt",
               sent.error().peer});
        }
      };
      asio::co_spawn(host_.io, call(link, MakeMessage(std::move(request))),
                     LogException);
    }
  }
}

auto placement_service::Withdraw(ticket_id ticket) -> void {
  if (active_.address.empty()) {
    dispatcher_.Withdraw(host_id(host_.self.name), ticket);
    DeliverAnswers();
    return;
  }
  withdrawn_.push_back(ticket);
  if (!flushing_) {
    flushing_ = true;
    asio::co_spawn(host_.io, FlushEnds(), LogException);
  }
}

auto placement_service::End(const run_end_report& end) -> void {
  const auto found = held_.find(end.ticket);
  if (found == held_.end()) {
    return;
  }
  const auto [server, work, preempt] = std::move(found->second);
  held_.erase(found);
  local_.RecordRunEnd(server, work);
  if (end.outcome == run_outcome::kUnreachable || end.may_have_crashed) {
    RecordUnreachable(server);
  }
  if (end.outcome == run_outcome::kUnreachable) {
    local_.Pause(server, clock::now() + kUnreachableBackoff);
  }
  QueueEnd(end);
}

auto placement_service::QueueEnd(const run_end_report& end) -> void {
  if (active_.address.empty()) {
    dispatcher_.End(host_id(host_.self.name), end, clock::now());
    DeliverAnswers();
    return;
  }
  ends_.push_back(end);
  if (!flushing_) {
    flushing_ = true;
    asio::co_spawn(host_.io, FlushEnds(), LogException);
  }
}

auto placement_service::FlushEnds() -> asio::awaitable<void> {
  co_await Sleep(kEndDelay);
  flushing_ = false;
  wire::ends_requestT request;
  request.host = host_.self.name;
  for (const auto& end : std::exchange(ends_, {})) {
    request.ends.push_back(EncodeRunEnd(end));
  }
  for (const auto& ticket : std::exchange(withdrawn_, {})) {
    request.withdrawn.push_back(ticket.value);
  }
  if (!HasDispatcher()) {
    co_return;
  }
  const auto link = host_.links.Get(active_.address);
  if (link == nullptr) {
    co_return;
  }
  // The next report of held slots makes up for a lost message.
  auto message = MakeMessage(std::move(request));
  auto sent =
      co_await link->Call(std::move(message), clock::now() + kEndReportTimeout);
  if (!sent) {
    Log(log_level::kDebug, log_category::kRoute,
        {"ends of runs not reported to the dispatcher: " + sent.error().message,
         "end runs", sent.error().peer});
  }
}

auto placement_service::OnPreempt(ticket_id ticket, std::function<void()> abort)
    -> void {
  const auto found = held_.find(ticket);
  if (found != held_.end()) {
    found->second.preempt = std::move(abort);
  }
}

auto placement_service::ServersChanged() -> void {
  std::vector<registered_server> servers;
  for (const auto& [id, server] : host_.servers) {
    auto& added = servers.emplace_back(server);
    added.leaving =
        server.leaving || host_.evacuations.Contains(server.data_centre);
  }
  ForgetLoads();
  std::erase_if(rejected_cold_times_, [this](const auto& server) {
    return !host_.servers.contains(server);
  });
  dispatcher_.SetServers(servers, host_.options.data_centres);
  local_.SetServers(std::move(servers), host_.options.data_centres);
  dispatcher_.Advance(clock::now());
  DeliverAnswers();
}

auto placement_service::ViewChanged() -> void {
  const auto now = clock::now();
  local_.SetHostCount(host_.view.members.size());
  const auto* chosen = DispatcherOf(host_.view, host_.options.data_centres);
  const bool is_self = chosen != nullptr && chosen->name == host_.self.name;
  if (is_self && !is_dispatcher_) {
    RememberOwnUsage(now);
    resumed_at_.reset();
    dispatcher_.Start(now);
    quota_.Clear();
  }
  if (is_self) {
    decides_until_ = time_point::max();
  } else if (is_dispatcher_) {
    decides_until_ = now + kDispatcherHandoverTime;
    // The others have had another dispatcher since before this change.
    if (!dispatcher_.IsReady(now) || IsIsolated(now)) {
      dispatcher_.Stop();
    }
  }
  is_dispatcher_ = is_self;
  const auto name = chosen == nullptr ? std::string() : chosen->name;
  if (candidate_.name != name) {
    candidate_ = {name,
                  is_self || chosen == nullptr ? std::string()
                                               : host_.LinkAddressOf(*chosen),
                  time_point()};
    Log(log_level::kInfo, log_category::kRoute,
        {"dispatcher chosen from generation " +
             std::to_string(host_.view.generation) + " of the members",
         "choose dispatcher", name});
  }
}

auto placement_service::LogQuarantine(time_point now) -> void {
  const auto entries = dispatcher_.Quarantine(now);
  quarantine_log current;
  for (const auto& entry : entries.parts) {
    current.parts.insert(entry.part);
    if (!logged_quarantine_.parts.contains(entry.part)) {
      LogEvent(log_level::kWarning, log_category::kRoute, "prompt_quarantined",
               {{"part", entry.part.value},
                {"dispatcher", is_dispatcher_},
                {"ms", MicrosUntil(entry.until, now) / 1000}});
    }
  }
  for (const auto& entry : entries.requests) {
    current.requests.insert(entry.content);
    if (!logged_quarantine_.requests.contains(entry.content)) {
      LogEvent(log_level::kWarning, log_category::kRoute, "request_quarantined",
               {{"content", entry.content.value},
                {"dispatcher", is_dispatcher_},
                {"ms", MicrosUntil(entry.until, now) / 1000}});
    }
  }
  for (const auto part : logged_quarantine_.parts) {
    if (!current.parts.contains(part)) {
      LogEvent(log_level::kInfo, log_category::kRoute, "prompt_released",
               {{"part", part.value}});
    }
  }
  for (const auto content : logged_quarantine_.requests) {
    if (!current.requests.contains(content)) {
      LogEvent(log_level::kInfo, log_category::kRoute, "request_released",
               {{"content", content.value}});
    }
  }
  logged_quarantine_ = std::move(current);
}

auto placement_service::RunTicker() -> asio::awaitable<void> {
  while (true) {
    const auto now = clock::now();
    CheckForPause(now);
    last_tick_ = now;
    if (now >= decides_until_ && dispatcher_.IsReady(now)) {
      dispatcher_.Stop();
    }
    dispatcher_.Advance(now);
    DeliverAnswers();
    LogQuarantine(now);
    LogColdServers(now);
    LogSpeeds();
    const bool is_busy = dispatcher_.WaitingCount(work_class::kOnline) > 0 ||
                         dispatcher_.WaitingCount(work_class::kBatch) > 0;
    co_await Sleep(is_busy ? kBusyTick : kIdleTick);
  }
}

auto placement_service::HeldSlots() const -> std::vector<held_slot> {
  std::vector<held_slot> list;
  for (const auto& [ticket, slot] : held_) {
    list.push_back({ticket, slot.server, slot.work});
  }
  return list;
}

auto placement_service::CheckForPause(time_point now) -> void {
  const bool was_paused =
      last_tick_ != time_point() && now - last_tick_ > kMaxPause;
  if (was_paused && now < decides_until_ && dispatcher_.IsReady(now)) {
    last_tick_ = now;
    resumed_at_ = now;
    dispatcher_.Suspend(now + kPauseRecovery);
    ExpectDispatcher(now + kPauseRecovery);
    Log(log_level::kWarning, log_category::kRoute,
        {"paused; another dispatcher may have taken over", "choose dispatcher",
         host_.self.name});
  }
  const auto renewed_at = host_.member_until - host_.options.member_life;
  if (resumed_at_ && renewed_at > *resumed_at_ &&
      host_.view_confirmed > renewed_at) {
    resumed_at_.reset();
    if (is_dispatcher_ && !dispatcher_.IsReady(now)) {
      dispatcher_.Suspend(now);
    }
  }
}

auto placement_service::IsIsolated(time_point now) const -> bool {
  return host_.view.members.size() > 1 && now - last_report_ > kDispatcherTtl;
}

auto placement_service::RememberOwnUsage(time_point now) -> void {
  for (const auto& row : dispatcher_.Usage(0, now)) {
    usage_.RecordUsage(row);
  }
}

auto placement_service::MakeUsageReport(const std::string& target,
                                        time_point now) -> usage_report {
  if (target != host_.self.name && now < decides_until_ &&
      dispatcher_.IsReady(now)) {
    RememberOwnUsage(now);
  }
  return usage_.MakeReport(target, now);
}

auto placement_service::ReportHeld(target to) -> asio::awaitable<void> {
  const auto now = clock::now();
  const auto reported_until = usage_.ReportedUntil(to.name);
  const auto usage = MakeUsageReport(to.name, now);
  wire::held_replyT reply;
  if (to.address.empty()) {
    dispatcher_.ReconcileHeldSlots(host_id(host_.self.name), HeldSlots(), now);
    dispatcher_.RecordReportedLoads(ReportedLoads(now), now);
    dispatcher_.RecordUsage(usage, now);
    dispatcher_.RecordColdReports(ColdReports(now), now);
    reply.term = dispatcher_.Term().value;
    quota_.Report(host_id(host_.self.name), host_.batch->WaitingReport(),
                  now + kWaitingTtl);
    reply.ready = dispatcher_.IsReady(now) && !IsIsolated(now);
  } else {
    wire::held_requestT request;
    request.host = host_.self.name;
    for (const auto& slot : HeldSlots()) {
      auto entry = std::make_unique<wire::ticket_heldT>();
      entry->ticket = slot.ticket.value;
      entry->server = slot.server.value;
      entry->batch = slot.work == work_class::kBatch;
      request.held.push_back(std::move(entry));
    }
    request.told = EncodeCounts(ReportedLoads(now));
    request.wants_loads = now >= counts_due_;
    const auto waiting = host_.batch->WaitingReport();
    request.last_grant = waiting.last_grant;
    for (const auto& row : waiting.rows) {
      auto entry = std::make_unique<wire::waiting_rowT>();
      entry->workspace = row.key.workspace.value;
      entry->route = row.key.route.value;
      entry->tokens = row.tokens;
      request.waiting.push_back(std::move(entry));
    }
    EncodeQuarantine(dispatcher_.Quarantine(now), now, request);
    EncodeUsageReport(usage, now, request);
    EncodeColdReports(ColdReports(now), now, request);
    for (const auto& id : host_.registrations->AnnouncedLeaving()) {
      request.leaving.push_back(id.value);
    }
    const auto link = host_.links.Get(to.address);
    if (link == nullptr) {
      usage_.RecordNoReply(to.name, reported_until);
      co_return;
    }
    auto message = MakeMessage(std::move(request));
    auto answer = co_await link->Call(std::move(message), now + kReportTimeout);
    auto* held = answer ? answer->Asheld_reply() : nullptr;
    if (held == nullptr) {
      usage_.RecordNoReply(to.name, reported_until);
      co_return;
    }
    reply = std::move(*held);
  }
  const auto answered = clock::now();
  if (reply.has_loads) {
    const auto counts = DecodeCounts(reply.loads);
    local_.SetCounts(counts, answered + kCountsTtl);
    if (!dispatcher_.IsReady(answered)) {
      dispatcher_.AdoptSpeeds(counts, answered);
    }
    counts_due_ = now + kCountsInterval;
  }
  const dispatcher_term term(reply.term);
  usage_.RecordReply(to.name, term, reply.ready, answered);
  if (!reply.ready) {
    co_return;
  }
  for (const auto& row : reply.usage) {
    const workspace_id workspace(row->workspace);
    const auto rate = RateOf(workspace);
    if (rate.per_s > 0) {
      usage_.RecordUsage({.workspace = workspace,
                          .rate = rate,
                          .used = row->used,
                          .at = answered - microseconds(row->age_us),
                          .source = term});
    }
  }
  if (!to.address.empty()) {
    dispatcher_.ReplaceQuarantine(DecodeQuarantine(reply, answered), answered);
  }
  if (candidate_.name == to.name && active_.name != to.name) {
    Log(log_level::kInfo, log_category::kRoute,
        {"placement requests go to a new dispatcher", "choose dispatcher",
         to.name});
    active_ = candidate_;
    if (!is_dispatcher_) {
      decides_until_ =
          std::min(decides_until_, answered + kSettledHandoverTime);
    }
  }
  if (active_.name == to.name) {
    active_.valid_until = answered + kDispatcherTtl;
    ExpectDispatcher(answered + kDiscoveryTimeout);
    dispatcher_found_.Notify();
  }
}

auto placement_service::RunReports() -> asio::awaitable<void> {
  while (true) {
    const bool had_dispatcher = HasDispatcher();
    if (!candidate_.name.empty()) {
      asio::co_spawn(host_.io, ReportHeld(candidate_), LogException);
    }
    if (!active_.name.empty() && active_.name != candidate_.name) {
      asio::co_spawn(host_.io, ReportHeld(active_), LogException);
    }
    co_await Sleep(had_dispatcher ? kHeldReportInterval : kDiscoveryInterval);
    if (had_dispatcher && !HasDispatcher()) {
      Log(log_level::kWarning, log_category::kRoute,
          {"dispatcher does not answer; placing requests without it",
           "report slots", active_.name});
    }
  }
}

auto placement_service::HandlePlace(const wire::place_requestT& message)
    -> asio::awaitable<wire_message> {
  auto request = DecodePlacementRequest(message, clock::now());
  auto answer = co_await PlaceAsDispatcher(std::move(request));
  wire::place_replyT reply;
  reply.verdict = static_cast<std::uint8_t>(answer.verdict);
  reply.server = answer.server.value;
  reply.waiting = answer.waiting;
  reply.free = answer.free;
  const auto now = clock::now();
  reply.retry_after_us = MicrosUntil(answer.retry_at, now);
  reply.term = answer.decided_by.value;
  reply.used = dispatcher_.UsedTokens(workspace_id(message.workspace), now);
  co_return MakeMessage(std::move(reply));
}

auto placement_service::HandleEnds(const wire::ends_requestT& request) -> void {
  const auto now = clock::now();
  const host_id host(request.host);
  for (const auto& end : request.ends) {
    dispatcher_.End(host, DecodeRunEnd(*end), now);
  }
  for (const auto ticket : request.withdrawn) {
    dispatcher_.Withdraw(host, ticket_id(ticket));
  }
  DeliverAnswers();
}

auto placement_service::HandleHeld(const wire::held_requestT& request)
    -> wire::held_replyT {
  const auto now = clock::now();
  CheckForPause(now);
  last_report_ = now;
  std::vector<held_slot> held;
  for (const auto& entry : request.held) {
    held.push_back({ticket_id(entry->ticket), server_id(entry->server),
                    entry->batch ? work_class::kBatch : work_class::kOnline});
  }
  for (const auto& id : request.leaving) {
    host_.registrations->RecordLeaving(server_id(id));
  }
  dispatcher_.MergeQuarantine(DecodeQuarantine(request, now), now);
  dispatcher_.ReconcileHeldSlots(host_id(request.host), held, now);
  dispatcher_.RecordReportedLoads(DecodeCounts(request.told), now);
  dispatcher_.RecordColdReports(DecodeColdReports(request, now), now);
  const auto rate_of = [this](const workspace_id& id) { return RateOf(id); };
  dispatcher_.RecordUsage(DecodeUsageReport(request, rate_of, now), now);
  waiting_report waiting{.rows = {}, .last_grant = request.last_grant};
  for (const auto& row : request.waiting) {
    waiting.rows.push_back(
        {{workspace_id(row->workspace), route_id(row->route)}, row->tokens});
  }
  quota_.Report(host_id(request.host), std::move(waiting), now + kWaitingTtl);
  wire::held_replyT reply;
  reply.ready = dispatcher_.IsReady(now);
  reply.term = dispatcher_.Term().value;
  EncodeQuarantine(dispatcher_.Quarantine(now), now, reply);
  if (reply.ready) {
    for (const auto& usage : dispatcher_.Usage(kReportedUsageShare, now)) {
      auto row = std::make_unique<wire::limit_usage_rowT>();
      row->workspace = usage.workspace.value;
      row->used = usage.used;
      reply.usage.push_back(std::move(row));
    }
  }
  if (request.wants_loads) {
    const auto member = ParseMember(request.host);
    const auto place =
        member ? LocationOf(member->data_centre) : host_location();
    reply.loads = EncodeCounts(dispatcher_.CountsNear(place, kMaxCountRows));
    reply.has_loads = true;
  }
  return reply;
}

auto placement_service::HandleQuota(const wire::quota_requestT& request)
    -> wire::quota_replyT {
  const auto now = clock::now();
  wire::quota_replyT reply;
  reply.ready = dispatcher_.IsReady(now);
  if (reply.ready) {
    const auto grant = quota_.Request(
        host_id(request.host),
        {workspace_id(request.workspace), route_id(request.route)},
        request.tokens, request.limit, now);
    reply.granted = grant.granted;
    reply.number = grant.number;
  }
  return reply;
}

auto placement_service::RequestQuota(const batch_quota_key& key,
                                     std::uint64_t tokens,
                                     std::uint64_t limit)
    -> asio::awaitable<std::optional<batch_grant>> {
  if (!HasDispatcher()) {
    co_return std::nullopt;
  }
  wire::quota_requestT request;
  request.host = host_.self.name;
  request.workspace = key.workspace.value;
  request.route = key.route.value;
  request.tokens = tokens;
  request.limit = limit;
  wire::quota_replyT reply;
  if (active_.address.empty()) {
    reply = HandleQuota(request);
  } else {
    const auto link = host_.links.Get(active_.address);
    if (link == nullptr) {
      co_return std::nullopt;
    }
    auto message = MakeMessage(std::move(request));
    auto answer =
        co_await link->Call(std::move(message), clock::now() + kReportTimeout);
    const auto* told = answer ? answer->Asquota_reply() : nullptr;
    if (told == nullptr) {
      co_return std::nullopt;
    }
    reply = *told;
  }
  if (!reply.ready) {
    co_return std::nullopt;
  }
  co_return batch_grant{.granted = reply.granted, .number = reply.number};
}

auto placement_service::HandlePreempt(const wire::preempt_requestT& request)
    -> void {
  for (const auto value : request.tickets) {
    const auto found = held_.find(ticket_id(value));
    if (found != held_.end() && found->second.preempt) {
      found->second.preempt();
    }
  }
}

}  // namespace dogwood
