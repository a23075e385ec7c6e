#include "src/batchd_http.h"

#include <sstream>
#include <string_view>

#include "src/batchd_dispatch.h"

namespace dogwood {
namespace asio = boost::asio;
namespace {

/** One sample with its type line. */
auto Sample(std::ostringstream& text,
            std::string_view name,
            std::string_view type,
            double value) -> void {
  text << "# TYPE dogwood_batchd_" << name << " " << type << "\n";
  text << "dogwood_batchd_" << name << " " << value << "\n";
}

/** Sums over the partitions that this host owns. */
struct partition_totals {
  double owned = 0;         ///< Partitions.
  double jobs = 0;          ///< Jobs that are kept.
  double open_jobs = 0;     ///< Of those, not ended.
  double queued_bytes = 0;  ///< Records that wait for the log.
  double result_bytes = 0;  ///< Results that were not read back.
};

/** Reads all partitions. */
auto Totals(batchd& d) -> partition_totals {
  partition_totals totals;
  for (const auto& slot : d.partitions) {
    slot->With([&](partition_owner& owner) {
      if (owner.stage() != owner_stage::kOwning) {
        return;
      }
      totals.owned += 1;
      for (const auto& [id, job] : owner.projection().Jobs()) {
        totals.jobs += 1;
        totals.open_jobs += job.HasEnded() ? 0 : 1;
      }
      totals.queued_bytes += static_cast<double>(owner.queued_bytes());
      totals.result_bytes += static_cast<double>(owner.result_bytes());
    });
  }
  return totals;
}

/** A plain text answer. */
auto Text(unsigned status, std::string body) -> http_response {
  http_response response;
  response.status = status;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(body);
  return response;
}

}  // namespace

auto PrintMetrics(batchd& d) -> std::string {
  std::ostringstream text;
  const auto count = [&](std::string_view name,
                         const std::atomic<std::uint64_t>& value) {
    Sample(text, name, "counter", static_cast<double>(value.load()));
  };
  const auto& m = d.metrics;
  count("appends_total", m.appends);
  count("append_errors_total", m.append_errors);
  count("append_records_total", m.append_records);
  count("dispatched_total", m.dispatched);
  count("answered_total", m.answered);
  count("failed_total", m.failed);
  count("returned_total", m.returned);
  count("unknown_total", m.unknown);
  count("preempted_total", m.preempted);
  count("resumed_total", m.resumed);
  count("takeovers_total", m.takeovers);
  count("submits_total", m.submits);
  count("refusals_total", m.refusals);
  const auto totals = Totals(d);
  Sample(text, "partitions_owned", "gauge", totals.owned);
  Sample(text, "jobs", "gauge", totals.jobs);
  Sample(text, "jobs_open", "gauge", totals.open_jobs);
  Sample(text, "queued_bytes", "gauge", totals.queued_bytes);
  Sample(text, "result_bytes", "gauge", totals.result_bytes);
  Sample(text, "items_in_flight", "gauge",
         static_cast<double>(ItemsInFlight(d)));
  Sample(text, "runs_here", "gauge", static_cast<double>(d.runs.Running()));
  return text.str() + PrintLinkTotals();
}

auto ServeHealth(batchd& d, http_exchange& exchange) -> asio::awaitable<void> {
  const auto path = exchange.Request().Path();
  http_response response = Text(404, "not found\n");
  if (path == "/healthz") {
    response = Text(200, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = !d.stopping && d.replica.IsFresh(clock::now());
    response = Text(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    response = Text(200, PrintMetrics(d));
  }
  co_await exchange.Respond(std::move(response));
}

}  // namespace dogwood
