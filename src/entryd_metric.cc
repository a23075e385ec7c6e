#include "src/entryd_metric.h"

#include <boost/histogram/accumulators/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <sstream>

namespace dogwood {
namespace bh = boost::histogram;

namespace {

/** Upper bounds of the buckets in seconds, from a millisecond to minutes. */
const std::vector<double> kBounds{0,    0.001, 0.002, 0.005, 0.01, 0.02,
                                  0.05, 0.1,   0.2,   0.5,   1,    2,
                                  5,    10,    30,    60,    300};

/** A histogram over kBounds; the axis adds an overflow bucket. */
auto MakeHistogram() {
  return bh::make_histogram(bh::axis::variable<>(kBounds));
}

/** `text` as a label's value. */
auto Label(std::string_view text) -> std::string {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

}  // namespace

/** Buckets, and the sum that Prometheus wants with them. */
struct entry_metrics::histogram {
  decltype(MakeHistogram()) buckets = MakeHistogram();  ///< Counts.
  double sum_s = 0;                                     ///< Sum in seconds.

  /** Prints as one series of the metric `name`. */
  auto Print(std::ostream& out,
             std::string_view name,
             std::string_view workspace_class) const -> void {
    const auto label = "class=\"" + Label(workspace_class) + "\"";
    double count = 0;
    for (const auto& bucket : bh::indexed(buckets, bh::coverage::inner)) {
      count += *bucket;
      out << name << "_bucket{" << label << ",le=\"" << bucket.bin().upper()
          << "\"} " << count << "\n";
    }
    count += buckets.at(static_cast<int>(kBounds.size()) - 1);
    out << name << "_bucket{" << label << ",le=\"+Inf\"} " << count << "\n";
    out << name << "_sum{" << label << "} " << sum_s << "\n";
    out << name << "_count{" << label << "} " << count << "\n";
  }
};

entry_metrics::entry_metrics() = default;
entry_metrics::~entry_metrics() = default;

auto entry_metrics::CountAnswer(unsigned status) -> void {
  const std::lock_guard lock(mutex_);
  ++answers_[status];
}

auto entry_metrics::CountFailure(std::string_view step, std::string_view code)
    -> void {
  const std::lock_guard lock(mutex_);
  ++failures_[{std::string(step), std::string(code)}];
}

auto entry_metrics::CountRetry() -> void {
  const std::lock_guard lock(mutex_);
  ++retries_;
}

auto entry_metrics::CountRemote() -> void {
  const std::lock_guard lock(mutex_);
  ++remote_;
}

auto entry_metrics::RecordFirstToken(std::string_view workspace_class,
                                     duration time) -> void {
  Note(first_token_, workspace_class, time);
}

auto entry_metrics::RecordTotal(std::string_view workspace_class, duration time)
    -> void {
  Note(total_, workspace_class, time);
}

auto entry_metrics::Note(histogram_map& map,
                         std::string_view name,
                         duration time) -> void {
  const auto seconds = std::chrono::duration<double>(time).count();
  const std::lock_guard lock(mutex_);
  auto found = map.find(name);
  if (found == map.end()) {
    found = map.emplace(std::string(name), std::make_unique<histogram>()).first;
  }
  found->second->buckets(seconds);
  found->second->sum_s += seconds;
}

auto entry_metrics::Print(const std::map<std::string, double>& gauges) const
    -> std::string {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  out << "# TYPE dogwood_answers_total counter\n";
  for (const auto& [status, count] : answers_) {
    out << "dogwood_answers_total{status=\"" << status << "\"} " << count
        << "\n";
  }
  out << "# TYPE dogwood_failures_total counter\n";
  for (const auto& [key, count] : failures_) {
    out << "dogwood_failures_total{step=\"" << Label(key.first) << "\",code=\""
        << Label(key.second) << "\"} " << count << "\n";
  }
  out << "# TYPE dogwood_retries_total counter\n";
  out << "dogwood_retries_total " << retries_ << "\n";
  out << "# TYPE dogwood_remote_requests_total counter\n";
  out << "dogwood_remote_requests_total " << remote_ << "\n";
  out << "# TYPE dogwood_first_token_seconds histogram\n";
  for (const auto& [name, h] : first_token_) {
    h->Print(out, "dogwood_first_token_seconds", name);
  }
  out << "# TYPE dogwood_total_seconds histogram\n";
  for (const auto& [name, h] : total_) {
    h->Print(out, "dogwood_total_seconds", name);
  }
  for (const auto& [name, value] : gauges) {
    out << "# TYPE " << name << " gauge\n" << name << " " << value << "\n";
  }
  return out.str();
}

}  // namespace dogwood
