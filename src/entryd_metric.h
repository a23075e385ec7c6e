/** Counters and histograms of dogwood_entryd in Prometheus text. */
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

/** Metrics of one process. Thread-safe; last in lock order. */
class entry_metrics {
 public:
  entry_metrics();
  ~entry_metrics();

  /** Counts an answer with `status`. */
  auto CountAnswer(unsigned status) -> void;
  /** Counts a refusal or failure at `step` with `code`. */
  auto CountFailure(std::string_view step, std::string_view code) -> void;
  /** Counts a retry. */
  auto CountRetry() -> void;
  /** Counts a request that was sent over the billed link. */
  auto CountRemote() -> void;
  /** Notes the time to an answer's first part. */
  auto RecordFirstToken(std::string_view workspace_class, duration time)
      -> void;
  /** Notes the time of a whole answer. */
  auto RecordTotal(std::string_view workspace_class, duration time) -> void;
  /** All metrics in the text format of Prometheus. `gauges` are added with
   * their names. */
  auto Print(const std::map<std::string, double>& gauges) const -> std::string;

 private:
  struct histogram;
  using histogram_map =
      std::map<std::string, std::unique_ptr<histogram>, std::less<>>;

  auto Note(histogram_map& map, std::string_view name, duration time) -> void;

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
