/** Placement with and without learned speeds, on a simulated deployment: 60
 * servers whose speeds differ and change, under a square wave of online
 * requests and a steady stream of batch items. */
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr unsigned kServers = 60;
constexpr milliseconds kStep{5};
constexpr double kStepSeconds = 0.005;
/** Beginning of the run whose figures are not counted. */
constexpr seconds kWarmUp{6};
constexpr milliseconds kHighTime{2400};
constexpr milliseconds kLowTime{3400};
constexpr double kMeanRate = 275;
constexpr double kHighShare = 1.87;
constexpr double kLowShare = 0.38;
constexpr double kBatchRate = 34;
/** Typical times of runs on an empty server. */
constexpr double kFirstSeconds = 0.1;
constexpr double kOnlineSeconds = 0.75;
constexpr std::uint32_t kOnlineEvents = 20;
constexpr double kBatchSeconds = 5;
constexpr std::uint32_t kBatchEvents = 137;
/** Relative increase of all times with each other request on a server. */
constexpr double kRise = 0.03;
constexpr milliseconds kSlowInterval{600};
constexpr double kSlowShare = 0.15;
constexpr double kSlowFactor = 2.5;
constexpr milliseconds kReportInterval{250};
constexpr milliseconds kFirstObjective{300};
constexpr seconds kBatchDue{18};

auto SecondsOf(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/** What the callers of one simulation have seen. */
struct replay_result {
  std::vector<double> run_seconds;  ///< Of online runs.
  std::size_t on_time = 0;          ///< Online, first event within objective.
  std::size_t offered = 0;          ///< Online requests.
  std::size_t refused = 0;
  std::size_t items_done = 0;
  std::size_t items_late = 0;

  auto Mean() const -> double {
    double sum = 0;
    for (const auto s : run_seconds) {
      sum += s;
    }
    return sum / static_cast<double>(run_seconds.size());
  }
  auto Percentile99() -> double {
    const auto at = run_seconds.begin() +
                    static_cast<std::ptrdiff_t>(run_seconds.size() * 99 / 100);
    std::nth_element(run_seconds.begin(), at, run_seconds.end());
    return *at;
  }
};

class replay {
 public:
  replay(std::uint64_t seed, const std::vector<double>& speeds, bool learns)
      : random_(seed), dispatcher_(PolicyOf(learns), seed) {
    for (unsigned i = 0; i < kServers; ++i) {
      servers_.push_back({.speed = speeds[i % speeds.size()]});
    }
    dispatcher_.SetServers(Servers(kServers), Regions());
    dispatcher_.Start(now_ - seconds(1));
  }

  auto Run(seconds time) -> replay_result {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      DrawSlowServers();
      Report();
      Arrive();
      Work();
      dispatcher_.Advance(now_);
      Deliver();
    }
    return std::move(result_);
  }

 private:
  struct server {
    double speed = 1;
    bool is_slow = false;
    unsigned running = 0;
  };
  struct job {
    ticket_id ticket;
    work_class work = work_class::kOnline;
    time_point arrived;
    time_point started;
    time_point first_event;
    unsigned server = 0;
    double done = 0;     ///< Typical seconds.
    double resumed = 0;  ///< Part of `done` before this run.
    bool is_running = false;
  };

  static auto PolicyOf(bool learns) -> dispatch_policy {
    dispatch_policy policy;
    policy.speed.is_enabled = learns;
    return policy;
  }

  auto IsCounted(const job& j) const -> bool {
    return j.arrived >= Begin() + kWarmUp;
  }

  auto DrawSlowServers() -> void {
    if (now_ < redraw_at_) {
      return;
    }
    redraw_at_ = now_ + kSlowInterval;
    for (auto& s : servers_) {
      s.is_slow = std::bernoulli_distribution(kSlowShare)(random_);
    }
  }

  auto Report() -> void {
    if (now_ < report_at_) {
      return;
    }
    report_at_ = now_ + kReportInterval;
    std::vector<held_slot> held;
    for (const auto& j : jobs_) {
      if (j.is_running) {
        held.push_back({j.ticket, IdOf(j.server), j.work});
      }
    }
    dispatcher_.ReconcileHeldSlots(host_id("h"), held, now_);
    std::vector<server_count> loads;
    for (unsigned i = 0; i < kServers; ++i) {
      if (servers_[i].running > 0) {
        loads.push_back({IdOf(i), servers_[i].running,
                         servers_[i].is_slow ? 250U : 100U, milliseconds(50)});
      }
    }
    dispatcher_.RecordReportedLoads(loads, now_);
  }

  auto Arrive() -> void {
    const auto phase = (now_ - Begin()) % (kHighTime + kLowTime);
    const auto share = phase < kHighTime ? kHighShare : kLowShare;
    using arrivals = std::poisson_distribution<unsigned>;
    for (auto n = arrivals(kMeanRate * share * kStepSeconds)(random_); n > 0;
         --n) {
      Request(NewJob(work_class::kOnline, now_));
    }
    for (auto n = arrivals(kBatchRate * kStepSeconds)(random_); n > 0; --n) {
      Request(NewJob(work_class::kBatch, now_));
    }
  }

  static auto NewJob(work_class work, time_point arrived) -> job {
    job j;
    j.work = work;
    j.arrived = arrived;
    return j;
  }

  auto Request(job j) -> void {
    j.ticket = ticket_id(++next_ticket_);
    const bool is_online = j.work == work_class::kOnline;
    result_.offered += is_online && IsCounted(j) ? 1 : 0;
    auto request = MakeRequest(j.ticket.value, j.work, now_);
    request.takes_token = false;
    request.objectives = {kFirstObjective, milliseconds(600)};
    if (!is_online) {
      request.latest_on_time_start = j.arrived + kBatchDue;
      request.latest_start = now_ + seconds(60);
    }
    jobs_.push_back(j);
    dispatcher_.RequestSlot(request, {}, now_);
  }

  auto Deliver() -> void {
    std::vector<job> again;
    for (const auto& notice : dispatcher_.DrainNotices()) {
      const auto found = std::ranges::find(jobs_, notice.ticket, &job::ticket);
      if (found == jobs_.end()) {
        continue;
      }
      if (notice.answer.verdict == placement_verdict::kGranted) {
        found->server = static_cast<unsigned>(
            std::atoi(notice.answer.server.value.c_str() + 1));
        found->is_running = true;
        found->started = now_;
        ++servers_[found->server].running;
      } else {
        result_.refused += IsCounted(*found) ? 1 : 0;
        jobs_.erase(found);
      }
    }
    for (const auto& cut : dispatcher_.DrainPreemptions()) {
      const auto found = std::ranges::find(jobs_, cut.ticket, &job::ticket);
      if (found != jobs_.end()) {
        again.push_back(*found);
        End(*found, run_outcome::kCancelled);
        jobs_.erase(found);
      }
    }
    for (const auto& j : again) {
      // Items resume where they were preempted, but read their prompt again.
      auto rest = NewJob(j.work, j.arrived);
      rest.done = rest.resumed = std::max(0.0, j.done - kFirstSeconds);
      Request(rest);
    }
    if (!again.empty()) {
      Deliver();
    }
  }

  auto End(const job& j, run_outcome outcome) -> void {
    --servers_[j.server].running;
    const bool is_online = j.work == work_class::kOnline;
    const auto events =
        is_online ? kOnlineEvents
                  : static_cast<std::uint32_t>(kBatchEvents *
                                               (1 - j.resumed / kBatchSeconds));
    dispatcher_.End(host_id("h"),
                    {.ticket = j.ticket,
                     .outcome = outcome,
                     .times = {.first_event = j.first_event - j.started,
                               .events = now_ - j.first_event,
                               .event_count = events}},
                    now_);
  }

  auto Work() -> void {
    std::vector<job> ended;
    for (auto& j : jobs_) {
      if (!j.is_running) {
        continue;
      }
      const auto& s = servers_[j.server];
      j.done += kStepSeconds / (s.speed * (s.is_slow ? kSlowFactor : 1) *
                                (1 + kRise * (s.running - 1)));
      if (j.first_event == time_point() &&
          j.done >= j.resumed + kFirstSeconds) {
        j.first_event = now_;
      }
      const bool is_online = j.work == work_class::kOnline;
      const auto whole = is_online ? kOnlineSeconds : kBatchSeconds;
      if (j.first_event != time_point() && j.done >= whole) {
        ended.push_back(j);
      }
    }
    for (const auto& j : ended) {
      std::erase_if(jobs_, [&](const job& o) { return o.ticket == j.ticket; });
      if (IsCounted(j)) {
        Count(j);
      }
      End(j, run_outcome::kComplete);
    }
  }

  auto Count(const job& j) -> void {
    if (j.work == work_class::kOnline) {
      result_.run_seconds.push_back(SecondsOf(now_ - j.started));
      result_.on_time += j.first_event - j.arrived <= kFirstObjective ? 1 : 0;
    } else {
      ++result_.items_done;
      result_.items_late += now_ - j.arrived > kBatchDue ? 1 : 0;
    }
  }

  static auto IdOf(unsigned i) -> server_id {
    return server_id("s" + std::to_string(i));
  }

  std::mt19937_64 random_;
  dispatcher dispatcher_;
  time_point now_ = Begin();
  time_point redraw_at_;
  time_point report_at_;
  std::vector<server> servers_;
  std::vector<job> jobs_;
  std::uint64_t next_ticket_ = 0;
  replay_result result_;
};

/** Runs both variants and prints their figures. */
auto Compare(const char* name, std::uint64_t seed, std::vector<double> speeds)
    -> std::pair<replay_result, replay_result> {
  std::pair results(replay(seed, speeds, false).Run(seconds(40)),
                    replay(seed, speeds, true).Run(seconds(40)));
  const auto print = [&](const char* variant, replay_result& r) {
    std::printf(
        "%s seed %llu %s: run mean %.3f s, p99 %.3f s; online %zu, on time "
        "%zu, refused %zu; items %zu, late %zu\n",
        name, static_cast<unsigned long long>(seed), variant, r.Mean(),
        r.Percentile99(), r.offered, r.on_time, r.refused, r.items_done,
        r.items_late);
  };
  print("without", results.first);
  print("with", results.second);
  return results;
}

// Guards against estimates that do not help, or harm, under the load that they
// are made for.
Test(dispatch_speed_replay, square_wave_is_served_faster) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    auto [without, with] = Compare("three speeds", seed, {0.6, 1.0, 1.6});
    cr_expect_lt(with.Mean(), 0.95 * without.Mean());
    cr_expect_lt(with.Percentile99(), without.Percentile99());
    cr_expect_geq(with.on_time, without.on_time);
    cr_expect_leq(with.refused, without.refused);
  }
}

// The same on servers that hardly differ, where there is less to gain.
Test(dispatch_speed_replay, two_speeds_are_not_served_worse) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    auto [without, with] = Compare("two speeds", seed, {1.0, 1.0, 1.3});
    cr_expect_leq(with.Mean(), without.Mean());
    cr_expect_geq(with.on_time, without.on_time);
  }
}

}  // namespace
}  // namespace dogwood::testing
