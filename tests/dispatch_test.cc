/** Tests of the placement of requests, by replays of the loads that it answers.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

#include "tests/dispatch_world.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** A dispatcher that is ready at Begin(), with `count` servers. */
auto Ready(unsigned count, dispatch_policy policy = {}) -> dispatcher {
  dispatcher d(policy, 7);
  d.SetServers(Servers(count), Regions());
  d.Start(Begin() - seconds(1));
  d.ReconcileHeldSlots(host_id("h"), {}, Begin());
  return d;
}

/** Sends an ask; its answer, if there is one at once. */
auto Place(dispatcher& d,
           const placement_request& ask,
           time_point now,
           limit_rate rate = {}) -> std::optional<placement_answer> {
  d.Ask(ask, rate, now);
  for (const auto& notice : d.DrainNotices()) {
    if (notice.ticket == ask.ticket && notice.host == ask.host) {
      return notice.answer;
    }
  }
  return std::nullopt;
}

/** Whether an answer grants. */
auto IsGranted(const std::optional<placement_answer>& answer) -> bool {
  return answer && answer->verdict == placement_verdict::kGranted;
}

/** Fills every slot of `count` servers; tickets count from `first`. */
auto Fill(dispatcher& d, unsigned count, work_class work, std::uint64_t first)
    -> void {
  for (unsigned i = 0; i < count * kSlots; ++i) {
    cr_assert(IsGranted(Place(d, Ask(first + i, work, Begin()), Begin())));
  }
}

/** A run of a replay. */
struct replay_run {
  server_id server;  ///< Where it runs.
  work_class work;   ///< What it is.
  time_point end;    ///< When it ends unless it is ended before.
};

/** Outcome of a replay of bursts over batch work. */
struct replay_outcome {
  int online = 0;          ///< Online requests.
  int on_time = 0;         ///< Started before their objective.
  int refused_late = 0;    ///< Refused after they had waited 75 ms.
  int refused_twice = 0;   ///< Refused again when they returned.
  int late = 0;            ///< Started after their objective.
  int late_again = 0;      ///< The same, of those that had returned.
  int ended = 0;           ///< Batch runs ended for online work.
  double batch_share = 0;  ///< Part of all slot time that batch used.
};

/** Whether refused callers of a replay come back. */
enum class refused_caller : std::uint8_t {
  kGivesUp,  ///< Does not ask again.
  kReturns,  ///< Asks once more at the time that it was told.
};

/** Replays swings of online work: `low` a second for 3.4 s, then `high` for
 * 2.4 s, each 0.8 s long on average and at most `spread` more or less, over
 * batch work without end. */
auto ReplaySwings(int low,
                  int high,
                  int rounds,
                  milliseconds spread = {},
                  refused_caller refused = refused_caller::kGivesUp)
    -> replay_outcome {
  constexpr unsigned kServers = 18;
  constexpr milliseconds kTick{5};
  auto d = Ready(kServers);
  std::mt19937_64 random(5);
  replay_outcome outcome;
  std::map<ticket_id, replay_run> runs;
  std::map<ticket_id, time_point> asked;  // Online asks.
  std::set<ticket_id> returned;           // Those that were refused before.
  std::multiset<time_point> returns;      // When refused callers come back.
  std::uint64_t ticket = 1;
  unsigned batch_asking = 0;
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
      asked[id] = now;
      ++outcome.online;
      d.Ask(Ask(id.value, work_class::kOnline, now), {}, now);
    }
    while (!returns.empty() && *returns.begin() <= now) {
      returns.erase(returns.begin());
      auto again = Ask(ticket++, work_class::kOnline, now);
      again.is_retry = true;
      again.latest_start = now + seconds(3);
      asked[again.ticket] = now;
      returned.insert(again.ticket);
      d.Ask(again, {}, now);
    }
    for (; batch_asking < 8; ++batch_asking) {
      d.Ask(Ask(ticket++, work_class::kBatch, now), {}, now);
    }
    d.Advance(now);
    for (const auto& notice : d.DrainNotices()) {
      const auto found = asked.find(notice.ticket);
      const bool granted = notice.answer.verdict == placement_verdict::kGranted;
      if (found == asked.end()) {
        --batch_asking;
        if (granted) {
          runs[notice.ticket] = {notice.answer.server, work_class::kBatch,
                                 now + seconds(4)};
        }
        continue;
      }
      const auto waited = now - found->second;
      if (granted) {
        const bool is_on_time = waited <= milliseconds(200);
        const bool is_again = returned.contains(notice.ticket);
        ++(is_on_time ? outcome.on_time
                      : (is_again ? outcome.late_again : outcome.late));
        std::uniform_int_distribution<std::int64_t> run(-spread.count(),
                                                        spread.count());
        runs[notice.ticket] = {notice.answer.server, work_class::kOnline,
                               now + milliseconds(800 + run(random))};
      } else {
        outcome.refused_late += waited > milliseconds(75) ? 1 : 0;
        if (returned.contains(notice.ticket)) {
          ++outcome.refused_twice;
        } else if (refused == refused_caller::kReturns) {
          returns.insert(notice.answer.retry_at);
        }
      }
      asked.erase(found);
    }
    for (const auto& run : d.DrainPreemptions()) {
      runs.erase(run.ticket);
      ++outcome.ended;
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

/** Property: the requests counted on a server never exceed its slots, whatever
 * comes, as long as hosts tell the truth. */
auto SlotsAreNeverExceeded() -> bool {
  return rc::check("no server gets more than its slots", [] {
    auto d = Ready(3);
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    auto now = Begin();
    std::uint64_t ticket = 1;
    std::map<ticket_id, server_id> runs;
    for (const auto step : steps) {
      now += milliseconds(step);
      if (step < 60) {
        d.Ask(
            Ask(ticket++,
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

// Guards against online work that waits while batch work runs.
Test(dispatch, online_takes_the_slot_of_a_batch_run) {
  auto d = Ready(2, {.batch_reserve = 0});
  Fill(d, 2, work_class::kBatch, 1);
  const auto answer = Place(d, Ask(100, work_class::kOnline, Begin()), Begin());
  cr_assert(IsGranted(answer));
  const auto runs = d.DrainPreemptions();
  cr_assert_eq(runs.size(), 1);
}

// Guards against batch work that displaces anything.
Test(dispatch, batch_waits_for_a_free_slot) {
  auto d = Ready(1, {.batch_reserve = 0});
  Fill(d, 1, work_class::kOnline, 1);
  cr_assert_not(
      Place(d, Ask(100, work_class::kBatch, Begin()), Begin()).has_value());
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete}, Begin());
  const auto notices = d.DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].ticket.value, 100);
}

// Load: far more online work than slots. Guards against a request that waits
// although no slot can be free before its objective.
Test(dispatch, hopeless_request_is_refused_at_once) {
  auto d = Ready(1);
  Fill(d, 1, work_class::kOnline, 1);
  auto first = Place(d, Ask(100, work_class::kOnline, Begin()), Begin());
  cr_assert_not(first.has_value());
  std::optional<placement_answer> refused;
  for (std::uint64_t i = 101; !refused && i < 140; ++i) {
    refused = Place(d, Ask(i, work_class::kOnline, Begin()), Begin());
  }
  cr_assert(refused.has_value());
  cr_assert_eq(static_cast<int>(refused->verdict),
               static_cast<int>(placement_verdict::kNoCapacity));
  cr_assert_gt(refused->retry_at, Begin());
}

// Guards against a caller that is refused twice while others, who have not
// waited yet, are served.
Test(dispatch, returning_caller_goes_first) {
  auto d = Ready(1);
  Fill(d, 1, work_class::kOnline, 1);
  d.Ask(Ask(100, work_class::kOnline, Begin()), {}, Begin());
  auto returning = Ask(101, work_class::kOnline, Begin() + milliseconds(1));
  returning.is_retry = true;
  d.Ask(returning, {}, Begin() + milliseconds(1));
  d.DrainNotices();
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete},
        Begin() + milliseconds(2));
  const auto notices = d.DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].ticket.value, 101);
}

// Load: the swings of the smaller site, mean load below the slots. Guards
// against online requests that miss their objective because of batch work, and
// against batch work that does not use the lulls.
Test(dispatch, swings_are_served_over_batch_work) {
  const auto outcome = ReplaySwings(32, 154, 6);
  cr_assert_gt(outcome.online, 1500);
  cr_assert_geq(outcome.on_time, outcome.online * 99 / 100);
  cr_assert_eq(outcome.refused_late, 0);
  cr_assert_gt(outcome.batch_share, 0.3);
}

// Load: swings beyond all slots. Guards against queues that grow until every
// request is late: those that are taken start on time.
Test(dispatch, overload_keeps_the_taken_on_time) {
  const auto outcome = ReplaySwings(60, 300, 6);
  cr_assert_eq(outcome.refused_late, 0);
  // 144 slots of 0.8 s serve 180 a second in the highs.
  const double served = static_cast<double>(outcome.on_time) /
                        static_cast<double>(outcome.online);
  cr_assert_gt(served, 0.65);
}

// Load: online work that comes and goes far below all slots, over batch work
// without end. Guards against a batch run that is ended for each online
// request.
Test(dispatch, steady_online_work_seldom_ends_batch_runs) {
  const auto outcome = ReplaySwings(60, 60, 4);
  cr_assert_leq(outcome.ended, outcome.online / 10);
  cr_assert_gt(outcome.batch_share, 0.5);
}

// Load: swings a tenth, and two thirds, beyond all slots, with runs of
// different length. Guards against a queue in which every request waits a
// little too long because the first has: as many are on time as the slots
// carry.
Test(dispatch, overload_makes_few_requests_late) {
  // 204 requests in a lull, and 144 slots of 0.8 s over the 2.4 s of a high.
  constexpr int kCarried = 6 * (204 + 432);
  for (const int high : {200, 300}) {
    const auto outcome = ReplaySwings(60, high, 6, milliseconds(600));
    cr_assert_eq(outcome.refused_late, 0);
    cr_assert_geq(outcome.on_time, kCarried * 95 / 100);
    cr_assert_leq(outcome.late, outcome.online / 20);
  }
}

// Load: the same, with callers that return once when they were told to. Guards
// against estimates that leave out those who return and go first, and the
// spread of run times: a queue at its limit then makes every second request
// late.
Test(dispatch, returning_callers_make_few_requests_late) {
  for (const int high : {200, 250, 300}) {
    const auto outcome =
        ReplaySwings(60, high, 6, milliseconds(600), refused_caller::kReturns);
    cr_assert_leq(outcome.late, outcome.online / 20);
  }
}

Test(dispatch, slots_are_never_exceeded) {
  cr_assert(SlotsAreNeverExceeded());
}

// Guards against more requests than a workspace's rate and burst, and against a
// token lost to a request that was not served.
Test(dispatch, workspace_keeps_to_its_limit) {
  auto d = Ready(4);
  const limit_rate rate{.per_s = 2, .burst = 4};
  int granted = 0;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    const auto answer =
        Place(d, Ask(i, work_class::kOnline, Begin()), Begin(), rate);
    granted += IsGranted(answer) ? 1 : 0;
  }
  // A new dispatcher starts with half of the burst.
  cr_assert_eq(granted, 2);
  const auto later = Begin() + seconds(10);
  d.ReconcileHeldSlots(host_id("h"), {}, later);
  for (std::uint64_t i = 21; i <= 40; ++i) {
    const auto answer =
        Place(d, Ask(i, work_class::kOnline, later), later, rate);
    granted += IsGranted(answer) ? 1 : 0;
  }
  cr_assert_eq(granted, 6);
}

// Guards against requests sent to a server that leaves, is unreachable, or has
// failed this request already.
Test(dispatch, unusable_servers_get_nothing) {
  auto d = Ready(2);
  auto servers = Servers(2);
  servers[0].leaving = true;
  d.SetServers(servers, Regions());
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    const auto answer = Place(d, Ask(i, work_class::kOnline, Begin()), Begin());
    cr_assert_eq(answer->server.value, "s1");
  }
  auto other = Ready(2);
  const auto first =
      Place(other, Ask(1, work_class::kOnline, Begin()), Begin());
  other.End(host_id("h"), {ticket_id(1), run_outcome::kUnreachable}, Begin());
  for (std::uint64_t i = 2; i <= kSlots; ++i) {
    const auto answer =
        Place(other, Ask(i, work_class::kOnline, Begin()), Begin());
    cr_assert_neq(answer->server, first->server);
  }
}

// Guards against slots that stay taken after their host has died, and against
// slots given out twice after a change of the dispatcher.
Test(dispatch, held_slots_follow_the_reports_of_the_hosts) {
  auto d = Ready(1);
  Fill(d, 1, work_class::kOnline, 1);
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin()), 0);
  d.Advance(Begin() + seconds(5));
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin() + seconds(5)), kSlots);

  auto successor = Ready(1);
  std::vector<held_slot> held;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    held.push_back({ticket_id(i), server_id("s0"), work_class::kOnline});
  }
  successor.ReconcileHeldSlots(host_id("other"), held, Begin());
  cr_assert_eq(successor.FreeSlots(service_id("llm"), Begin()), kSlots - 3);
}

// Load: hosts that are cut off from the dispatcher go on sending to servers.
// Guards against slots given out that they use, where requests would wait
// behind each other, and against servers left empty after the hosts are back.
Test(dispatch, told_load_counts_requests_of_others) {
  auto d = Ready(2);
  const std::vector<server_count> told{{server_id("s0"), kSlots}};
  d.RecordReportedLoads(told, Begin());
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    const auto answer = Place(d, Ask(i, work_class::kOnline, Begin()), Begin());
    cr_assert(IsGranted(answer));
    cr_assert_eq(answer->server.value, "s1");
  }
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin()), 0);
  cr_assert_eq(d.ExternalCount(Begin()), kSlots);
  const auto later = Begin() + seconds(1);
  cr_assert_eq(d.FreeSlots(service_id("llm"), later), kSlots);
  cr_assert_eq(d.ExternalCount(later), 0);
}

// Guards against runs of this fleet that count twice: a load is told before the
// ends that arrive with it, and ended runs linger at their server.
Test(dispatch, told_load_is_compared_with_recent_slots) {
  auto d = Ready(1, {.batch_reserve = 0});
  Fill(d, 1, work_class::kBatch, 1);
  cr_assert(
      IsGranted(Place(d, Ask(100, work_class::kOnline, Begin()), Begin())));
  const auto yielded = d.DrainPreemptions();
  cr_assert_eq(yielded.size(), 1);
  const std::vector<server_count> told{{server_id("s0"), kSlots + 1}};
  d.RecordReportedLoads(told, Begin());
  d.End(host_id("h"), {yielded[0].ticket, run_outcome::kCancelled}, Begin());
  d.End(host_id("h"), {ticket_id(100), run_outcome::kComplete}, Begin());
  cr_assert_eq(d.FreeSlots(service_id("llm"), Begin()), 1);
  const auto soon = Begin() + milliseconds(250);
  d.RecordReportedLoads(told, soon);
  cr_assert_eq(d.FreeSlots(service_id("llm"), soon), 1);
}

// Guards against a dispatcher that decides before it has heard of the slots in
// use, or after another one has taken over.
Test(dispatch, decides_only_between_warm_up_and_stop) {
  dispatcher d(dispatch_policy(), 7);
  d.SetServers(Servers(1), Regions());
  d.Start(Begin());
  const auto early = Place(d, Ask(1, work_class::kOnline, Begin()), Begin());
  cr_assert_eq(static_cast<int>(early->verdict),
               static_cast<int>(placement_verdict::kNotReady));
  const auto later = Begin() + seconds(1);
  cr_assert(IsGranted(Place(d, Ask(2, work_class::kOnline, later), later)));
  d.Stop();
  const auto after = Place(d, Ask(3, work_class::kOnline, later), later);
  cr_assert_eq(static_cast<int>(after->verdict),
               static_cast<int>(placement_verdict::kNotReady));
}

// Guards against requests over the billed link while a near server is free.
Test(dispatch, near_servers_come_first) {
  auto servers = Servers(2);
  servers[1].data_centre = data_centre_id("b");
  dispatcher d(dispatch_policy(), 7);
  d.SetServers(servers, Regions());
  d.Start(Begin() - seconds(1));
  d.ReconcileHeldSlots(host_id("h"), {}, Begin());
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    const auto answer = Place(d, Ask(i, work_class::kOnline, Begin()), Begin());
    cr_assert_eq(answer->server.value, "s0");
  }
  cr_assert_eq(
      Place(d, Ask(99, work_class::kOnline, Begin()), Begin())->server.value,
      "s1");
}

// Guards against a caller that left and still gets a slot.
Test(dispatch, withdrawn_ask_gets_no_slot) {
  auto d = Ready(1);
  Fill(d, 1, work_class::kOnline, 1);
  d.Ask(Ask(100, work_class::kOnline, Begin()), {}, Begin());
  d.Withdraw(host_id("h"), ticket_id(100));
  cr_assert_eq(d.DrainNotices().size(), 1);
  d.End(host_id("h"), {ticket_id(1), run_outcome::kComplete}, Begin());
  cr_assert(d.DrainNotices().empty());
}

// Load: online asks wait for longer than a batch ask may. Guards against a
// batch ask that gets no answer by then: its host would take the dispatcher for
// dead and drop every ask on the same link.
Test(dispatch, overdue_batch_ask_is_answered_while_online_asks_wait) {
  auto d = Ready(1);
  Fill(d, 1, work_class::kOnline, 1);
  auto online = Ask(100, work_class::kOnline, Begin());
  online.is_retry = true;
  cr_assert_not(Place(d, online, Begin()).has_value());
  auto batch = Ask(101, work_class::kBatch, Begin());
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

}  // namespace dogwood::testing
