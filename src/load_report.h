/** Figures of a load run. */
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

/** Distribution of times, in bins of about 3% from 0.05 ms to 200 s. */
class time_histogram {
 public:
  time_histogram();
  auto Add(double ms) -> void;
  auto Merge(const time_histogram& other) -> void;
  /** Upper edge in ms of the bin with the given share, 0 if empty. */
  auto Quantile(double share) const -> double;
  /** {"count","p50_ms","p95_ms","p99_ms"}. */
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

/** Figures of one workspace. */
struct workspace_figures {
  std::uint64_t sent = 0;         ///< Requests sent.
  std::uint64_t within_rate = 0;  ///< Of these, within its rate and burst.
  std::uint64_t completed = 0;    ///< Whole, right answers.
  std::uint64_t broken = 0;       ///< Answers that did not end whole.
  std::uint64_t wrong = 0;        ///< Answers to another request.
  std::uint64_t refused_within_rate = 0;  ///< 429 though within the rate.
  std::uint64_t failed_within_rate = 0;   ///< Any failure but 429.
  std::uint64_t tokens = 0;               ///< Tokens received.
  std::map<std::string, std::uint64_t> refused;  ///< By reason.
  time_histogram first_token;                    ///< From the arrival.
  time_histogram between_tokens;                 ///< Between two tokens.
};

/** Batch items done at one time. */
struct batch_sample {
  run_time at{};           ///< When it was read.
  std::uint64_t done = 0;  ///< Items completed or failed.
};

/** Figures of one batch job. */
struct job_figures {
  std::string id;                     ///< Name of the job.
  std::string state;                  ///< Last state seen.
  std::uint64_t items = 0;            ///< Items.
  std::uint64_t submit_attempts = 0;  ///< Until it was acknowledged.
  run_time submitted{};               ///< When it was acknowledged.
  run_time finished{};                ///< When it was seen to be done.
  std::uint64_t result_lines = 0;     ///< Lines of its results.
  std::uint64_t duplicate_lines = 0;  ///< Lines with a custom_id seen before.
  std::vector<batch_sample> samples;  ///< Progress.
};

/** All figures of a run. */
struct load_figures {
  std::vector<workspace_figures> workspaces;  ///< As in the plan.
  std::vector<job_figures> jobs;              ///< All jobs.
  time_histogram send_delay;                  ///< Lateness of the load itself.
};

/** The report. */
auto ReportOf(const load_plan& plan, const load_figures& figures)
    -> boost::json::object;

}  // namespace dogwood

#endif  // SRC_LOAD_REPORT_H_
