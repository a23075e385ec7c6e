#include "tests/fakes/engine_state.h"

#include <boost/json/value.hpp>

namespace dogwood::fakes {
namespace json = boost::json;
namespace {

/** Maximum number of requests that are logged with their headers. */
constexpr std::size_t kMaxLoggedRequests = 20000;
/** Maximum number of cache events retained; dropped ones appear as a gap. */
constexpr std::size_t kMaxEvents = 10000;
/** Maximum number of events in one response. */
constexpr std::size_t kMaxPageEvents = 1000;

}  // namespace

auto request_log::RecordArrival(const http_request& request) -> void {
  if (requests_.size() >= kMaxLoggedRequests) {
    return;
  }
  json::object headers;
  for (const auto& field : request.headers.fields) {
    headers[field.name] = field.value;
  }
  requests_.push_back({{"id", request.headers.Get("X-Request-Id")},
                       {"target", request.target},
                       {"headers", std::move(headers)},
                       {"body", request.body}});
}

auto request_log::ToJson() const -> json::object {
  json::object counts;
  for (const auto& [id, c] : counts_) {
    counts[id] = {{"started", c.started},
                  {"resumed", c.resumed},
                  {"finished", c.finished},
                  {"cancelled", c.cancelled}};
  }
  return {{"counts", std::move(counts)}, {"requests", requests_}};
}

auto load_history::RecordSample(time_point now,
                                std::chrono::milliseconds lag,
                                std::size_t running,
                                std::size_t waiting,
                                std::size_t cached) -> void {
  samples_.push_back({now, running, waiting, cached});
  while (samples_.size() > 1 && samples_[1].sampled_at + lag <= now) {
    samples_.pop_front();
  }
}

auto load_history::At(time_point now, std::chrono::milliseconds lag) const
    -> json::object {
  const sample* newest = nullptr;
  for (const auto& s : samples_) {
    if (s.sampled_at + lag <= now) {
      newest = &s;
    }
  }
  if (newest == nullptr) {
    return {{"running", 0}, {"waiting", 0}, {"cached_prefixes", 0}};
  }
  return {{"running", newest->running},
          {"waiting", newest->waiting},
          {"cached_prefixes", newest->cached}};
}

auto cache_event_log::Add(
    time_point now,
    const std::vector<std::pair<std::string, std::string>>& events) -> void {
  for (const auto& [hash, kind] : events) {
    events_.push_back({now, hash, kind});
    if (events_.size() > kMaxEvents) {
      events_.pop_front();
      ++first_;
    }
  }
}

auto cache_event_log::Page(std::uint64_t from,
                           time_point now,
                           std::chrono::milliseconds lag,
                           std::uint64_t gap) const -> json::object {
  json::array page;
  auto at = std::max(from, first_);
  while (at < first_ + events_.size() && page.size() < kMaxPageEvents &&
         events_[at - first_].recorded_at + lag <= now) {
    const auto& e = events_[at - first_];
    if (gap == 0 || (at + 1) % gap != 0) {
      page.push_back({{"offset", at}, {"prefix", e.hash}, {"kind", e.kind}});
    }
    ++at;
  }
  return {{"from", from}, {"next", at}, {"events", std::move(page)}};
}

auto order_log::Apply(const json::object& order,
                      bool check_fencing,
                      std::set<std::string>& models) -> outcome<void> {
  failure refusal{.code = error_code::kBadRequest,
                  .message = "an order holds fencing and order",
                  .step = "take order",
                  .peer = ""};
  const auto* fencing = order.if_contains("fencing");
  const auto* kind = order.if_contains("order");
  if (fencing == nullptr || !fencing->is_number() || kind == nullptr ||
      !kind->is_string()) {
    return refusal;
  }
  const auto number = fencing->to_number<std::uint64_t>();
  if (check_fencing && number < highest_) {
    refusal.code = error_code::kConflict;
    refusal.message = "fencing number " + std::to_string(number) +
                      " is older than " + std::to_string(highest_);
    return refusal;
  }
  highest_ = std::max(highest_, number);
  accepted_.emplace_back(order);
  const auto* model = order.if_contains("model");
  if (model != nullptr && model->is_string()) {
    const std::string name(model->get_string());
    if (kind->get_string() == "load_model") {
      models.insert(name);
    } else if (kind->get_string() == "unload_model") {
      models.erase(name);
    }
  }
  return {};
}

auto order_log::ToJson() const -> json::object {
  return {{"highest_fencing", highest_}, {"orders", accepted_}};
}

auto resume_store::Save(const sequence& cancelled, time_point deadline)
    -> void {
  saved_[cancelled.request_id] = {cancelled.produced, deadline};
}

auto resume_store::Pop(const std::string& id, time_point now) -> std::uint64_t {
  std::erase_if(
      saved_, [now](const auto& item) { return item.second.deadline <= now; });
  const auto found = saved_.find(id);
  if (found == saved_.end()) {
    return 0;
  }
  const auto produced = found->second.produced;
  saved_.erase(found);
  return produced;
}

}  // namespace dogwood::fakes
