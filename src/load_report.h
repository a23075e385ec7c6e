/** Statistics and report of a load run. */
#ifndef SRC_LOAD_REPORT_H_
#define SRC_LOAD_REPORT_H_

#include <boost/histogram.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/load_type.h"

namespace dogwood {

/** Histogram of durations with bins about 3% wide from 0.05 ms to 200 s.
 * Values outside this range are counted in the first or last bin. */
class time_histogram {
 public:
  time_histogram();
  auto Add(double ms) -> void;
  auto Merge(const time_histogram& other) -> void;
  /** Returns the quantile `share` (0 to 1) as the upper edge, in ms, of the bin
   * that contains it; 0 if the histogram is empty. */
  auto Quantile(double share) const -> double;
  /** Returns {"count","p50_ms","p95_ms","p99_ms"}. */
  auto ToJson() const -> boost::json::object;

 private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram =
      decltype(boost::histogram::make_histogram(std::declval<axis>()));
  histogram histogram_;
  std::uint64_t count_ = 0;
};

/** Statistics of the online requests of one workspace. */
struct workspace_stats {
  std::uint64_t sent = 0;                 ///< Requests sent.
  std::uint64_t within_rate = 0;          ///< Of these, within rate and burst.
  std::uint64_t completed = 0;            ///< Complete, correct responses.
  std::uint64_t broken = 0;               ///< Truncated responses.
  std::uint64_t wrong = 0;                ///< Responses to another request.
  std::uint64_t refused_within_rate = 0;  ///< 429 although within the rate.
  std::uint64_t failed_within_rate = 0;   ///< Failed within it, not by 429.
  std::uint64_t tokens = 0;               ///< Tokens received.
  std::map<std::string, std::uint64_t> refused;  ///< By status and code.
  time_histogram first_token;                    ///< Since the arrival time.
  time_histogram between_tokens;                 ///< Between successive ones.
};

/** Progress of a batch job at one time. */
struct batch_sample {
  run_time at{};           ///< When the progress was read.
  std::uint64_t done = 0;  ///< Items completed or failed.
};

/** Statistics of one batch job. */
struct job_stats {
  std::string id;                     ///< Empty until it is accepted.
  std::string state;                  ///< Last state read.
  std::uint64_t items = 0;            ///< Number of items.
  std::uint64_t submit_attempts = 0;  ///< Including the accepted one.
  run_time submitted{};               ///< When it was accepted.
  run_time finished{};             ///< When its end was read, or the run ended.
  std::uint64_t result_lines = 0;  ///< Lines of the results.
  std::uint64_t duplicate_lines = 0;  ///< Lines with a repeated custom_id.
  std::vector<batch_sample> samples;  ///< In order of time.
};

/** Statistics of a run. */
struct load_stats {
  std::vector<workspace_stats> workspaces;  ///< In the order of the plan.
  std::vector<job_stats> jobs;              ///< In the order of the plan.
  time_histogram send_delay;                ///< Delay of the generator itself.
};

/** Formats the statistics of a run as the JSON report. */
auto ReportOf(const load_plan& plan, const load_stats& stats)
    -> boost::json::object;

}  // namespace dogwood

#endif  // SRC_LOAD_REPORT_H_
