#include "src/batchd_table.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "src/core.h"
#include "src/http.h"

namespace dogwood {
namespace {

constexpr std::chrono::milliseconds kFirstAvoid{250};
constexpr unsigned kMostAvoidDoublings = 5;
/** A server without room is tried again this often; it costs one ask. */
constexpr std::chrono::milliseconds kProbePeriod{500};

}  // namespace

auto server_table::Set(std::vector<backend_server> servers) -> void {
  std::map<server_id, backend_server> by_id;
  for (auto& server : servers) {
    auto id = server.id;
    by_id.emplace(std::move(id), std::move(server));
  }
  const std::lock_guard lock(mutex_);
  servers_ = std::move(by_id);
}

auto server_table::Find(const server_id& server) const
    -> std::optional<backend_server> {
  const std::lock_guard lock(mutex_);
  const auto found = servers_.find(server);
  return found == servers_.end() ? std::nullopt : std::optional(found->second);
}

auto server_table::Serving(const std::string& target) const
    -> std::vector<backend_server> {
  std::vector<backend_server> serving;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, server] : servers_) {
    const auto& targets = server.targets;
    if (!server.leaving &&
        std::find(targets.begin(), targets.end(), target) != targets.end()) {
      serving.push_back(server);
    }
  }
  return serving;
}

auto server_table::All() const -> std::vector<backend_server> {
  std::vector<backend_server> all;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, server] : servers_) {
    all.push_back(server);
  }
  return all;
}

auto window_table::Begin(const server_id& server,
                         unsigned slots,
                         time_point now) -> bool {
  const std::lock_guard lock(mutex_);
  auto& w = windows_[server];
  if (now < w.avoid_until) {
    return false;
  }
  if (w.in_flight >= w.limit) {
    if (w.in_flight >= slots || now < w.probe_at) {
      return false;
    }
    w.probe_at = now + kProbePeriod;
  }
  ++w.in_flight;
  return true;
}

auto window_table::Grow(const server_id& server, unsigned slots) -> void {
  const std::lock_guard lock(mutex_);
  auto& w = windows_[server];
  w.limit = std::min(w.limit + 1, std::max(slots, 1U));
  w.failures = 0;
}

auto window_table::Cancel(const server_id& server) -> void {
  const std::lock_guard lock(mutex_);
  auto& w = windows_[server];
  w.in_flight -= w.in_flight > 0 ? 1 : 0;
}

auto window_table::End(const server_id& server,
                       bool had_room,
                       unsigned slots,
                       time_point now) -> void {
  const std::lock_guard lock(mutex_);
  auto& w = windows_[server];
  w.in_flight -= w.in_flight > 0 ? 1 : 0;
  if (had_room) {
    w.limit = std::min(w.limit + 1, std::max(slots, 1U));
    w.failures = 0;
  } else {
    w.limit = std::max(w.in_flight, 1U);
    w.probe_at = now + kProbePeriod;
  }
}

auto window_table::Avoid(const server_id& server, time_point now) -> void {
  const std::lock_guard lock(mutex_);
  auto& w = windows_[server];
  w.avoid_until = now + kFirstAvoid * (1U << w.failures);
  w.failures = std::min(w.failures + 1, kMostAvoidDoublings);
}

auto flight_table::Add(partition_id partition, const item_ref& item, flight to)
    -> void {
  const std::lock_guard lock(mutex_);
  flights_[{partition, item}] = std::move(to);
}

auto flight_table::Remove(partition_id partition,
                          const item_ref& item,
                          const std::string& request_id) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = flights_.find({partition, item});
  if (found != flights_.end() && found->second.request_id == request_id) {
    flights_.erase(found);
  }
}

auto flight_table::Find(partition_id partition, const item_ref& item) const
    -> std::optional<flight> {
  const std::lock_guard lock(mutex_);
  const auto found = flights_.find({partition, item});
  return found == flights_.end() ? std::nullopt : std::optional(found->second);
}

auto wake_signal::Notify() const -> void {
  boost::asio::post(timer_->get_executor(),
                    [timer = timer_] { timer->cancel(); });
}

auto partition_slot::Apply(log_offset from,
                           const std::vector<std::string>& records)
    -> std::vector<item_ref> {
  const std::lock_guard lock(mutex_);
  auto offset = from;
  if (owner_.stage() == owner_stage::kIdle ||
      owner_.projection().next_offset() != from) {
    return {};
  }
  for (const auto& record : records) {
    auto report = owner_.Apply(offset, record);
    offset.value += 1;
    const bool mine = report.writer.start == owner_.start() &&
                      report.writer.host == owner_.host();
    if (mine && report.kind == job_record_kind::kClaim &&
        report.verdict == apply_status::kStale) {
      Log(log_level::kError, log_category::kJob,
          {stream() + ": a later start of this host has written to it; is a "
                      "second daemon running, or was the clock set back?",
           "claim partition", ""});
    }
    const auto found = mine ? waiters_.find(report.writer.seq) : waiters_.end();
    if (found != waiters_.end()) {
      found->second->report = std::move(report);
      found->second->signal.Notify();
      waiters_.erase(found);
    }
  }
  return owner_.TakeAborts();
}

auto partition_slot::RecordLoadReport(
    std::uint64_t seq,
    const std::shared_ptr<record_waiter>& waiter)
    -> std::optional<fold_report> {
  const std::lock_guard lock(mutex_);
  waiters_.erase(seq);
  return std::move(waiter->report);
}

auto partition_slot::Resign() -> std::vector<item_ref> {
  const std::lock_guard lock(mutex_);
  owner_.Resign();
  for (auto& [seq, waiter] : waiters_) {
    waiter->owner_changed = true;
    waiter->signal.Notify();
  }
  waiters_.clear();
  return owner_.TakeAborts();
}

}  // namespace dogwood
