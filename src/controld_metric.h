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

/** Distribution of a time. Thread-safe. */
class time_histogram {
 public:
  time_histogram();
  /** Counts one observation. */
  auto Observe(duration value) -> void;
  /** Lines of one Prometheus histogram in seconds. */
  auto Print(std::string_view name, std::string_view help) const -> std::string;

 private:
  using axis = boost::histogram::axis::variable<>;
  using histogram = boost::histogram::histogram<std::tuple<axis>>;

  mutable std::mutex mutex_;
  histogram counts_;
  double sum_s_ = 0;
};

/** Counters and distributions of one controld. */
struct controld_metrics {
  time_histogram append_latency;                ///< Of answered appends.
  time_histogram proof_age;                     ///< Seen at each pull.
  time_histogram accept_latency;                ///< Of operators' changes.
  std::atomic<std::uint64_t> appends{0};        ///< Answered appends.
  std::atomic<std::uint64_t> append_errors{0};  ///< Failed tries.
  std::atomic<std::uint64_t> pulls{0};          ///< Answered own pulls.
  std::atomic<std::uint64_t> pull_errors{0};    ///< Failed own pulls.
  std::atomic<std::uint64_t> log_reads{0};      ///< Answered reads of the log.
  std::atomic<std::uint64_t> log_read_errors{0};   ///< Failed reads.
  std::atomic<std::uint64_t> tails_served{0};      ///< Tail requests answered.
  std::atomic<std::uint64_t> tails_refused{0};     ///< Tail requests refused.
  std::atomic<std::uint64_t> changes_accepted{0};  ///< Operators' changes.
  std::atomic<std::uint64_t> changes_refused{0};   ///< Operators' changes.
  std::atomic<std::uint64_t> unauthorized{0};      ///< Requests without token.
};

/** One sample with its help and type lines; `type` is "gauge" or "counter". */
auto PrintMetric(std::string_view name,
                 std::string_view help,
                 std::string_view type,
                 double value) -> std::string;

}  // namespace dogwood

#endif  // SRC_CONTROLD_METRIC_H_
