/** Counters and histograms of dogwood_entryd in the Prometheus text format. */
#ifndef SRC_ENTRYD_METRIC_H_
#define SRC_ENTRYD_METRIC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "src/unit_type.h"

namespace dogwood {

/** Metrics of one process. Thread-safe; its lock is last in the lock order. */
class entry_metrics {
 public:
  entry_metrics();
  ~entry_metrics();

  /** Counts a response with HTTP status `status`. */
  auto CountAnswer(unsigned status) -> void;
  /** Counts a refused or failed request by step and error code. */
  auto CountFailure(std::string_view step, std::string_view code) -> void;
  auto CountRetry() -> void;
  /** Counts a request that was sent over the billed link between regions. */
  auto CountRemote() -> void;
  /** Records the time to the first part of a response. */
  auto RecordFirstToken(std::string_view workspace_class, duration time)
      -> void;
  /** Records the time to the end of a complete response. */
  auto RecordTotal(std::string_view workspace_class, duration time) -> void;
  /** Returns all metrics and the given gauges, by name, in the Prometheus text
   * format. */
  auto Print(const std::map<std::string, double>& gauges) const -> std::string;

 private:
  struct histogram;
  using histogram_map =
      std::map<std::string, std::unique_ptr<histogram>, std::less<>>;

  auto Record(histogram_map& map, std::string_view name, duration time) -> void;

  mutable std::mutex mutex_;
  std::map<unsigned, std::uint64_t> answers_;  // By status.
  std::map<std::pair<std::string, std::string>, std::uint64_t> failures_;
  std::uint64_t retries_ = 0;
  std::uint64_t remote_ = 0;
  histogram_map first_token_;  // By workspace class.
  histogram_map total_;        // By workspace class.
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_METRIC_H_
