/** Tests of the dispatcher's ranking with and without learned speeds. */
#include <algorithm>
#include <random>
#include <set>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr unsigned kServers = 12;
constexpr std::uint32_t kEvents = 20;

auto MixedServers() -> std::vector<registered_server> {
  auto servers = Servers(kServers);
  for (unsigned i = 0; i < kServers; i += 3) {
    servers[i].data_centre = data_centre_id("b");
  }
  return servers;
}

auto IndexOf(const server_id& server) -> unsigned {
  return static_cast<unsigned>(std::stoul(server.value.substr(1)));
}

/** Report of a run on a server that takes `factor` times as long as usual. */
auto EndOf(std::uint64_t ticket, double factor) -> run_end_report {
  const auto span = [factor](int ms) {
    return milliseconds(static_cast<int>(ms * factor));
  };
  return {.ticket = ticket_id(ticket),
          .outcome = run_outcome::kComplete,
          .times = {span(100), span(650), kEvents}};
}

/** Plays a fixed sequence of requests, ends and reports; returns a hash of all
 * answers and preemptions. Uses no distribution of the standard library, whose
 * results are not the same everywhere. */
auto HashOfAnswers(dispatch_policy policy) -> std::uint64_t {
  std::mt19937_64 random(20261206);
  dispatcher d(policy, 7);
  d.SetServers(MixedServers(), Regions());
  d.Start(Begin() - seconds(1));
  std::vector<std::pair<std::uint64_t, unsigned>> running;
  std::uint64_t hash = 14695981039346656037U;
  const auto add = [&hash](std::uint64_t value) {
    hash = (hash ^ value) * 1099511628211U;
  };
  for (std::uint64_t i = 1; i <= 4000; ++i) {
    const auto now = Begin() + milliseconds(10 * i);
    auto request = MakeRequest(
        i, random() % 4 == 0 ? work_class::kBatch : work_class::kOnline, now);
    if (random() % 3 == 0) {
      request.place = {data_centre_id("b"), region_id("west")};
    }
    if (random() % 2 == 0) {
      const auto known = random() % kServers;
      request.connected = {server_id("s" + std::to_string(known))};
    }
    d.RequestSlot(request, {}, now);
    if (running.size() > 60 || random() % 3 == 0) {
      if (!running.empty()) {
        const auto at = random() % running.size();
        const auto [ticket, server] = running[at];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
        d.End(host_id("h"), EndOf(ticket, server % 2 == 0 ? 1 : 2), now);
      }
    }
    std::vector<held_slot> held;
    for (const auto& [ticket, server] : running) {
      held.push_back(
          {ticket_id(ticket), server_id("s" + std::to_string(server))});
    }
    d.ReconcileHeldSlots(host_id("h"), held, now);
    std::vector<server_count> told;
    for (unsigned s = 0; s < kServers; s += 2) {
      told.push_back({server_id("s" + std::to_string(s)),
                      static_cast<std::uint32_t>(random() % 4)});
      told.back().slowness_percent = s % 4 == 0 ? 250 : 60;
    }
    d.RecordReportedLoads(told, now);
    d.Advance(now);
    for (const auto& notice : d.DrainNotices()) {
      add(notice.ticket.value);
      add(static_cast<std::uint64_t>(notice.answer.verdict));
      if (notice.answer.verdict == placement_verdict::kGranted) {
        const auto server = IndexOf(notice.answer.server);
        add(server);
        running.emplace_back(notice.ticket.value, server);
      }
    }
    for (const auto& cut : d.DrainPreemptions()) {
      add(cut.ticket.value);
      std::erase_if(running, [&](const auto& run) {
        return run.first == cut.ticket.value;
      });
      d.End(host_id("h"),
            {.ticket = cut.ticket, .outcome = run_outcome::kCancelled}, now);
    }
    if (i % 100 == 0) {
      for (const auto& row :
           d.CountsNear({data_centre_id("a"), region_id("east")}, 200)) {
        add(IndexOf(row.server));
        add(row.count);
      }
    }
  }
  return hash;
}

/** Hash of the answers of the dispatcher as it was before speeds were learned
 * (commit 9637129), without times and figures in its input. */
constexpr std::uint64_t kFormerHash = 4816662458301257706U;

// Deployments that do not ask for the feature must see no change, whatever
// servers and hosts report.
Test(dispatch_speed_rank, is_unchanged_without_the_feature) {
  cr_assert_eq(HashOfAnswers({}), kFormerHash);
  // The sequence is one on which the feature has an effect.
  dispatch_policy policy;
  policy.speed.is_enabled = true;
  cr_assert_neq(HashOfAnswers(policy), kFormerHash);
}

/** A dispatcher that learns speeds, with `count` servers. */
class learning_dispatcher {
 public:
  explicit learning_dispatcher(unsigned count) : d_(Policy(), 7) {
    d_.SetServers(Servers(count), Regions());
    d_.Start(now_ - seconds(1));
  }

  auto Place(placement_request request) -> std::string {
    request.ticket = ticket_id(++ticket_);
    d_.ReconcileHeldSlots(host_id("h"), held_, now_);
    d_.RequestSlot(request, {}, now_);
    for (const auto& notice : d_.DrainNotices()) {
      if (notice.ticket == request.ticket &&
          notice.answer.verdict == placement_verdict::kGranted) {
        held_.push_back({request.ticket, notice.answer.server, request.work});
        return notice.answer.server.value;
      }
    }
    return "";
  }
  auto Place(work_class work) -> std::string {
    return Place(MakeRequest(0, work, now_));
  }
  /** Ends the latest run, on a server with this factor. */
  auto EndLatest(double factor) -> void {
    now_ += milliseconds(40);
    d_.End(host_id("h"), EndOf(held_.back().ticket.value, factor), now_);
    held_.pop_back();
  }
  /** Runs requests one after the other on all servers but those of factor 0.
   */
  auto Train(const std::vector<double>& factors, int rounds = 40) -> void {
    for (int round = 0; round < rounds; ++round) {
      for (unsigned i = 0; i < factors.size(); ++i) {
        if (factors[i] == 0) {
          continue;
        }
        auto request = MakeRequest(0, work_class::kOnline, now_);
        for (unsigned other = 0; other < factors.size(); ++other) {
          if (other != i) {
            request.avoided.emplace_back("s" + std::to_string(other));
          }
        }
        cr_assert_eq(Place(request), "s" + std::to_string(i));
        EndLatest(factors[i]);
      }
    }
  }
  auto Advance(duration time) -> void {
    now_ += time;
    d_.ReconcileHeldSlots(host_id("h"), held_, now_);
    d_.Advance(now_);
  }
  auto now() const -> time_point { return now_; }
  auto get() -> dispatcher& { return d_; }

 private:
  static auto Policy() -> dispatch_policy {
    dispatch_policy policy;
    policy.speed.is_enabled = true;
    return policy;
  }

  dispatcher d_;
  time_point now_ = Begin();
  std::uint64_t ticket_ = 0;
  std::vector<held_slot> held_;
};

// Guards against callers on slow servers while fast ones are free.
Test(dispatch_speed_rank, online_requests_go_to_fast_servers) {
  learning_dispatcher d(3);
  d.Train({1, 0.6, 1.6});
  cr_assert_eq(d.Place(work_class::kOnline), "s1");
  std::multiset<std::string> chosen;
  for (int i = 0; i < 8; ++i) {
    chosen.insert(d.Place(work_class::kOnline));
  }
  cr_assert_gt(chosen.count("s1"), chosen.count("s0"));
  cr_assert_geq(chosen.count("s0"), chosen.count("s2"));
}

// A server that misses the objectives under load must not be loaded beyond that
// while others have free slots, not even if these are farther away.
Test(dispatch_speed_rank, room_is_respected_while_others_are_free) {
  learning_dispatcher d(2);
  d.Train({1, 1});
  auto servers = Servers(2);
  servers[1].data_centre = data_centre_id("b");
  d.get().SetServers(servers, Regions());
  // The first event takes 100 ms on an empty server.
  auto request = MakeRequest(0, work_class::kOnline, d.now());
  request.objectives.first_event = milliseconds(200);
  std::vector<std::string> chosen;
  d.Place(request);
  d.EndLatest(1);
  d.Advance(milliseconds(200));
  for (int i = 0; i < 8; ++i) {
    chosen.push_back(d.Place(request));
  }
  const auto near = std::ranges::count(chosen, "s0");
  cr_assert(near >= 2 && near <= 6, "%td of 8", near);
  cr_assert_eq(chosen.front(), "s0");
  cr_assert_eq(std::ranges::count(chosen, "s1"), 8 - near);
  // Once all have reached their room, slots are used as before.
  for (int i = 0; i < 8; ++i) {
    cr_assert_neq(d.Place(request), "");
  }
}

// A server without runs would be unknown for good if nothing were sent there.
Test(dispatch_speed_rank, batch_items_probe_servers_of_old_estimates) {
  learning_dispatcher d(3);
  d.Train({1, 1, 1.6});
  for (int i = 0; i < 12; ++i) {
    d.Advance(seconds(1));
    d.Train({0, 1, 1.6}, 3);
  }
  // The estimate of s0 is old; s2 is the slowest of the others.
  cr_assert_eq(d.Place(work_class::kBatch), "s0");
  cr_assert_eq(d.Place(work_class::kBatch), "s2");
}

// Items on fast servers would take them from callers; items on slow servers
// must still be on time.
Test(dispatch_speed_rank, batch_items_go_to_slow_servers_if_on_time) {
  learning_dispatcher d(3);
  for (int i = 0; i < 3; ++i) {
    // Teaches the usual time of an item: 0.75 s.
    d.Place(work_class::kBatch);
    d.EndLatest(1);
  }
  d.Train({1, 0.6, 1.6});
  auto item = MakeRequest(0, work_class::kBatch, d.now());
  item.latest_on_time_start = d.now() + seconds(10);
  cr_assert_eq(d.Place(item), "s2");
  // Only a server faster than usual can still end it on time.
  item.latest_on_time_start = d.now() + milliseconds(550);
  cr_assert_eq(d.Place(item), "s1");
}

// Preempting a run on a slow server would place the caller there.
Test(dispatch_speed_rank, preempts_on_the_fastest_server) {
  learning_dispatcher d(3);
  d.Train({1, 0.6, 1.6});
  while (!d.Place(work_class::kBatch).empty()) {
  }
  for (int i = 0; i < 3; ++i) {
    d.Place(work_class::kOnline);
  }
  cr_assert_eq(d.Place(work_class::kOnline), "s1");
  cr_assert_eq(d.get().DrainPreemptions().size(), 1);
}

// Hosts that have no dispatcher, and the next dispatcher, know only these rows.
Test(dispatch_speed_rank, rows_for_hosts_carry_estimates) {
  learning_dispatcher d(3);
  d.Train({1, 0.6, 1.6});
  d.Advance(milliseconds(200));
  const host_location place{data_centre_id("a"), region_id("east")};
  const auto rows = d.get().CountsNear(place, 200);
  cr_assert_eq(rows.size(), 2);  // The typical server is unused.
  cr_assert_eq(rows[0].server.value, "s1");
  cr_assert(rows[0].slowness_percent > 50 && rows[0].slowness_percent < 75);
  cr_assert_eq(rows[1].server.value, "s2");
  cr_assert(rows[1].slowness_percent > 135 && rows[1].slowness_percent < 180);
  cr_assert_eq(d.get().CountsNear(place, 1).size(), 1);

  // Rows of servers in use come first, and carry estimates too.
  cr_assert_eq(d.Place(work_class::kOnline), "s1");
  const auto used = d.get().CountsNear(place, 1);
  cr_assert_eq(used[0].count, 1);
  cr_assert_eq(used[0].slowness_percent, rows[0].slowness_percent);

  learning_dispatcher next(3);
  next.get().AdoptSpeeds(rows, next.now());
  cr_assert_eq(next.Place(work_class::kOnline), "s1");

  local_placement local(1, 1);
  local.SetServers(Servers(3), Regions());
  local.SetCounts(rows, Begin() + seconds(2));
  const auto answer = local.RequestSlot(
      MakeRequest(1, work_class::kOnline, Begin()), {}, Begin());
  cr_assert_eq(answer.server.value, "s1");
}

}  // namespace
}  // namespace dogwood::testing
