/** Tests of the load tool's arrivals, judge, reader and histograms. */
#include <rapidcheck.h>

#include <algorithm>

#include "src/load_func.h"
#include "src/load_report.h"
#include "src/load_stream.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using dogwood::run_time;

/** A plan of one workspace with a burst of three times the rate. */
auto PlanWithBurst(std::uint64_t seed) -> dogwood::load_plan {
  dogwood::load_plan plan;
  plan.seed = seed;
  plan.length = run_time(100);
  dogwood::load_workspace w;
  w.workspace.value = "w";
  w.rate_per_s = 20;
  w.windows = {{run_time(10), run_time(20), 3},
               {run_time(50), run_time(60), 0}};
  plan.workspaces.push_back(w);
  return plan;
}

/** Arrivals within a window. */
auto CountIn(const std::vector<dogwood::load_arrival>& arrivals,
             double from,
             double to) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(arrivals.begin(), arrivals.end(), [=](const auto& a) {
        return from <= a.at.count() && a.at.count() < to;
      }));
}

/** Whether every cut of a stream into two gives the same tokens. */
auto CutsAgree(const std::string& stream) -> bool {
  dogwood::token_reader whole;
  const auto tokens = whole.Take(stream);
  const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
  dogwood::token_reader parts;
  const auto first = parts.Take(stream.substr(0, cut));
  const auto second = parts.Take(stream.substr(cut));
  return first + second == tokens && parts.Text() == whole.Text() &&
         parts.IsDone() == whole.IsDone();
}

}  // namespace

// Guards against runs that cannot be repeated, and against windows that have
// no effect on the rate.
Test(load, arrivals_follow_seed_and_windows) {
  const auto arrivals = dogwood::ArrivalsOf(PlanWithBurst(7));
  const auto again = dogwood::ArrivalsOf(PlanWithBurst(7));
  cr_assert_eq(arrivals.size(), again.size());
  cr_assert(arrivals.back().at == again.back().at);
  cr_assert(arrivals.back().at !=
            dogwood::ArrivalsOf(PlanWithBurst(8)).back().at);
  cr_assert_eq(CountIn(arrivals, 50, 60), 0);
  // 600 and 200 expected; five standard deviations are 122 and 71.
  cr_assert(CountIn(arrivals, 10, 20) > 478);
  cr_assert(CountIn(arrivals, 10, 20) < 722);
  cr_assert(CountIn(arrivals, 20, 30) > 129);
  cr_assert(CountIn(arrivals, 20, 30) < 271);
}

// Guards against counting a refusal as within the rate when the callers sent
// more than burst + rate * T in some interval T.
Test(load, judged_requests_stay_within_rate_and_burst) {
  rc::check([] {
    const auto gaps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 200U));
    dogwood::rate_judge judge(10, 5);
    std::vector<double> within;
    double at = 0;
    for (const auto gap : gaps) {
      at += gap / 1000.0;
      if (judge.Note(run_time(at))) {
        within.push_back(at);
      }
    }
    for (std::size_t i = 0; i < within.size(); ++i) {
      for (std::size_t j = i; j < within.size(); ++j) {
        const auto most = 5 + 10 * (within[j] - within[i]) + 1e-6;
        RC_ASSERT(static_cast<double>(j - i + 1) <= most);
      }
    }
  });
}

// Guards against tokens lost or counted twice where reads cut an event.
Test(load, cut_events_are_read_whole) {
  const std::string stream =
      "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
      "data: {\"choices\":[{\"text\":\" b\"}]}\n\n"
      "data: {\"choices\":[{\"text\":\"\"}]}\n\ndata: [DONE]\n\n";
  dogwood::token_reader reader;
  cr_assert_eq(reader.Take(stream), 2);
  cr_assert(reader.Text() == "a b");
  cr_assert(reader.IsDone());
  rc::check([&] { RC_ASSERT(CutsAgree(stream)); });
}

// Guards against quantiles that are off by more than a bin.
Test(load, quantiles_are_within_a_bin) {
  dogwood::time_histogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i);
  }
  cr_assert(histogram.Quantile(0.5) > 485);
  cr_assert(histogram.Quantile(0.5) < 520);
  cr_assert(histogram.Quantile(0.99) > 960);
  cr_assert(histogram.Quantile(0.99) < 1030);
}
