/** Tests of the load generator: arrivals, rate checker, token reader and
 * histograms. */
#include <rapidcheck.h>

#include <algorithm>

#include "src/load_func.h"
#include "src/load_report.h"
#include "src/load_stream.h"

// Included last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using dogwood::run_time;

/** Returns a plan of one workspace with a burst of three times the rate and an
 * idle window. */
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

/** Counts the arrivals within a window, in seconds. */
auto CountIn(const std::vector<dogwood::load_arrival>& arrivals,
             double from,
             double to) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(arrivals.begin(), arrivals.end(), [=](const auto& a) {
        return from <= a.at.count() && a.at.count() < to;
      }));
}

/** Returns whether a stream split at a random position gives the same tokens as
 * the unsplit stream. */
auto SplitReadsAgree(const std::string& stream) -> bool {
  dogwood::token_reader unsplit;
  const auto tokens = unsplit.HandleData(stream);
  const auto split_at = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
  dogwood::token_reader split;
  const auto first = split.HandleData(stream.substr(0, split_at));
  const auto second = split.HandleData(stream.substr(split_at));
  return first + second == tokens && split.Text() == unsplit.Text() &&
         split.IsDone() == unsplit.IsDone();
}

}  // namespace

// Guards against runs that are not reproducible from their seed, and against
// windows that do not affect the rate.
Test(load, arrivals_follow_seed_and_windows) {
  const auto arrivals = dogwood::ArrivalsOf(PlanWithBurst(7));
  const auto again = dogwood::ArrivalsOf(PlanWithBurst(7));
  cr_assert_eq(arrivals.size(), again.size());
  cr_assert(arrivals.back().at == again.back().at);
  cr_assert(arrivals.back().at !=
            dogwood::ArrivalsOf(PlanWithBurst(8)).back().at);
  cr_assert_eq(CountIn(arrivals, 50, 60), 0);
  // Expected are 600 and 200; five standard deviations are 122 and 71.
  cr_assert(CountIn(arrivals, 10, 20) > 478);
  cr_assert(CountIn(arrivals, 10, 20) < 722);
  cr_assert(CountIn(arrivals, 20, 30) > 129);
  cr_assert(CountIn(arrivals, 20, 30) < 271);
}

// Guards against counting requests as within the rate although the callers sent
// more than burst + rate * T in some interval T.
Test(load, requests_counted_within_rate_stay_within_rate_and_burst) {
  rc::check([] {
    const auto gaps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 200U));
    dogwood::rate_checker checker(10, 5);
    std::vector<double> within;
    double at = 0;
    for (const auto gap : gaps) {
      at += gap / 1000.0;
      if (checker.RecordRequest(run_time(at))) {
        within.push_back(at);
      }
    }
    for (std::size_t i = 0; i < within.size(); ++i) {
      for (std::size_t j = i; j < within.size(); ++j) {
        const auto bound = 5 + 10 * (within[j] - within[i]) + 1e-6;
        RC_ASSERT(static_cast<double>(j - i + 1) <= bound);
      }
    }
  });
}

// Guards against tokens that are lost or counted twice when an event is split
// across reads.
Test(load, split_events_are_read_completely) {
  const std::string stream =
      "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
      "data: {\"choices\":[{\"text\":\" b\"}]}\n\n"
      "data: {\"choices\":[{\"text\":\"\"}]}\n\ndata: [DONE]\n\n";
  dogwood::token_reader reader;
  cr_assert_eq(reader.HandleData(stream), 2);
  cr_assert(reader.Text() == "a b");
  cr_assert(reader.IsDone());
  rc::check([&] { RC_ASSERT(SplitReadsAgree(stream)); });
}

// Guards against quantiles with an error of more than one bin.
Test(load, quantile_error_is_within_one_bin) {
  dogwood::time_histogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(i);
  }
  cr_assert(histogram.Quantile(0.5) > 485);
  cr_assert(histogram.Quantile(0.5) < 520);
  cr_assert(histogram.Quantile(0.99) > 960);
  cr_assert(histogram.Quantile(0.99) < 1030);
}
