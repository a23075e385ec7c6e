/** Tests of the dispatcher, partly by simulated load. */
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** A dispatcher that is ready at Begin(), with `count` servers. */
auto MakeReadyDispatcher(unsigned count, dispatch_policy policy = {})
    -> dispatcher {
  dispatcher d(policy, 7);
  d.SetServers(Servers(count), Regions());
  d.Start(Begin() - seconds(1));
  d.ReconcileHeldSlots(host_id("h"), {}, Begin());
  return d;
}

/** Sends a placement request; returns its answer if there is one at once. */
auto Place(dispatcher& d,
           const placement_request& request,
           time_point now,
           limit_rate rate = {}) -> std::optional<placement_answer> {
  d.RequestSlot(request, rate, now);
  for (const auto& notice : d.DrainNotices()) {
    if (notice.ticket == request.ticket && notice.host == request.host) {
      return notice.answer;
    }
  }
  return std::nullopt;
}

/** Whether there is an answer and it grants a slot. */
auto IsGranted(const std::optional<placement_answer>& answer) -> bool {
  return answer && answer->verdict == placement_verdict::kGranted;
}

/** Fills every slot of `count` servers; ticket numbers start at `first`. */
auto Fill(dispatcher& d, unsigned count, work_class work, std::uint64_t first)
    -> void {
  for (unsigned i = 0; i < count * kSlots; ++i) {
    cr_assert(
        IsGranted(Place(d, MakeRequest(first + i, work, Begin()), Begin())));
  }
}

/** A simulated run. */
struct simulated_run {
  server_id server;
  work_class work;
  time_point end;  ///< When it ends unless it is preempted.
};

/** Outcome of a simulation of online bursts over batch work. */
struct simulation_outcome {
  int online = 0;          ///< Online requests, without retries.
  int on_time = 0;         ///< Started before their objective.
  int refused_late = 0;    ///< Refused after they had waited 75 ms.
  int refused_twice = 0;   ///< Refused again on their retry.
  int late = 0;            ///< Started after their objective, not retried.
  int late_retries = 0;    ///< Retries started after their objective.
  int preempted = 0;       ///< Batch runs preempted for online requests.
  double batch_share = 0;  ///< Fraction of all slot time used by batch runs.
};

/** Behaviour of refused callers in a simulation. */
enum class refusal_behaviour : std::uint8_t {
  kDoesNotRetry,  ///< Accepts the refusal.
  kRetries,       ///< Retries once, at the time given in the refusal.
};

/** Simulates bursts of online requests: `low` a second for 3.4 s, then `high`
 * for 2.4 s, each with a run time of 0.8 s on average and at most `spread` more
 * or less, over unlimited batch work. */
auto SimulateBursts(
    int low,
    int high,
    int rounds,
    milliseconds spread = {},
    refusal_behaviour refused = refusal_behaviour::kDoesNotRetry)
    -> simulation_outcome {
  constexpr unsigned kServers = 18;
  constexpr milliseconds kTick{5};
  auto d = MakeReadyDispatcher(kServers);
  std::mt19937_64 random(5);
  simulation_outcome outcome;
  std::map<ticket_id, simulated_run> runs;
  std::map<ticket_id, time_point> requested_at;  // Time of each online request.
  std::set<ticket_id> retries;                   // Tickets of retries.
  std::multiset<time_point> retry_times;         // When refused callers retry.
  std::uint64_t ticket = 1;
  unsigned queued_batch = 0;
  const auto cycle = milliseconds(5800);
  const auto end = Begin() + rounds * cycle;
  double used = 0;
  double slots = 0;
  for (auto now = Begin(); now < end; now += kTick) {
    const bool is_high = (now - Begin()) % cycle >= milliseconds(3400);
    const double rate = is_high ? high : low;
    for (auto it = runs.begin(); it != runs.end();) {
      if (now >= it->second.end) {
        d.End(host_id("h"), {it->first, run_outcome::kComplete}, now);
        it = runs.erase(it);
      } else {
        ++it;
      }
    }
    std::vector<held_slot> held;
    for (const auto& [id, run] : runs) {
      held.push_back({id, run.server, run.work});
    }
    d.ReconcileHeldSlots(host_id("h"), held, now);
    std::poisson_distribution<int> arrivals(rate * 0.005);
    for (int i = arrivals(random); i > 0; --i) {
      const ticket_id id(ticket++);
      requested_at[id] = now;
      ++outcome.online;
      d.RequestSlot(MakeRequest(id.value, work_class::kOnline, now), {}, now);
    }
    while (!retry_times.empty() && *retry_times.begin() <= now) {
      retry_times.erase(retry_times.begin());
      auto again = MakeRequest(ticket++, work_class::kOnline, now);
      again.is_retry = true;
      again.latest_start = now + seconds(3);
      requested_at[again.ticket] = now;
      retries.insert(again.ticket);
      d.RequestSlot(again, {}, now);
    }
    for (; queued_batch < 8; ++queued_batch) {
      d.RequestSlot(MakeRequest(ticket++, work_class::kBatch, now), {}, now);
    }
    d.Advance(now);
    for (const auto& notice : d.DrainNotices()) {
      const auto found = requested_at.find(notice.ticket);
      const bool granted = notice.answer.verdict == placement_verdict::kGranted;
      if (found == requested_at.end()) {
        --queued_batch;
        if (granted) {
          runs[notice.ticket] = {notice.answer.server, work_class::kBatch,
                                 now + seconds(4)};
        }
        continue;
      }
      const auto waited = now - found->second;
      if (granted) {
        const bool is_on_time = waited <= milliseconds(200);
        const bool is_retry_request = retries.contains(notice.ticket);
        ++(is_on_time
               ? outcome.on_time
               : (is_retry_request ? outcome.late_retries : outcome.late));
        std::uniform_int_distribution<std::int64_t> run(-spread.count(),
                                                        spread.count());
        runs[notice.ticket] = {notice.answer.server, work_class::kOnline,
                               now + milliseconds(800 + run(random))};
      } else {
        outcome.refused_late += waited > milliseconds(75) ? 1 : 0;
        if (retries.contains(notice.ticket)) {
          ++outcome.refused_twice;
        } else if (refused == refusal_behaviour::kRetries) {
          retry_times.insert(notice.answer.retry_at);
        }
      }
      requested_at.erase(found);
    }
    for (const auto& run : d.DrainPreemptions()) {
      runs.erase(run.ticket);
      ++outcome.preempted;
      d.End(host_id("h"), {run.ticket, run_outcome::kCancelled}, now);
    }
    used += static_cast<double>(std::ranges::count(
        runs, work_class::kBatch,
        [](const auto& entry) { return entry.second.work; }));
    slots += kServers * kSlots;
  }
  outcome.batch_share = used / slots;
  return outcome;
}

/** Property: the requests on a server never exceed its slots, for any order of
 * events, as long as hosts report correctly. */
auto SlotsAreNeverExceeded() -> bool {
  return rc::check("no server gets more than its slots", [] {
    auto d = MakeReadyDispatcher(3);
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    auto now = Begin();
    std::uint64_t ticket = 1;
    std::map<ticket_id, server_id> runs;
    for (const auto step : steps) {
      now += milliseconds(step);
      if (step < 60) {
        d.RequestSlot(
            MakeRequest(
                ticket++,
                step % 3 == 0 ? work_class::kBatch : work_class::kOnline, now),
            {}, now);
      } else if (!runs.empty()) {
        const auto run =
            std::next(runs.begin(), step % static_cast<int>(runs.size()));
        d.End(host_id("h"), {run->first, run_outcome::kComplete}, now);
        runs.erase(run);
      }
      std::vector<held_slot> held;
      for (const auto& [id, server] : runs) {
        held.push_back({id, server, work_class::kOnline});
      }
      d.ReconcileHeldSlots(host_id("h"), held, now);
      d.Advance(now);
      for (const auto& notice : d.DrainNotices()) {
        if (notice.answer.verdict == placement_verdict::kGranted) {
          runs[notice.ticket] = notice.answer.server;
        }
      }
      for (const auto& run : d.DrainPreemptions()) {
        d.End(run.host, {run.ticket, run_outcome::kCancelled}, now);
        runs.erase(run.ticket);
      }
      std::map<server_id, unsigned> counts;
      for (const auto& [id, server] : runs) {
        ++counts[server];
      }
      for (const auto& [server, count] : counts) {
        RC_ASSERT(count <= kSlots);
      }
    }
  });
}

}  // namespace

// Guards against online requests that wait while batch items run.
Test(dispatch, online_request_preempts_a_batch_run) {
  auto d = MakeReadyDispatcher(2, {.batch_reserve_share = 0});
  Fill(d, 2, work_class::kBatch, 1);
  const auto answer =
      Place(d, MakeRequest(100, work_class::kOnline, Begin()), Begin());
  cr_assert(IsGranted(answer));
  const auto runs = d.DrainPreemptions();
  cr_assert_eq(runs.size(), 1);
}

// Guards against a batch request that preempts another run.
Test(dispatch, batch_waits_for_a_free_slot) {
  auto d = MakeReadyDispatcher(1, {.batch_reserve_share = 0});
  Fill(d, 1, work_class::kOnline, 1);
  cr_assert_not(Place(d, MakeRequest(100, work_class::kBatch, Begin()), Begin())
                    .has_value());
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete}, Begin());
  const auto notices = d.DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].ticket.value, 100);
}

// Guards against queueing a request although no slot can be free before its
// objective. Load: far more online requests than slots.
Test(dispatch, request_without_slot_in_time_is_refused_at_once) {
  auto d = MakeReadyDispatcher(1);
  Fill(d, 1, work_class::kOnline, 1);
  auto first =
      Place(d, MakeRequest(100, work_class::kOnline, Begin()), Begin());
  cr_assert_not(first.has_value());
  std::optional<placement_answer> refused;
  for (std::uint64_t i = 101; !refused && i < 140; ++i) {
    refused = Place(d, MakeRequest(i, work_class::kOnline, Begin()), Begin());
  }
  cr_assert(refused.has_value());
  cr_assert_eq(static_cast<int>(refused->verdict),
               static_cast<int>(placement_verdict::kNoCapacity));
  cr_assert_gt(refused->retry_at, Begin());
}

// Guards against a backoff of seconds after one short silence: each of the runs
// that leave the server at that time counted as a failure after the others.
Test(dispatch, runs_that_end_together_are_one_failure) {
  auto d = MakeReadyDispatcher(1);
  Fill(d, 1, work_class::kOnline, 1);
  d.DrainNotices();
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    d.End(host_id("h"), {ticket_id(i), run_outcome::kUnreachable}, Begin());
  }
  const auto ends = Begin() + dispatch_policy().min_backoff;
  auto retry = MakeRequest(100, work_class::kOnline, ends);
  retry.is_retry = true;
  const auto granted = Place(d, retry, ends);
  cr_assert(granted.has_value());
  cr_assert(granted->verdict == placement_verdict::kGranted);
  d.End(host_id("h"), {ticket_id(100), run_outcome::kUnreachable}, ends);
  retry.ticket = ticket_id(101);
  cr_assert_not(Place(d, retry, ends + dispatch_policy().min_backoff));
}

// Guards against streams that are cut because all servers are in backoff for a
// moment: a retry waits for the end of the shortest one.
Test(dispatch, retry_waits_for_the_end_of_a_backoff) {
  auto d = MakeReadyDispatcher(1);
  d.RequestSlot(MakeRequest(1, work_class::kOnline, Begin()), {}, Begin());
  d.End(host_id("h"), {ticket_id(1), run_outcome::kUnreachable}, Begin());
  d.DrainNotices();
  auto retry = MakeRequest(2, work_class::kOnline, Begin());
  retry.is_retry = true;
  d.RequestSlot(retry, {}, Begin());
  cr_assert(d.DrainNotices().empty());
  // A new request is refused at once, so that its caller may return.
  auto fresh = MakeRequest(4, work_class::kOnline, Begin());
  fresh.latest_on_time_start = Begin() + seconds(1);
  d.RequestSlot(fresh, {}, Begin());
  cr_assert_eq(d.DrainNotices().size(), 1);
  auto avoiding = retry;
  avoiding.ticket = ticket_id(3);
  avoiding.avoided = {server_id("s0")};
  d.RequestSlot(avoiding, {}, Begin());
  const auto refused = d.DrainNotices();
  cr_assert_eq(refused.size(), 1);
  cr_assert(refused[0].answer.verdict == placement_verdict::kNoCapacity);
  d.Advance(Begin() + dispatch_policy().min_backoff);
  const auto granted = d.DrainNotices();
  cr_assert_eq(granted.size(), 1);
  cr_assert(granted[0].answer.verdict == placement_verdict::kGranted);
}

// Guards against serving new requests while a retry waits, whose caller gives
// up when it is refused a second time.
Test(dispatch, retry_goes_first) {
  auto d = MakeReadyDispatcher(1);
  Fill(d, 1, work_class::kOnline, 1);
  d.RequestSlot(MakeRequest(100, work_class::kOnline, Begin()), {}, Begin());
  auto retry = MakeRequest(101, work_class::kOnline, Begin() + milliseconds(1));
  retry.is_retry = true;
  d.RequestSlot(retry, {}, Begin() + milliseconds(1));
  d.DrainNotices();
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete},
        Begin() + milliseconds(2));
  const auto notices = d.DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].ticket.value, 101);
}

// Guards against online requests that miss their objective because of batch
// work, and against batch work that leaves idle slots unused between bursts.
// Load: the bursts of the smaller site, mean load below the slots.
Test(dispatch, bursts_are_served_over_batch_work) {
  const auto outcome = SimulateBursts(32, 154, 6);
  cr_assert_gt(outcome.online, 1500);
  cr_assert_geq(outcome.on_time, outcome.online * 99 / 100);
  cr_assert_eq(outcome.refused_late, 0);
  cr_assert_gt(outcome.batch_share, 0.3);
}

// Guards against queues that grow until every request is late: requests that
// are not refused must start on time. Load: bursts that exceed all slots.
Test(dispatch, accepted_requests_start_on_time_in_overload) {
  const auto outcome = SimulateBursts(60, 300, 6);
  cr_assert_eq(outcome.refused_late, 0);
  // 144 slots with runs of 0.8 s serve 180 requests a second in the bursts.
  const double served = static_cast<double>(outcome.on_time) /
                        static_cast<double>(outcome.online);
  cr_assert_gt(served, 0.65);
}

// Guards against preempting a batch run for each online request. Load: a steady
// rate of online requests far below all slots, over unlimited batch work.
Test(dispatch, steady_online_work_rarely_preempts_batch_runs) {
  const auto outcome = SimulateBursts(60, 60, 4);
  cr_assert_leq(outcome.preempted, outcome.online / 10);
  cr_assert_gt(outcome.batch_share, 0.5);
}

// Guards against a queue in which one late request makes all that follow late:
// as many requests as the slots can serve must be on time. Load: bursts a tenth
// and two thirds above all slots, with varying run times.
Test(dispatch, overload_makes_few_requests_late) {
  // 204 requests between two bursts, and 144 slots with runs of 0.8 s over the
  // 2.4 s of a burst.
  constexpr int kServable = 6 * (204 + 432);
  for (const int high : {200, 300}) {
    const auto outcome = SimulateBursts(60, high, 6, milliseconds(600));
    cr_assert_eq(outcome.refused_late, 0);
    cr_assert_geq(outcome.on_time, kServable * 95 / 100);
    cr_assert_leq(outcome.late, outcome.online / 20);
  }
}

// Guards against wait estimates that ignore retries, which are served first, or
// the variance of run times: a queue at its limit then makes every second
// request late. Load: as above, with callers that retry once at the time given
// in the refusal.
Test(dispatch, retries_make_few_requests_late) {
  for (const int high : {200, 250, 300}) {
    const auto outcome = SimulateBursts(60, high, 6, milliseconds(600),
                                        refusal_behaviour::kRetries);
    cr_assert_leq(outcome.late, outcome.online / 20);
  }
}

Test(dispatch, slots_are_never_exceeded) {
  cr_assert(SlotsAreNeverExceeded());
}

// Guards against admitting more than a workspace's rate and burst, and against
// losing tokens to requests that are not served.
Test(dispatch, workspace_keeps_to_its_limit) {
  auto d = MakeReadyDispatcher(4);
  const limit_rate rate{.per_s = 2, .burst = 4};
  int granted = 0;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    const auto answer =
        Place(d, MakeRequest(i, work_class::kOnline, Begin()), Begin(), rate);
    granted += IsGranted(answer) ? 1 : 0;
  }
  // A new dispatcher starts with half of the burst.
  cr_assert_eq(granted, 2);
  const auto later = Begin() + seconds(10);
  d.ReconcileHeldSlots(host_id("h"), {}, later);
  for (std::uint64_t i = 21; i <= 40; ++i) {
    const auto answer =
        Place(d, MakeRequest(i, work_class::kOnline, later), later, rate);
    granted += IsGranted(answer) ? 1 : 0;
  }
  cr_assert_eq(granted, 6);
}

// Guards against choosing a server that is leaving or that could not be
// reached.
Test(dispatch, unusable_servers_get_nothing) {
  auto d = MakeReadyDispatcher(2);
  auto servers = Servers(2);
  servers[0].leaving = true;
  d.SetServers(servers, Regions());
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    const auto answer =
        Place(d, MakeRequest(i, work_class::kOnline, Begin()), Begin());
    cr_assert_eq(answer->server.value, "s1");
  }
  auto other = MakeReadyDispatcher(2);
  const auto first =
      Place(other, MakeRequest(1, work_class::kOnline, Begin()), Begin());
  other.End(host_id("h"), {ticket_id(1), run_outcome::kUnreachable}, Begin());
  for (std::uint64_t i = 2; i <= kSlots; ++i) {
    const auto answer =
        Place(other, MakeRequest(i, work_class::kOnline, Begin()), Begin());
    cr_assert_neq(answer->server, first->server);
  }
}

// Guards against slots that stay in use after their host has failed, and
// against granting slots twice after a failover of the dispatcher.
Test(dispatch, held_slots_follow_the_host_reports) {
  auto d = MakeReadyDispatcher(1);
  Fill(d, 1, work_class::kOnline, 1);
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin()), 0);
  d.Advance(Begin() + seconds(5));
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin() + seconds(5)), kSlots);

  auto successor = MakeReadyDispatcher(1);
  std::vector<held_slot> held;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    held.push_back({ticket_id(i), server_id("s0"), work_class::kOnline});
  }
  successor.ReconcileHeldSlots(host_id("other"), held, Begin());
  cr_assert_eq(successor.FreeSlots(service_id("llm"), Begin()), kSlots - 3);
}

// Guards against granting slots that hosts without a link to the dispatcher are
// using, where requests would queue at the server, and against servers that
// stay unused after these hosts are back.
Test(dispatch, reported_load_counts_external_requests) {
  auto d = MakeReadyDispatcher(2);
  const std::vector<server_count> reported{{server_id("s0"), kSlots}};
  d.RecordReportedLoads(reported, Begin());
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    const auto answer =
        Place(d, MakeRequest(i, work_class::kOnline, Begin()), Begin());
    cr_assert(IsGranted(answer));
    cr_assert_eq(answer->server.value, "s1");
  }
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin()), 0);
  cr_assert_eq(d.ExternalCount(Begin()), kSlots);
  const auto later = Begin() + seconds(1);
  cr_assert_eq(d.FreeSlots(service_id("llm"), later), kSlots);
  cr_assert_eq(d.ExternalCount(later), 0);
}

// Guards against counting runs of this fleet twice: a load is measured before
// the run ends that arrive with it, and a server counts preempted runs for some
// time after their end.
Test(dispatch, reported_load_is_compared_with_recent_slots) {
  auto d = MakeReadyDispatcher(1, {.batch_reserve_share = 0});
  Fill(d, 1, work_class::kBatch, 1);
  cr_assert(IsGranted(
      Place(d, MakeRequest(100, work_class::kOnline, Begin()), Begin())));
  const auto preempted_runs = d.DrainPreemptions();
  cr_assert_eq(preempted_runs.size(), 1);
  const std::vector<server_count> reported{{server_id("s0"), kSlots + 1}};
  d.RecordReportedLoads(reported, Begin());
  d.End(host_id("h"), {preempted_runs[0].ticket, run_outcome::kCancelled},
        Begin());
  d.End(host_id("h"), {ticket_id(100), run_outcome::kComplete}, Begin());
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin()), 1);
  const auto soon = Begin() + milliseconds(250);
  d.RecordReportedLoads(reported, soon);
  cr_assert_eq(d.FreeSlots(service_id("llm"), soon), 1);
}

// Guards against a dispatcher that decides before it has received reports of
// the slots in use, or after another one has taken over.
Test(dispatch, decides_only_between_warm_up_and_stop) {
  dispatcher d(dispatch_policy(), 7);
  d.SetServers(Servers(1), Regions());
  d.Start(Begin());
  const auto early =
      Place(d, MakeRequest(1, work_class::kOnline, Begin()), Begin());
  cr_assert_eq(static_cast<int>(early->verdict),
               static_cast<int>(placement_verdict::kNotReady));
  const auto later = Begin() + seconds(1);
  cr_assert(
      IsGranted(Place(d, MakeRequest(2, work_class::kOnline, later), later)));
  d.Stop();
  const auto after =
      Place(d, MakeRequest(3, work_class::kOnline, later), later);
  cr_assert_eq(static_cast<int>(after->verdict),
               static_cast<int>(placement_verdict::kNotReady));
}

// Guards against traffic on the billed link between regions while a nearby
// server is free.
Test(dispatch, nearest_servers_come_first) {
  auto servers = Servers(2);
  servers[1].data_centre = data_centre_id("b");
  dispatcher d(dispatch_policy(), 7);
  d.SetServers(servers, Regions());
  d.Start(Begin() - seconds(1));
  d.ReconcileHeldSlots(host_id("h"), {}, Begin());
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    const auto answer =
        Place(d, MakeRequest(i, work_class::kOnline, Begin()), Begin());
    cr_assert_eq(answer->server.value, "s0");
  }
  cr_assert_eq(Place(d, MakeRequest(99, work_class::kOnline, Begin()), Begin())
                   ->server.value,
               "s1");
}

// Guards against granting a slot to a request whose caller has disconnected.
Test(dispatch, withdrawn_request_gets_no_slot) {
  auto d = MakeReadyDispatcher(1);
  Fill(d, 1, work_class::kOnline, 1);
  d.RequestSlot(MakeRequest(100, work_class::kOnline, Begin()), {}, Begin());
  d.Withdraw(host_id("h"), ticket_id(100));
  cr_assert_eq(d.DrainNotices().size(), 1);
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete}, Begin());
  cr_assert(d.DrainNotices().empty());
}

// Guards against a batch request that gets no answer by its deadline because
// online requests wait for longer: its host would consider the dispatcher dead
// and drop every request on the same link.
Test(dispatch, overdue_batch_request_is_answered_while_online_ones_wait) {
  auto d = MakeReadyDispatcher(1);
  Fill(d, 1, work_class::kOnline, 1);
  auto online = MakeRequest(100, work_class::kOnline, Begin());
  online.is_retry = true;
  cr_assert_not(Place(d, online, Begin()).has_value());
  auto batch = MakeRequest(101, work_class::kBatch, Begin());
  batch.latest_start = Begin() + milliseconds(500);
  cr_assert_not(Place(d, batch, Begin()).has_value());
  d.Advance(Begin() + milliseconds(500));
  const auto notices = d.DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].ticket.value, 101);
  cr_assert_eq(static_cast<int>(notices[0].answer.verdict),
               static_cast<int>(placement_verdict::kNoCapacity));
  cr_assert_eq(d.WaitingCount(work_class::kOnline), 1);
}

namespace {

/** Load of a large site in one data centre: 48 hosts before 27 servers, each
 * with 2.5 requests a second of 0.15 s, for a minute. Returns the share of the
 * requests that needed a new connection, which stays idle for 4 s. */
auto NewConnectionShare(bool tells_connections) -> double {
  constexpr unsigned kHosts = 48;
  constexpr milliseconds kRun{150};
  constexpr seconds kIdle{4};
  auto d = MakeReadyDispatcher(27);
  std::mt19937_64 random(11);
  std::exponential_distribution<double> gap(2.5 * kHosts);
  std::map<host_id, std::map<server_id, time_point>> idle_since;
  std::multimap<time_point, std::tuple<host_id, ticket_id, server_id>> ends;
  auto now = Begin();
  unsigned fresh = 0;
  unsigned total = 0;
  for (std::uint64_t ticket = 0; now < Begin() + seconds(60); ++ticket) {
    now += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(random)));
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [host, ended, server] = ends.begin()->second;
      idle_since[host][server] = ends.begin()->first;
      d.End(host, {ended, run_outcome::kComplete}, now);
      ends.erase(ends.begin());
    }
    const host_id host(std::to_string(random() % kHosts));
    d.ReconcileHeldSlots(host, {}, now);
    auto request = MakeRequest(ticket, work_class::kOnline, now);
    request.host = host;
    auto& idle = idle_since[host];
    std::erase_if(
        idle, [&](const auto& entry) { return now - entry.second > kIdle; });
    for (const auto& [server, since] : idle) {
      if (tells_connections) {
        request.connected.push_back(server);
      }
    }
    const auto answer = Place(d, request, now);
    cr_assert(IsGranted(answer));
    fresh += idle.erase(answer->server) == 0 ? 1 : 0;
    ++total;
    ends.emplace(now + kRun, std::tuple(host, request.ticket, answer->server));
  }
  return static_cast<double>(fresh) / total;
}

}  // namespace

// Guards against a new connection for most requests when many hosts use many
// servers.
Test(dispatch, idle_connections_are_used_at_many_hosts) {
  cr_assert_lt(NewConnectionShare(true), NewConnectionShare(false) / 2);
}

// Guards against a preference that fills a server while others are idle, or
// that sends a request to another data centre.
Test(dispatch, idle_connection_does_not_outweigh_load_or_distance) {
  auto d = MakeReadyDispatcher(2);
  std::map<server_id, unsigned> counts;
  for (std::uint64_t ticket = 0; ticket < 8; ++ticket) {
    auto request = MakeRequest(ticket, work_class::kOnline, Begin());
    request.connected = {server_id("s1")};
    ++counts[Place(d, request, Begin())->server];
  }
  cr_assert_geq(counts[server_id("s0")], 3);
  auto servers = Servers(2);
  servers[1].data_centre = data_centre_id("b");
  d.SetServers(servers, Regions());
  auto request = MakeRequest(100, work_class::kOnline, Begin());
  request.connected = {server_id("s1")};
  cr_assert_eq(Place(d, request, Begin())->server, server_id("s0"));
}

}  // namespace dogwood::testing
