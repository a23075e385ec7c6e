#include "src/hostd_placement.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "src/hostd_base.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Period of the dispatcher's clock while asks wait, and while none do. */
constexpr milliseconds kBusyTick{20};
constexpr milliseconds kIdleTick{200};
/** Period of a host's reports to the dispatcher. A dispatcher that has not
 * answered one for kGoodLife is not asked. */
constexpr milliseconds kReportPeriod{250};
constexpr milliseconds kReportLimit{350};
/** The same while this host has no dispatcher. */
constexpr milliseconds kSeekPeriod{80};
constexpr milliseconds kGoodLife{700};
/** Ends of runs that come within this time go out as one message. */
constexpr milliseconds kEndDelay{1};
constexpr milliseconds kEndLimit{1000};
/** Added to the time an ask may wait, for the way there and back. */
constexpr milliseconds kAskTravel{200};
/** A dispatcher is expected within this time after a start, or after the last
 * one was heard of: hosts join within 0.5 s and a new one warms up for 0.35 s.
 */
constexpr milliseconds kSeekLimit{1500};
/** Part of a limit that hosts admit while they have no dispatcher. */
constexpr double kLocalShare = 0.5;
/** A dispatcher goes on deciding this long after the view names another one,
 * which hosts learn at different times. */
constexpr std::chrono::seconds kHandOver{3};
/** Counts from the dispatcher are used this long. */
constexpr std::chrono::seconds kCountsLife{2};
/** A server that this host could not reach is left alone for this long. */
constexpr milliseconds kLocalPause{500};

/** Microseconds from `now` to `at`. */
auto MicrosUntil(time_point at, time_point now) -> std::int64_t {
  return std::chrono::duration_cast<microseconds>(at - now).count();
}

/** Message that carries an ask. */
auto EncodeAsk(const placement_request& ask, time_point now)
    -> wire::place_requestT {
  wire::place_requestT request;
  request.host = ask.host.value;
  request.ticket = ask.ticket.value;
  request.service = ask.service.value;
  request.workspace = ask.workspace.value;
  request.batch = ask.work == work_class::kBatch;
  request.priority = ask.priority;
  request.takes_token = ask.takes_token;
  request.returning = ask.is_retry;
  request.data_centre = ask.place.data_centre.value;
  request.region = ask.place.region.value;
  request.start_by_us = MicrosUntil(ask.latest_on_time_start, now);
  request.useless_after_us = MicrosUntil(ask.latest_start, now);
  for (const auto& server : ask.avoided) {
    request.avoided.push_back(server.value);
  }
  return request;
}

/** Reverses EncodeAsk(). */
auto DecodeAsk(const wire::place_requestT& request, time_point now)
    -> placement_request {
  placement_request ask{
      .host = host_id(request.host),
      .ticket = ticket_id(request.ticket),
      .service = service_id(request.service),
      .workspace = workspace_id(request.workspace),
      .work = request.batch ? work_class::kBatch : work_class::kOnline,
      .priority = request.priority,
      .takes_token = request.takes_token,
      .is_retry = request.returning,
      .place = {data_centre_id(request.data_centre), region_id(request.region)},
      .latest_on_time_start = now + microseconds(request.start_by_us),
      .latest_start = now + microseconds(request.useless_after_us),
      .avoided = {}};
  for (const auto& server : request.avoided) {
    ask.avoided.emplace_back(server);
  }
  return ask;
}

/** Requests on servers, as messages carry them. */
using wire_counts = std::vector<std::unique_ptr<wire::server_loadT>>;

auto EncodeCounts(const std::vector<server_count>& counts) -> wire_counts {
  wire_counts loads;
  for (const auto& count : counts) {
    auto load = std::make_unique<wire::server_loadT>();
    load->server = count.server.value;
    load->in_flight = count.count;
    loads.push_back(std::move(load));
  }
  return loads;
}

auto DecodeCounts(const wire_counts& loads) -> std::vector<server_count> {
  std::vector<server_count> counts;
  for (const auto& load : loads) {
    counts.push_back({server_id(load->server), load->in_flight});
  }
  return counts;
}

}  // namespace

placement_service::placement_service(host_state& host, std::uint64_t seed)
    : host_(host),
      dispatcher_(dispatch_policy(), seed),
      local_(kLocalShare, seed + 1),
      next_ticket_(seed),
      dispatcher_found_(host.io) {
  ExpectDispatcher(clock::now() + kSeekLimit);
}

placement_service::~placement_service() = default;

auto placement_service::Start() -> void {
  asio::co_spawn(host_.io, RunTicker(), AbortOnException);
  asio::co_spawn(host_.io, RunReports(), AbortOnException);
}

auto placement_service::ExpectDispatcher(time_point until) -> void {
  sought_until_ = until;
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

auto placement_service::HasDispatcher() const -> bool {
  return !active_.name.empty() &&
         (active_.address.empty() || clock::now() < active_.good_until);
}

auto placement_service::Place(placement_request ask)
    -> asio::awaitable<placement_answer> {
  ask.host = host_id(host_.self.name);
  std::optional<placement_answer> answer;
  while (!answer) {
    if (HasDispatcher()) {
      const auto to = active_;
      if (to.address.empty()) {
        answer = co_await AskHere(ask);
      } else {
        answer = co_await AskThere(ask, to.address);
      }
    }
    if (answer && answer->verdict != placement_verdict::kNotReady) {
      break;
    }
    answer = AskLocal(ask);
    const auto wait_until = std::min(sought_until_, ask.latest_start);
    if (answer->verdict == placement_verdict::kOverLimit && ask.is_retry &&
        clock::now() < wait_until) {
      // Only this host's part of the limit is used up, and a second refusal
      // would end the request: the dispatcher, which is expected soon, decides.
      answer.reset();
      co_await dispatcher_found_.Wait(
          std::min(wait_until, clock::now() + kSeekPeriod));
    }
  }
  if (answer->verdict == placement_verdict::kGranted) {
    held_[ask.ticket] = {answer->server, ask.work, {}};
    local_.RecordRunStart(answer->server, ask.work);
  }
  co_return *answer;
}

auto placement_service::AskLocal(const placement_request& ask)
    -> placement_answer {
  return local_.Ask(ask, RateOf(ask.workspace), clock::now());
}

auto placement_service::AskThere(const placement_request& ask,
                                 const std::string& address)
    -> asio::awaitable<std::optional<placement_answer>> {
  const auto link = host_.links.Get(address);
  if (link == nullptr) {
    co_return std::nullopt;
  }
  const auto now = clock::now();
  auto message = MakeMessage(EncodeAsk(ask, now));
  auto reply =
      co_await link->Call(std::move(message), ask.latest_start + kAskTravel);
  const auto* placed = reply ? reply->Asplace_reply() : nullptr;
  if (placed == nullptr) {
    // Whatever was granted is found by the next report of held slots.
    if (active_.address == address) {
      active_.good_until = clock::now();
    }
    co_return std::nullopt;
  }
  placement_answer answer;
  answer.verdict = static_cast<placement_verdict>(placed->verdict);
  answer.server = server_id(placed->server);
  answer.waiting = placed->waiting;
  answer.free = placed->free;
  answer.retry_at = clock::now() + microseconds(placed->retry_after_us);
  co_return answer;
}

auto placement_service::AskHere(placement_request ask)
    -> asio::awaitable<placement_answer> {
  const std::pair key(ask.host, ask.ticket);
  const auto limit = ask.latest_start + kAskTravel;
  const auto rate = RateOf(ask.workspace);
  auto wait = std::make_shared<waiter>(asio::steady_timer(host_.io, limit));
  waiters_[key] = wait;
  dispatcher_.Ask(std::move(ask), rate, clock::now());
  Deliver();
  if (!wait->answer) {
    co_await wait->timer.async_wait(kAwait);
  }
  waiters_.erase(key);
  if (wait->answer) {
    co_return *wait->answer;
  }
  placement_answer none;
  none.verdict = placement_verdict::kNoCapacity;
  none.retry_at = clock::now();
  co_return none;
}

auto placement_service::Deliver() -> void {
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
    const auto link = member ? host_.links.Get(host_.LinkOf(*member)) : nullptr;
    if (link != nullptr) {
      auto call = [](std::shared_ptr<link_client> to,
                     wire_message message) -> asio::awaitable<void> {
        auto sent =
            co_await to->Call(std::move(message), clock::now() + kEndLimit);
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
    Deliver();
    return;
  }
  withdrawn_.push_back(ticket);
  if (!flushing_) {
    flushing_ = true;
    asio::co_spawn(host_.io, FlushEnds(), LogException);
  }
}

auto placement_service::End(ticket_id ticket, run_outcome outcome) -> void {
  const auto found = held_.find(ticket);
  if (found == held_.end()) {
    return;
  }
  const auto [server, work, preempt] = std::move(found->second);
  held_.erase(found);
  local_.RecordRunEnd(server, work);
  if (outcome == run_outcome::kUnreachable) {
    local_.Pause(server, clock::now() + kLocalPause);
  }
  QueueEnd({ticket, outcome});
}

auto placement_service::QueueEnd(const run_end_report& end) -> void {
  if (active_.address.empty()) {
    dispatcher_.End(host_id(host_.self.name), end, clock::now());
    Deliver();
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
    auto entry = std::make_unique<wire::ticket_endT>();
    entry->ticket = end.ticket.value;
    entry->outcome = static_cast<std::uint8_t>(end.outcome);
    request.ends.push_back(std::move(entry));
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
  // A lost message is made good by the next report of held slots.
  auto message = MakeMessage(std::move(request));
  auto sent = co_await link->Call(std::move(message), clock::now() + kEndLimit);
  if (!sent) {
    Log(log_level::kDebug, log_category::kRoute,
        {"ends of runs not delivered: " + sent.error().message, "end runs",
         sent.error().peer});
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
    servers.push_back(server);
  }
  std::erase_if(told_, [this](const auto& entry) {
    return !host_.servers.contains(entry.first);
  });
  dispatcher_.SetServers(servers, host_.options.data_centres);
  local_.SetServers(std::move(servers), host_.options.data_centres);
  dispatcher_.Advance(clock::now());
  Deliver();
}

auto placement_service::ViewChanged() -> void {
  const auto now = clock::now();
  local_.SetHostCount(host_.view.members.size());
  const auto* chosen = DispatcherOf(host_.view, host_.options.data_centres);
  const bool is_self = chosen != nullptr && chosen->name == host_.self.name;
  if (is_self && !is_dispatcher_) {
    dispatcher_.Start(now);
  }
  if (is_self) {
    decides_until_ = time_point::max();
  } else if (is_dispatcher_) {
    decides_until_ = now + kHandOver;
  }
  is_dispatcher_ = is_self;
  const auto name = chosen == nullptr ? std::string() : chosen->name;
  if (candidate_.name != name) {
    candidate_ = {
        name,
        is_self || chosen == nullptr ? std::string() : host_.LinkOf(*chosen),
        time_point()};
    Log(log_level::kInfo, log_category::kRoute,
        {"dispatcher by generation " + std::to_string(host_.view.generation) +
             " of the members",
         "choose dispatcher", name});
  }
}

auto placement_service::RunTicker() -> asio::awaitable<void> {
  while (true) {
    const auto now = clock::now();
    if (now >= decides_until_ && dispatcher_.IsReady(now)) {
      dispatcher_.Stop();
    }
    dispatcher_.Advance(now);
    Deliver();
    const bool is_busy = dispatcher_.WaitingCount(work_class::kOnline) > 0 ||
                         dispatcher_.WaitingCount(work_class::kBatch) > 0;
    co_await Sleep(is_busy ? kBusyTick : kIdleTick);
  }
}

auto placement_service::RecordLoad(const server_id& server,
                                   const reported_load& load) -> void {
  told_[server] = {load.running + load.waiting, clock::now()};
}

auto placement_service::ToldList(time_point now) const
    -> std::vector<server_count> {
  std::vector<server_count> list;
  for (const auto& [server, load] : told_) {
    if (now - load.told_at < kReportPeriod) {
      list.push_back({server, load.count});
    }
  }
  return list;
}

auto placement_service::HeldList() const -> std::vector<held_slot> {
  std::vector<held_slot> list;
  for (const auto& [ticket, slot] : held_) {
    list.push_back({ticket, slot.server, slot.work});
  }
  return list;
}

auto placement_service::ReportHeld(target to) -> asio::awaitable<void> {
  const auto now = clock::now();
  wire::held_replyT reply;
  if (to.address.empty()) {
    dispatcher_.ReconcileHeldSlots(host_id(host_.self.name), HeldList(), now);
    dispatcher_.RecordReportedLoads(ToldList(now), now);
    reply.ready = dispatcher_.IsReady(now);
  } else {
    wire::held_requestT request;
    request.host = host_.self.name;
    for (const auto& slot : HeldList()) {
      auto entry = std::make_unique<wire::ticket_heldT>();
      entry->ticket = slot.ticket.value;
      entry->server = slot.server.value;
      entry->batch = slot.work == work_class::kBatch;
      request.held.push_back(std::move(entry));
    }
    request.told = EncodeCounts(ToldList(now));
    const auto link = host_.links.Get(to.address);
    auto message = MakeMessage(std::move(request));
    auto answer = co_await link->Call(std::move(message), now + kReportLimit);
    auto* held = answer ? answer->Asheld_reply() : nullptr;
    if (held == nullptr) {
      co_return;
    }
    reply = std::move(*held);
  }
  const auto counts = DecodeCounts(reply.loads);
  const auto answered = clock::now();
  if (!counts.empty()) {
    local_.SetCounts(counts, answered + kCountsLife);
  }
  if (!reply.ready) {
    co_return;
  }
  if (candidate_.name == to.name && active_.name != to.name) {
    Log(log_level::kInfo, log_category::kRoute,
        {"asks go to a new dispatcher", "choose dispatcher", to.name});
    active_ = candidate_;
  }
  if (active_.name == to.name) {
    active_.good_until = answered + kGoodLife;
    ExpectDispatcher(answered + kSeekLimit);
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
    co_await Sleep(had_dispatcher ? kReportPeriod : kSeekPeriod);
    if (had_dispatcher && !HasDispatcher()) {
      Log(log_level::kWarning, log_category::kRoute,
          {"dispatcher does not answer; placing requests alone", "report slots",
           active_.name});
    }
  }
}

auto placement_service::HandlePlace(const wire::place_requestT& request)
    -> asio::awaitable<wire_message> {
  auto ask = DecodeAsk(request, clock::now());
  auto answer = co_await AskHere(std::move(ask));
  wire::place_replyT reply;
  reply.verdict = static_cast<std::uint8_t>(answer.verdict);
  reply.server = answer.server.value;
  reply.waiting = answer.waiting;
  reply.free = answer.free;
  reply.retry_after_us = MicrosUntil(answer.retry_at, clock::now());
  co_return MakeMessage(std::move(reply));
}

auto placement_service::HandleEnds(const wire::ends_requestT& request) -> void {
  const auto now = clock::now();
  const host_id host(request.host);
  for (const auto& end : request.ends) {
    dispatcher_.End(
        host, {ticket_id(end->ticket), static_cast<run_outcome>(end->outcome)},
        now);
  }
  for (const auto ticket : request.withdrawn) {
    dispatcher_.Withdraw(host, ticket_id(ticket));
  }
  Deliver();
}

auto placement_service::HandleHeld(const wire::held_requestT& request)
    -> wire::held_replyT {
  const auto now = clock::now();
  std::vector<held_slot> held;
  for (const auto& entry : request.held) {
    held.push_back({ticket_id(entry->ticket), server_id(entry->server),
                    entry->batch ? work_class::kBatch : work_class::kOnline});
  }
  dispatcher_.ReconcileHeldSlots(host_id(request.host), held, now);
  dispatcher_.RecordReportedLoads(DecodeCounts(request.told), now);
  wire::held_replyT reply;
  reply.ready = dispatcher_.IsReady(now);
  reply.loads = EncodeCounts(dispatcher_.Counts());
  return reply;
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
