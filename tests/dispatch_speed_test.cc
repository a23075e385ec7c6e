/** Tests of the estimates of the servers' speeds, on a simple model of servers.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr double kFirstSeconds = 0.1;
constexpr double kGapSeconds = 0.035;
constexpr std::uint32_t kEvents = 20;
/** Relative increase of all times with each other request on a server. */
constexpr double kRise = 0.08;
constexpr unsigned kServers = 30;
constexpr milliseconds kStep{10};

auto Span(double seconds) -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

auto IdOf(unsigned i) -> server_id {
  return server_id("s" + std::to_string(i));
}

/** Servers that run a request now and then; the load on each is drawn at
 * random, and the times of a run vary by `noise`. */
class sampled_servers {
 public:
  sampled_servers(std::uint64_t seed, speed_policy policy, double noise)
      : speeds_(policy), random_(seed), noise_(0, noise) {
    speeds_.SetServers(Servers(kServers));
    factors_.assign(kServers, 1);
    told_.assign(kServers, 0);
    rates_.assign(kServers, 5);
    speeds_.Refresh(now_);
  }

  auto SetFactor(unsigned server, double factor) -> void {
    factors_[server] = factor;
  }
  /** The server reports this figure from now on; 0: none. */
  auto SetTold(unsigned server, std::uint32_t percent) -> void {
    told_[server] = percent;
  }
  /** Runs that begin each second on a server. */
  auto SetRate(unsigned server, double per_s) -> void {
    rates_[server] = per_s;
  }

  /** Lets time pass. */
  auto Run(duration time) -> void {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      const auto step = std::chrono::duration<double>(kStep).count();
      for (unsigned i = 0; i < kServers; ++i) {
        if (told_[i] > 0) {
          speeds_.RecordTold(IdOf(i), told_[i], milliseconds(50), now_);
        }
        if (std::bernoulli_distribution(rates_[i] * step)(random_)) {
          Start(i);
        }
      }
      std::erase_if(runs_, [&](const run& r) {
        const bool is_over = now_ >= r.end;
        if (is_over) {
          speeds_.RecordRun(r.server, r.start, r.times, work_class::kOnline,
                            now_);
        }
        return is_over;
      });
      speeds_.Refresh(now_);
    }
  }

  auto Factor(unsigned server) const -> double {
    return speeds_.ExpectedFactor(IdOf(server), 0);
  }
  auto LargestChange() const -> double {
    double most = 0;
    for (unsigned i = 0; i < kServers; ++i) {
      most = std::max(most, std::abs(std::log(Factor(i))));
    }
    return std::exp(most);
  }
  auto speeds() -> server_speeds& { return speeds_; }
  auto now() const -> time_point { return now_; }

 private:
  struct run {
    server_id server;
    run_start start;
    stream_times times;
    time_point end;
  };

  auto Start(unsigned i) -> void {
    const auto load =
        std::uniform_int_distribution<std::uint32_t>(0, kSlots - 1)(random_);
    const auto factor = factors_[i] * (1 + kRise * load);
    const auto first = kFirstSeconds * factor * std::exp(noise_(random_));
    const auto events =
        kGapSeconds * (kEvents - 1) * factor * std::exp(noise_(random_));
    runs_.push_back({IdOf(i),
                     speeds_.BeginRun(IdOf(i), load, now_),
                     {Span(first), Span(events), kEvents},
                     now_ + Span(first + events)});
  }

  server_speeds speeds_;
  std::mt19937_64 random_;
  std::normal_distribution<double> noise_;
  time_point now_ = Begin();
  std::vector<double> factors_;
  std::vector<std::uint32_t> told_;
  std::vector<double> rates_;
  std::vector<run> runs_;
};

auto IsWithinFifth(double found, double actual) -> bool {
  return found < actual * 1.2 && found > actual / 1.2;
}

// Guards against estimates that are too slow or too damped to be of use.
Test(dispatch_speed, finds_factors_within_three_seconds) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.1);
    const std::array<double, 3> factors{0.6, 1.0, 1.6};
    for (unsigned i = 0; i < kServers; ++i) {
      servers.SetFactor(i, factors[i % 3]);
    }
    servers.Run(seconds(3) + milliseconds(800));
    unsigned right = 0;
    for (unsigned i = 0; i < kServers; ++i) {
      right += IsWithinFifth(servers.Factor(i), factors[i % 3]) ? 1 : 0;
    }
    // A server may have had only a few runs by then.
    RC_ASSERT(right >= kServers - 2);
    servers.Run(seconds(4));
    for (unsigned i = 0; i < kServers; ++i) {
      RC_ASSERT(IsWithinFifth(servers.Factor(i), factors[i % 3]));
    }
  });
  cr_assert(ok);
}

// Guards against a slow server that goes on getting requests, and against one
// that gets none for long after it has recovered.
Test(dispatch_speed, follows_a_slowdown_that_the_server_reports) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.1);
    for (unsigned i = 0; i < kServers; ++i) {
      servers.SetTold(i, 100);
    }
    servers.Run(seconds(5));
    servers.SetFactor(0, 2.5);
    servers.SetTold(0, 250);
    servers.Run(seconds(1));
    RC_ASSERT(servers.Factor(0) > 1.7);
    servers.Run(seconds(4));
    // Runs and figure agree; they must not be counted twice.
    RC_ASSERT(IsWithinFifth(servers.Factor(0), 2.5));
    servers.SetFactor(0, 1);
    servers.SetTold(0, 100);
    servers.Run(seconds(5));
    RC_ASSERT(servers.Factor(0) < 1.25);
  });
  cr_assert(ok);
}

// The same for servers that report nothing: runs must be enough.
Test(dispatch_speed, follows_a_slowdown_from_runs_alone) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.1);
    servers.Run(seconds(5));
    servers.SetFactor(0, 2.5);
    // Runs that began since have ended after 3 s; some servers have few.
    servers.Run(seconds(9));
    RC_ASSERT(servers.Factor(0) > 1.5);
    servers.SetFactor(0, 1);
    servers.Run(seconds(10));
    RC_ASSERT(servers.Factor(0) < 1.25);
  });
  cr_assert(ok);
}

// A server whose figure does not match its runs must not keep requests away
// from itself, or draw them: its runs correct the figure.
Test(dispatch_speed, runs_correct_a_wrong_figure) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.1);
    for (unsigned i = 0; i < kServers; ++i) {
      servers.SetTold(i, 100);
    }
    servers.SetTold(0, 900);
    servers.SetTold(1, 1);
    servers.Run(seconds(15));
    RC_ASSERT(IsWithinFifth(servers.Factor(0), 1));
    RC_ASSERT(IsWithinFifth(servers.Factor(1), 1));
  });
  cr_assert(ok);
}

// Guards against ranking by chance: all servers are equal here. The noise is
// 15 in 100 of each time, in addition to the effect of a load that is drawn at
// random.
Test(dispatch_speed, noise_moves_no_factor_by_more_than_a_fifth) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.15);
    for (int i = 0; i < 20; ++i) {
      servers.Run(milliseconds(500));
      RC_ASSERT(servers.LargestChange() < 1.2);
    }
  });
  cr_assert(ok);
}

// Guards against load taken for a fault of each server: requests would then go
// to those that have ended no run since.
Test(dispatch_speed, all_slow_at_once_changes_no_ranking) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.05);
    servers.Run(seconds(5));
    for (unsigned i = 0; i < kServers; ++i) {
      servers.SetFactor(i, 2.5);
    }
    for (int i = 0; i < 20; ++i) {
      servers.Run(milliseconds(500));
      RC_ASSERT(servers.LargestChange() < 1.3);
    }
    RC_ASSERT(servers.LargestChange() < 1.2);
  });
  cr_assert(ok);
}

// A restart may have cured the server: the estimate of its predecessor must not
// keep requests away, not even by runs that began before.
Test(dispatch_speed, restarted_server_begins_anew) {
  sampled_servers servers(1, {}, 0.1);
  servers.SetFactor(0, 2.5);
  servers.Run(seconds(6));
  cr_assert_gt(servers.Factor(0), 1.7);
  const auto before = servers.speeds().BeginRun(IdOf(0), 0, servers.now());
  auto list = Servers(kServers);
  list[0].start = 2;
  servers.speeds().SetServers(list);
  servers.speeds().RecordRun(IdOf(0), before, {Span(1), Span(5), kEvents},
                             work_class::kOnline,
                             servers.now() + milliseconds(50));
  servers.speeds().Refresh(servers.now() + milliseconds(200));
  cr_assert_float_eq(servers.Factor(0), 1, 1e-9);
}

// A server that gets nothing because it was slow must be tried again.
Test(dispatch_speed, quiet_server_is_tried_again) {
  const bool ok = rc::check([] {
    sampled_servers servers(*rc::gen::arbitrary<std::uint64_t>(), {}, 0.1);
    servers.SetFactor(0, 2.5);
    servers.Run(seconds(6));
    RC_ASSERT(servers.Factor(0) > 1.7);
    servers.SetRate(0, 0);
    servers.Run(seconds(15));
    RC_ASSERT(servers.Factor(0) < 1.2);
    RC_ASSERT(servers.speeds().Find(IdOf(0))->is_stale);
  });
  cr_assert(ok);
}

// Guards against a server that is loaded beyond what it can do on time, and
// against one that gets nothing at all.
Test(dispatch_speed, room_follows_speed_and_load) {
  sampled_servers servers(3, {}, 0.1);
  servers.SetFactor(0, 0.6);
  servers.SetFactor(1, 6);
  servers.Run(seconds(20));
  auto& speeds = servers.speeds();
  const answer_objectives objectives{.first_event = milliseconds(200),
                                     .event_gap = milliseconds(600)};
  cr_assert_eq(speeds.RoomWithin(IdOf(0), objectives), kSlots);
  cr_assert_eq(speeds.RoomWithin(IdOf(1), objectives), 1);
  // 0.1 s x (1 + 0.08 n) is within 0.7 x 0.2 s up to n = 5.
  const auto room = speeds.RoomWithin(IdOf(2), objectives);
  cr_assert(room >= 4 && room <= 7, "room %u", room);
  cr_assert_eq(speeds.RoomWithin(IdOf(2), {}), kSlots);
  cr_assert_eq(speeds.Find(IdOf(1))->room, kSlots);
  speeds.RecordObjectives(service_id("llm"), objectives, servers.now());
  speeds.Refresh(servers.now() + seconds(1));
  cr_assert_eq(speeds.Find(IdOf(1))->room, 1);
}

// A new dispatcher must not begin without what the former one knew.
Test(dispatch_speed, estimates_are_taken_over) {
  sampled_servers former(5, {}, 0.1);
  former.SetFactor(0, 1.6);
  former.Run(seconds(10));
  server_speeds next({});
  next.SetServers(Servers(kServers));
  for (unsigned i = 0; i < kServers; ++i) {
    next.Adopt(IdOf(i), former.speeds().Find(IdOf(i))->percent, Begin());
  }
  next.Refresh(Begin());
  cr_assert(IsWithinFifth(next.ExpectedFactor(IdOf(0), 0), 1.6));
  next.Refresh(Begin() + seconds(15));
  cr_assert_lt(next.ExpectedFactor(IdOf(0), 0), 1.1);
}

// Log lines of a server that changes all the time must stay few.
Test(dispatch_speed, changes_are_reported_at_most_every_five_seconds) {
  sampled_servers servers(7, {}, 0.1);
  servers.Run(seconds(5));
  std::size_t changes = 0;
  for (int i = 0; i < 10; ++i) {
    servers.SetFactor(0, i % 2 == 0 ? 6 : 0.3);
    servers.Run(seconds(3));
    for (const auto& change : servers.speeds().DrainChanges()) {
      changes += change.server == IdOf(0) ? 1 : 0;
    }
  }
  cr_assert(changes >= 2 && changes <= 6, "%zu changes", changes);
}

}  // namespace
}  // namespace dogwood::testing
