#include "src/controld_metric.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <sstream>
#include <vector>

namespace dogwood {
namespace {

constexpr double kMsPerSecond = 1000;
/** Upper bounds of the histogram buckets in milliseconds. */
constexpr std::array kTimeBucketsMs{1.0,   2.0,   5.0,    10.0,   20.0,
                                    50.0,  100.0, 200.0,  500.0,  1000.0,
                                    2000., 5000., 10000., 20000., 60000.};

/** The HELP and TYPE lines of a metric. */
auto HelpAndType(std::string_view name,
                 std::string_view help,
                 std::string_view type) -> std::string {
  std::ostringstream text;
  text << "# HELP " << name << " " << help << "\n";
  text << "# TYPE " << name << " " << type << "\n";
  return text.str();
}

/** Bin edges of the histogram. They start at 0 and Observe() clamps to 0, so
 * that the underflow bin stays empty. */
auto BinEdges() -> std::vector<double> {
  std::vector<double> edges{0};
  edges.insert(edges.end(), kTimeBucketsMs.begin(), kTimeBucketsMs.end());
  return edges;
}

}  // namespace

duration_histogram::duration_histogram()
    : counts_(boost::histogram::make_histogram(axis(BinEdges()))) {}

auto duration_histogram::Observe(duration value) -> void {
  const auto ms = std::chrono::duration<double, std::milli>(value).count();
  const std::lock_guard lock(mutex_);
  counts_(std::max(ms, 0.0));
  sum_s_ += ms / kMsPerSecond;
}

auto duration_histogram::Print(std::string_view name,
                               std::string_view help) const -> std::string {
  const std::lock_guard lock(mutex_);
  std::ostringstream text;
  text << HelpAndType(name, help, "histogram");
  double total = 0;
  for (std::size_t i = 0; i < kTimeBucketsMs.size(); ++i) {
    total += counts_.at(static_cast<int>(i));
    text << name << "_bucket{le=\"" << kTimeBucketsMs[i] / kMsPerSecond
         << "\"} " << total << "\n";
  }
  total += counts_.at(static_cast<int>(kTimeBucketsMs.size()));
  text << name << "_bucket{le=\"+Inf\"} " << total << "\n";
  text << name << "_sum " << sum_s_ << "\n";
  text << name << "_count " << total << "\n";
  return text.str();
}

auto PrintMetric(std::string_view name,
                 std::string_view help,
                 std::string_view type,
                 double value) -> std::string {
  std::ostringstream text;
  // 16 digits keep offsets and microsecond counts exact.
  text.precision(16);
  text << HelpAndType(name, help, type) << name << " " << value << "\n";
  return text.str();
}

}  // namespace dogwood
