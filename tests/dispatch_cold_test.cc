/** Tests of the requests that cold servers get. */
#include "src/dispatch_cold.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** Declared rate of cold servers. */
constexpr double kColdPerS = 7.2;
/** Most requests in a second that such a server may get: 1.5 times the rate and
 * 5 more. */
constexpr std::size_t kMostPerSecond = 15;
constexpr unsigned kServers = 12;
constexpr milliseconds kStep{10};

auto Rates() -> cold_rates {
  return {{service_id("llm"), kColdPerS}};
}

/** Servers of which every other one is in data centre "b". */
auto ServersOfTwo() -> std::vector<registered_server> {
  auto servers = Servers(kServers);
  for (unsigned i = 1; i < kServers; i += 2) {
    servers[i].data_centre = data_centre_id("b");
  }
  return servers;
}

/** A dispatcher that knows the rates and is past its first second. */
auto ReadyDispatcher(const std::vector<registered_server>& servers,
                     const cold_rates& rates = Rates())
    -> std::unique_ptr<dispatcher> {
  auto made = std::make_unique<dispatcher>(dispatch_policy(), 7);
  made->SetColdRates(rates);
  made->SetServers(servers, Regions());
  made->Start(Begin() - seconds(5));
  return made;
}

/** Sends `count` requests at `now` and returns the servers granted. */
auto Send(dispatcher& to, unsigned count, time_point now, ticket_id first)
    -> std::vector<std::pair<ticket_id, server_id>> {
  std::vector<std::pair<ticket_id, server_id>> granted;
  for (unsigned i = 0; i < count; ++i) {
    auto request = MakeRequest(first.value + i, work_class::kOnline, now);
    request.takes_token = false;
    to.RequestSlot(request, {}, now);
  }
  for (const auto& notice : to.DrainNotices()) {
    if (notice.answer.verdict == placement_verdict::kGranted) {
      granted.emplace_back(notice.ticket, notice.answer.server);
    }
  }
  return granted;
}

/** What is true of a modelled server, whoever knows it. */
struct model_server {
  registered_server info;  ///< As the hosts know it.
  std::uint64_t start = 1;
  time_point down_until;
  time_point cold_until;
  time_point next_write = Begin();
  std::deque<time_point> starts;  ///< While it was cold, in the last second.
};

/** A registration that is on its way to the hosts. */
struct model_record {
  std::size_t server = 0;
  time_point arrives;
  std::uint64_t start = 0;
  duration left{};
};

struct model_run {
  ticket_id ticket;
  std::size_t server = 0;
  std::size_t by = 0;  ///< Dispatcher that granted it.
  time_point ends;
  run_outcome outcome = run_outcome::kComplete;
  work_class work = work_class::kOnline;
};

/** Hosts, servers and the store around up to two dispatchers that decide. */
class cold_model {
 public:
  cold_model(std::uint64_t seed, const cold_rates& rates, bool tells_reports)
      : random_(seed), rates_(rates), tells_reports_(tells_reports) {
    for (const auto& info : ServersOfTwo()) {
      servers_.emplace_back().info = info;
    }
    Begins(Begin() - seconds(5));
    SetServers();
  }

  /** Plays `length`; returns the most requests that a cold server got in a
   * second. */
  auto Play(duration length) -> std::size_t {
    auto fails_at = Begin() + Between(500, 3000);
    auto changes_at = Begin() + Between(500, 8000);
    for (auto now = Begin(); now < Begin() + length; now += kStep) {
      if (now >= fails_at) {
        Fail(now);
        fails_at = now + Between(9000, 14000);
      }
      if (now >= changes_at) {
        Begins(now);
        settled_at_ = now + milliseconds(350) + seconds(1);
        changes_at = now + Between(2000, 9000);
      }
      Register(now);
      EndRuns(now);
      Report(now);
      Ask(now);
      for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
        dispatchers_[i]->Advance(now);
        HandleGrants(i, now);
      }
      if (dispatchers_.size() > 1 && now >= settled_at_) {
        dispatchers_.front()->Stop();
        dispatchers_.erase(dispatchers_.begin());
        for (auto& run : runs_) {
          run.by = 0;
        }
      }
    }
    return most_;
  }

  auto ColdStarts() const -> std::size_t { return cold_starts_; }

 private:
  auto Number(int least, int most) -> int {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  auto Between(int least, int most) -> milliseconds {
    return milliseconds(Number(least, most));
  }

  /** Another dispatcher starts beside the one that decides. */
  auto Begins(time_point now) -> void {
    if (dispatchers_.size() > 1) {
      return;
    }
    dispatchers_.push_back(
        std::make_unique<dispatcher>(dispatch_policy(), random_()));
    dispatchers_.back()->SetColdRates(rates_);
    SetServers();
    dispatchers_.back()->Start(now);
  }

  auto SetServers() -> void {
    std::vector<registered_server> list;
    for (const auto& server : servers_) {
      list.push_back(server.info);
    }
    for (auto& each : dispatchers_) {
      each->SetServers(list, Regions());
    }
  }

  /** All servers of one data centre end, and come back cold. */
  auto Fail(time_point now) -> void {
    const data_centre_id failing(Number(0, 1) == 0 ? "a" : "b");
    const auto back = now + Between(1500, 5000);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      auto& server = servers_[i];
      if (server.info.data_centre == failing) {
        ++server.start;
        server.down_until = back + Between(0, 300);
        server.cold_until = server.down_until + seconds(8);
        server.next_write = server.down_until;
        for (auto& run : runs_) {
          if (run.server == i) {
            run.ends = now + Between(0, 30);
            run.outcome = run_outcome::kUnreachable;
          }
        }
      }
    }
  }

  /** Servers write their registrations, which arrive in order. */
  auto Register(time_point now) -> void {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      auto& server = servers_[i];
      if (now >= server.next_write && now >= server.down_until) {
        server.next_write = now + milliseconds(1200);
        auto arrives = now + Between(200, 1800);
        for (const auto& other : records_) {
          if (other.server == i) {
            arrives = std::max(arrives, other.arrives);
          }
        }
        records_.push_back({i, arrives, server.start,
                            std::max(duration(), server.cold_until - now)});
      }
    }
    bool has_changed = false;
    std::erase_if(records_, [&](const auto& record) {
      if (now < record.arrives) {
        return false;
      }
      auto& info = servers_[record.server].info;
      const bool is_new = info.start != record.start;
      const auto stated =
          record.left > duration() ? now + record.left : time_point();
      info.start = record.start;
      info.cold_until =
          ColdEnd(is_new ? time_point() : info.cold_until, stated, now);
      has_changed = true;
      return true;
    });
    if (has_changed) {
      SetServers();
    }
  }

  auto EndRuns(time_point now) -> void {
    std::vector<model_run> ended;
    std::erase_if(runs_, [&](const auto& run) {
      if (now >= run.ends) {
        ended.push_back(run);
      }
      return now >= run.ends;
    });
    for (const auto& run : ended) {
      if (run.outcome == run_outcome::kUnreachable) {
        const auto& id = servers_[run.server].info.id;
        seen_[id] = {.server = id, .until = now + kUnreachableTtl};
      }
      dispatchers_[run.by]->End(host_id("h"), {run.ticket, run.outcome}, now);
      HandleGrants(run.by, now);
    }
  }

  auto Report(time_point now) -> void {
    if (now < report_at_) {
      return;
    }
    report_at_ = now + milliseconds(250);
    std::vector<held_slot> held;
    for (const auto& run : runs_) {
      held.push_back({run.ticket, servers_[run.server].info.id, run.work});
    }
    std::vector<cold_report> reports;
    for (const auto& [id, report] : seen_) {
      if (now < report.until && tells_reports_) {
        reports.push_back(report);
      }
    }
    for (std::size_t i = 0; i < dispatchers_.size(); ++i) {
      dispatchers_[i]->ReconcileHeldSlots(host_id("h"), held, now);
      dispatchers_[i]->RecordColdReports(reports, now);
    }
  }

  auto Ask(time_point now) -> void {
    const auto count = Number(0, 4);
    for (int i = 0; i < count; ++i) {
      const auto work =
          Number(0, 3) == 0 ? work_class::kBatch : work_class::kOnline;
      auto request = MakeRequest(++next_ticket_, work, now);
      request.takes_token = false;
      const auto chosen =
          dispatchers_.back()->IsReady(now)
              ? static_cast<std::size_t>(
                    Number(0, static_cast<int>(dispatchers_.size()) - 1))
              : 0;
      dispatchers_[chosen]->RequestSlot(request, {}, now);
      HandleGrants(chosen, now);
    }
  }

  auto HandleGrants(std::size_t by, time_point now) -> void {
    for (const auto& lost : dispatchers_[by]->DrainPreemptions()) {
      for (auto& run : runs_) {
        if (run.ticket == lost.ticket) {
          run.ends = now;
          run.outcome = run_outcome::kCancelled;
        }
      }
    }
    for (const auto& notice : dispatchers_[by]->DrainNotices()) {
      if (notice.answer.verdict != placement_verdict::kGranted) {
        continue;
      }
      const auto found =
          std::ranges::find_if(servers_, [&](const auto& server) {
            return server.info.id == notice.answer.server;
          });
      const auto index =
          static_cast<std::size_t>(std::distance(servers_.begin(), found));
      model_run run{.ticket = notice.ticket,
                    .server = index,
                    .by = by,
                    .ends = now + Between(100, 700)};
      if (now < found->down_until) {
        run.ends = now + Between(5, 50);
        run.outcome = run_outcome::kUnreachable;
      } else if (now < found->cold_until) {
        RecordColdStart(*found, now);
      }
      runs_.push_back(run);
    }
  }

  auto RecordColdStart(model_server& server, time_point now) -> void {
    auto& starts = server.starts;
    while (!starts.empty() && starts.front() <= now - seconds(1)) {
      starts.pop_front();
    }
    starts.push_back(now);
    ++cold_starts_;
    most_ = std::max(most_, starts.size());
  }

  std::mt19937_64 random_;
  cold_rates rates_;
  bool tells_reports_;
  std::vector<model_server> servers_;
  std::vector<model_record> records_;
  std::vector<model_run> runs_;
  std::vector<std::unique_ptr<dispatcher>> dispatchers_;  ///< Newest last.
  std::map<server_id, cold_report> seen_;
  time_point settled_at_;
  time_point report_at_ = Begin();
  std::uint64_t next_ticket_ = 0;
  std::size_t most_ = 0;
  std::size_t cold_starts_ = 0;
};

/** Runs of the model in which a cold server got too much, of `count`. */
auto BrokenRuns(const cold_rates& rates, bool tells_reports, unsigned count)
    -> unsigned {
  unsigned broken = 0;
  for (unsigned seed = 1; seed <= count; ++seed) {
    cold_model model(seed, rates, tells_reports);
    broken += model.Play(seconds(30)) > kMostPerSecond ? 1 : 0;
  }
  return broken;
}

/** Property: no cold server gets more than its rate allows. */
auto ColdServersKeepToTheirRate() -> bool {
  return rc::check("cold servers keep to their rate", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    cold_model model(seed, Rates(), true);
    const auto most = model.Play(seconds(30));
    RC_ASSERT(model.ColdStarts() > 0U);
    RC_ASSERT(most <= kMostPerSecond);
  });
}

/** Property: without a cold server, the same requests get the same answers as
 * without a declared rate. */
auto WarmServersAreUsedAsBefore() -> bool {
  return rc::check("warm servers are used as before", [] {
    const auto with = ReadyDispatcher(ServersOfTwo());
    const auto without = ReadyDispatcher(ServersOfTwo(), {});
    std::uint64_t ticket = 0;
    auto now = Begin();
    std::deque<ticket_id> running;
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 20));
      if (*rc::gen::inRange(0, 3) > 0) {
        const auto work =
            *rc::gen::element(work_class::kOnline, work_class::kBatch);
        const auto request = MakeRequest(++ticket, work, now);
        with->RequestSlot(request, {}, now);
        without->RequestSlot(request, {}, now);
      } else if (!running.empty()) {
        with->End(host_id("h"), {running.front()}, now);
        without->End(host_id("h"), {running.front()}, now);
        running.pop_front();
      }
      const auto expected = without->DrainNotices();
      const auto notices = with->DrainNotices();
      RC_ASSERT(notices.size() == expected.size());
      for (std::size_t i = 0; i < notices.size(); ++i) {
        RC_ASSERT(notices[i].ticket == expected[i].ticket);
        RC_ASSERT(notices[i].answer.verdict == expected[i].answer.verdict);
        RC_ASSERT(notices[i].answer.server == expected[i].answer.server);
        RC_ASSERT(notices[i].answer.retry_at == expected[i].answer.retry_at);
        if (notices[i].answer.verdict == placement_verdict::kGranted) {
          running.push_back(notices[i].ticket);
        }
      }
    }
  });
}

/** Property: while a warm server has a free slot, each request gets a slot,
 * whatever the cold servers have had. */
auto WarmCapacityIsUsed() -> bool {
  return rc::check("free slots of warm servers are used", [] {
    auto servers = ServersOfTwo();
    const auto cold = *rc::gen::inRange(1, static_cast<int>(kServers));
    for (int i = 0; i < cold; ++i) {
      servers[static_cast<std::size_t>(i)].cold_until = Begin() + seconds(60);
    }
    const auto to = ReadyDispatcher(servers);
    const auto warm_slots = (kServers - static_cast<unsigned>(cold)) * kSlots;
    const auto granted = Send(*to, warm_slots, Begin(), ticket_id(1));
    RC_ASSERT(granted.size() == warm_slots);
  });
}

}  // namespace

// Guards against a whole data centre that comes back cold and empty and gets
// all requests, also over changes of the dispatcher with two that decide.
Test(dispatch_cold, cold_servers_keep_to_their_rate) {
  cr_assert(ColdServersKeepToTheirRate());
}

// Guards against a model that would not notice: without a declared rate nearly
// all runs exceed it.
Test(dispatch_cold, model_breaks_without_the_rate) {
  cr_assert_gt(BrokenRuns({}, true, 20), 15);
}

// Guards against rates that change how warm servers are used.
Test(dispatch_cold, warm_servers_are_used_as_before) {
  cr_assert(WarmServersAreUsedAsBefore());
}

// Guards against requests that wait for cold servers while warm ones are free.
Test(dispatch_cold, warm_capacity_is_used) {
  cr_assert(WarmCapacityIsUsed());
}

// Guards against a burst on a server that was away: it is back, and cold,
// before its registration says so.
Test(dispatch_cold, server_that_was_away_is_cold_until_registered) {
  const auto to = ReadyDispatcher(Servers(1));
  auto now = Begin();
  const auto first = Send(*to, 1, now, ticket_id(1));
  cr_assert_eq(first.size(), 1);
  to->End(host_id("h"), {ticket_id(1), run_outcome::kUnreachable}, now);
  // It comes back late in the backoff, long after it was last tried.
  now += seconds(20);
  const auto later = Send(*to, 100, now, ticket_id(10));
  cr_assert_eq(later.size(), 5);
  for (const auto& [ticket, server] : later) {
    to->End(host_id("h"), {ticket}, now + milliseconds(100));
  }
  // Refuses those that wait.
  to->Stop();
  to->DrainNotices();
  // Its registration arrives.
  auto servers = Servers(1);
  servers[0].start = 2;
  servers[0].cold_until = now + seconds(30);
  now += seconds(3);
  to->SetServers(servers, Regions());
  to->Advance(now);
  to->Suspend(now - seconds(1));
  cr_assert_eq(Send(*to, 100, now, ticket_id(200)).size(), 5);
  const auto states = to->ColdServers(now + seconds(26));
  cr_assert_eq(states.size(), 1);
  cr_assert_eq(states[0].state.reason, cold_reason::kRegistered);
  cr_assert_eq(to->ColdServers(now + seconds(27)).size(), 0);
}

// Guards against a server that counts as warm at once after a restart that its
// requests did not notice.
Test(dispatch_cold, new_start_is_cold) {
  const auto to = ReadyDispatcher(Servers(1));
  auto servers = Servers(1);
  servers[0].start = 2;
  to->SetServers(servers, Regions());
  to->Advance(Begin());
  cr_assert_eq(to->ColdServers(Begin()).size(), 1);
  cr_assert_eq(to->ColdServers(Begin() + kSuspicionTime).size(), 0);
}

// Guards against a burst on the servers of a data centre whose evacuation ends.
Test(dispatch_cold, end_of_an_evacuation_is_cold) {
  const auto to = ReadyDispatcher(ServersOfTwo());
  to->SuspectCold(data_centre_id("b"), Begin());
  const auto states = to->ColdServers(Begin() + milliseconds(3400));
  cr_assert_eq(states.size(), kServers / 2);
  cr_assert_eq(states[0].state.reason, cold_reason::kEvacuated);
  cr_assert_eq(to->ColdServers(Begin() + kSuspicionTime).size(), 0);
}

// Guards against two dispatchers that each start the full rate within a second.
Test(dispatch_cold, new_dispatcher_starts_nothing_for_a_second) {
  auto servers = Servers(1);
  servers[0].cold_until = Begin() + seconds(60);
  dispatcher to(dispatch_policy(), 1);
  to.SetColdRates(Rates());
  to.SetServers(servers, Regions());
  to.Start(Begin());
  const auto ready = Begin() + dispatch_policy().warm_up;
  cr_assert_eq(Send(to, 9, ready + milliseconds(990), ticket_id(1)).size(), 0);
  to.Advance(ready + seconds(1));
  cr_assert_eq(Send(to, 9, ready + seconds(1), ticket_id(20)).size(), 5);
}

// Guards against a new dispatcher that does not know which servers its
// predecessor could not reach.
Test(dispatch_cold, new_dispatcher_learns_of_unreachable_servers) {
  const std::vector<cold_report> reports{
      {.server = server_id("s0"), .until = Begin() + seconds(7)}};
  dispatcher to(dispatch_policy(), 1);
  to.SetColdRates(Rates());
  to.SetServers(Servers(1), Regions());
  to.Start(Begin());
  to.RecordColdReports(reports, Begin() + milliseconds(100));
  cr_assert_eq(to.ColdServers(Begin() + seconds(6)).size(), 1);
  // Later it knows by itself.
  const auto settled = ReadyDispatcher(Servers(1));
  settled->RecordColdReports(reports, Begin());
  cr_assert_eq(settled->ColdServers(Begin()).size(), 0);
}

// Guards against requests that are refused although cold servers take them in
// time, and against ones that wait for slots which only seem to be free.
Test(dispatch_cold, expected_wait_counts_the_rate) {
  auto servers = Servers(1);
  servers[0].cold_until = Begin() + seconds(60);
  const auto to = ReadyDispatcher(servers);
  const auto granted = Send(*to, 5, Begin(), ticket_id(1));
  cr_assert_eq(granted.size(), 5);
  // Only one run is left, but the next start at 5 a second is due in 200 ms on
  // average.
  for (std::size_t i = 1; i < granted.size(); ++i) {
    to->End(host_id("h"), {granted[i].first}, Begin());
  }
  auto patient = MakeRequest(10, work_class::kOnline, Begin());
  patient.latest_on_time_start = Begin() + milliseconds(250);
  to->RequestSlot(patient, {}, Begin());
  cr_assert_eq(to->WaitingCount(work_class::kOnline), 1);
  auto hasty = MakeRequest(11, work_class::kOnline, Begin());
  hasty.latest_on_time_start = Begin() + milliseconds(250);
  to->RequestSlot(hasty, {}, Begin());
  const auto notices = to->DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].answer.verdict, placement_verdict::kNoCapacity);
  cr_assert_eq(to->DeferredColdStarts(), 2);
  to->Advance(Begin() + seconds(1));
  cr_assert_eq(to->DrainNotices().size(), 1);
}

// Guards against requests that wait for a server that became cold while it was
// busy: its slots become free soon, but it takes only one request a second.
Test(dispatch_cold, expected_wait_counts_no_slots_of_cold_servers) {
  const auto to =
      ReadyDispatcher(Servers(1), {{service_id("llm"), kColdPerS / 10}});
  cr_assert_eq(Send(*to, kSlots, Begin(), ticket_id(1)).size(), kSlots);
  auto servers = Servers(1);
  servers[0].cold_until = Begin() + seconds(60);
  to->SetServers(servers, Regions());
  // By its slots it would wait 100 ms.
  auto request = MakeRequest(10, work_class::kOnline, Begin());
  request.latest_on_time_start = Begin() + milliseconds(500);
  to->RequestSlot(request, {}, Begin());
  const auto notices = to->DrainNotices();
  cr_assert_eq(notices.size(), 1);
  cr_assert_eq(notices[0].answer.verdict, placement_verdict::kNoCapacity);
}

// Guards against hosts without a dispatcher that all send to a cold server.
Test(dispatch_cold, hosts_alone_send_nothing_to_cold_servers) {
  local_placement local(0.5, 1);
  local.SetColdRates(Rates());
  auto servers = Servers(2);
  servers[0].cold_until = Begin() + seconds(5);
  local.SetServers(servers, Regions());
  for (std::uint64_t i = 0; i < 30; ++i) {
    const auto answer = local.RequestSlot(
        MakeRequest(i, work_class::kOnline, Begin()), {}, Begin());
    cr_assert_eq(answer.verdict, placement_verdict::kGranted);
    cr_assert_eq(answer.server, server_id("s1"));
  }
  local.SuspectCold(data_centre_id("a"), Begin());
  const auto answer = local.RequestSlot(
      MakeRequest(99, work_class::kOnline, Begin()), {}, Begin());
  cr_assert_eq(answer.verdict, placement_verdict::kNoCapacity);
}

// Guards against all hosts that return to a server that may just have come
// back, while there is no dispatcher.
Test(dispatch_cold, hosts_alone_probe_at_the_rate) {
  constexpr std::size_t kHosts = 300;
  std::vector<std::unique_ptr<local_placement>> hosts;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<local_placement>(0.5, i));
    hosts.back()->SetColdRates(Rates());
    hosts.back()->SetServers(Servers(1), Regions());
    hosts.back()->SetHostCount(kHosts);
    hosts.back()->Pause(server_id("s0"), Begin() + milliseconds(500));
  }
  std::deque<time_point> starts;
  std::size_t total = 0;
  // By its second request of a host, its registration has arrived.
  for (auto now = Begin(); now < Begin() + seconds(119); now += kStep * 5) {
    while (!starts.empty() && starts.front() <= now - seconds(1)) {
      starts.pop_front();
    }
    for (auto& host : hosts) {
      const auto answer =
          host->RequestSlot(MakeRequest(1, work_class::kOnline, now), {}, now);
      if (answer.verdict == placement_verdict::kGranted) {
        starts.push_back(now);
        ++total;
      }
    }
    cr_assert_leq(starts.size(), kMostPerSecond);
  }
  cr_assert_geq(total, kHosts * 9 / 10);
}

// Guards against heartbeats that count as changes and are passed on to all
// hosts, and against an end that is missed: registrations of one cold time
// arrive with different delays.
Test(dispatch_cold, end_moves_only_with_its_meaning) {
  const auto now = Begin();
  // Warm servers stay warm.
  cr_assert_eq(ColdEnd(time_point(), time_point(), now), time_point());
  cr_assert_eq(ColdEnd(now - seconds(9), time_point(), now), now - seconds(9));
  const auto end = ColdEnd(time_point(), now + seconds(20), now);
  cr_assert_geq(end, now + seconds(20));
  // The same cold time, heard with less and with more delay.
  const auto later = now + seconds(2);
  cr_assert_eq(ColdEnd(end, now + seconds(20) - milliseconds(900), later), end);
  cr_assert_eq(ColdEnd(end, now + seconds(20) + milliseconds(400), later), end);
  // Warm a little earlier than expected.
  cr_assert_eq(ColdEnd(end, time_point(), now + seconds(19)), end);
  // Cold anew, and warm long before the end.
  cr_assert_geq(ColdEnd(end, now + seconds(30), now + seconds(10)),
                now + seconds(30));
  cr_assert_eq(ColdEnd(end, time_point(), now + seconds(10)), time_point());
}

}  // namespace dogwood::testing
