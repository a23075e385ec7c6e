/** Metrics of dogwood_controld in the Prometheus text format. */
#ifndef SRC_CONTROLD_METRIC_H_
#define SRC_CONTROLD_METRIC_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "src/unit_type.h"

namespace dogwood {

/** Histogram of durations. Thread-safe. */
class duration_histogram {
 public:
  duration_histogram();
  auto Observe(duration value) -> void;
  /** The histogram in the Prometheus text format, in seconds. */
  auto Print(std::string_view name, std::string_view help) const -> std::string;

 private:
  using axis = boost::histogram::axis::variable<>;
  using histogram = boost::histogram::histogram<std::tuple<axis>>;

  mutable std::mutex mutex_;
  histogram counts_;
  double sum_s_ = 0;
};

/** Counters and histograms of one controld. */
struct controld_metrics {
  duration_histogram append_latency;      ///< Appends that were acknowledged.
  duration_histogram proof_age;           ///< Age of the proof at each pull.
  duration_histogram accept_latency;      ///< Time until a change was accepted.
  std::atomic<std::uint64_t> appends{0};  ///< Acknowledged appends.
  std::atomic<std::uint64_t> append_errors{0};  ///< Failed append attempts.
  std::atomic<std::uint64_t> pulls{0};        ///< Own pulls that were answered.
  std::atomic<std::uint64_t> pull_errors{0};  ///< Own pulls that failed.
  std::atomic<std::uint64_t> log_reads{0};    ///< Successful reads of the log.
  std::atomic<std::uint64_t> log_read_errors{0};   ///< Failed reads of the log.
  std::atomic<std::uint64_t> tails_served{0};      ///< Tail requests answered.
  std::atomic<std::uint64_t> tails_refused{0};     ///< Tail requests refused.
  std::atomic<std::uint64_t> changes_accepted{0};  ///< Changes by operators.
  std::atomic<std::uint64_t> changes_refused{0};   ///< Changes by operators.
  std::atomic<std::uint64_t> unauthorized{0};      ///< No valid token.
};

/** One sample with its HELP and TYPE lines in the Prometheus text format;
 * `type` is "gauge" or "counter". */
auto PrintMetric(std::string_view name,
                 std::string_view help,
                 std::string_view type,
                 double value) -> std::string;

}  // namespace dogwood

#endif  // SRC_CONTROLD_METRIC_H_
