#include "src/dispatch_speed.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace dogwood {
namespace {

/** Factors at which a change is logged. */
constexpr std::array<double, 4> kBands{0.5, 0.75, 1.33, 2};
/** Band of a factor of 1. */
constexpr int kTypicalBand = 2;
/** Reports of several hosts may describe the same moment; each of them has at
 * least this weight. */
constexpr double kMinToldWeight = 0.05;
/** Least part of the mean time that the time at load 0 may be, since the
 * regression may extrapolate below zero. */
constexpr double kMinInterceptShare = 0.1;
/** Weights below this are 0 for all purposes. Keeps them from underflow. */
constexpr double kMinWeight = 1e-6;
/** Servers, and samples, from which a variance is estimated. */
constexpr double kMinServers = 5;
/** Least variance between servers, of the logarithm of their factors. */
constexpr double kMinVariance = 1e-4;
/** Part of a run before its first event that is assumed without samples. */
constexpr double kInitialFirstShare = 0.1;

auto Seconds(duration d) -> double {
  return std::chrono::duration<double>(d).count();
}

/** Returns what remains of 1 after `age` with a memory of `memory`. */
auto Kept(duration age, duration memory) -> double {
  return std::exp(-std::max(0.0, Seconds(age)) / Seconds(memory));
}

/** Returns the number of kBands at or below `factor`. */
auto BandOf(double factor) -> int {
  return static_cast<int>(
      std::ranges::count_if(kBands, [&](double b) { return factor >= b; }));
}

}  // namespace

auto fading_average::Add(double sample, double sample_weight) -> void {
  weight += sample_weight;
  value += (sample - value) * sample_weight / std::max(weight, kMinWeight);
}

auto load_trend::Fade(double kept) -> void {
  weight_ *= kept;
  covariance_ *= kept;
  variance_ *= kept;
}

auto load_trend::Add(double load, double time, double weight) -> void {
  weight_ += weight;
  const auto share = weight / std::max(weight_, kMinWeight);
  const auto load_change = load - load_;
  load_ += share * load_change;
  time_ += share * (time - time_);
  covariance_ += weight * load_change * (time - time_);
  variance_ += weight * load_change * (load - load_);
}

auto load_trend::Slope(double prior, double prior_weight) const -> double {
  if (time_ <= 0) {
    return prior;
  }
  const auto assumed = prior * time_ / (1 + prior * load_);
  const auto slope =
      (covariance_ + prior_weight * assumed) / (variance_ + prior_weight);
  return slope / std::max(time_ - slope * load_, kMinInterceptShare * time_);
}

auto server_speeds::SetServers(std::span<const registered_server> servers)
    -> void {
  std::set<server_id> listed;
  for (auto& [id, service] : services_) {
    service.servers.clear();
    service.slots = 1;
  }
  for (const auto& info : servers) {
    listed.insert(info.id);
    auto& row = servers_[info.id];
    if (row.start != info.start || row.service != info.service) {
      row = server_row();
    }
    row.service = info.service;
    row.slots = std::max(1U, info.slots);
    row.start = info.start;
    auto& service = services_[info.service];
    service.slots = std::max(service.slots, row.slots);
    service.servers.push_back(&row);
  }
  std::erase_if(servers_, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::erase_if(services_,
                [](const auto& entry) { return entry.second.servers.empty(); });
  refresh_at_ = time_point();
}

auto server_speeds::FadeServer(server_row& row, time_point now) -> void {
  if (row.faded_at != time_point() && now > row.faded_at) {
    const auto kept = Kept(now - row.faded_at, policy_.memory);
    const auto trend_kept = Kept(now - row.faded_at, policy_.trend_memory);
    for (auto& estimate : row.estimates) {
      estimate.level.Fade(kept);
      estimate.trend.Fade(trend_kept);
    }
  }
  row.faded_at = std::max(row.faded_at, now);
}

auto server_speeds::FadeService(service_row& row, time_point now) -> void {
  if (row.faded_at != time_point() && now > row.faded_at) {
    const auto kept = Kept(now - row.faded_at, policy_.service_memory);
    const auto trend_kept = Kept(now - row.faded_at, policy_.trend_memory);
    for (auto& time : row.times) {
      time.level.Fade(kept);
      time.trend.Fade(trend_kept);
      time.variance.Fade(trend_kept);
    }
    row.first_share.Fade(trend_kept);
    row.batch_seconds.Fade(trend_kept);
  }
  row.faded_at = std::max(row.faded_at, now);
}

auto server_speeds::IntegralAt(const server_row& row, time_point now)
    -> double {
  const bool is_new = row.integrated_at == time_point();
  return is_new ? 0
                : row.told_integral +
                      row.told_now * Seconds(now - row.integrated_at);
}

auto server_speeds::Shrunk(const fading_average& level, double prior)
    -> double {
  return level.value * level.weight / (level.weight + prior);
}

auto server_speeds::RecordTold(const server_id& server,
                               std::uint32_t percent,
                               duration age,
                               time_point now) -> void {
  const auto found = servers_.find(server);
  if (found == servers_.end() || percent == 0) {
    return;
  }
  auto& row = found->second;
  const auto factor = std::clamp(static_cast<double>(percent) / 100,
                                 policy_.min_told, policy_.max_told);
  const auto at = now - std::max(age, duration());
  if (row.told_at == time_point()) {
    row.told = factor;
  } else {
    const auto newer = 1 - Kept(at - row.told_at, policy_.told_memory);
    const auto weight = std::max(newer, kMinToldWeight) *
                        Kept(row.told_at - at, policy_.told_memory);
    row.told += weight * (factor - row.told);
  }
  row.told_at = std::max(row.told_at, at);
}

auto server_speeds::Adopt(const server_id& server,
                          std::uint32_t percent,
                          time_point now) -> void {
  const auto found = servers_.find(server);
  if (found == servers_.end() || percent == 0) {
    return;
  }
  auto& row = found->second;
  FadeServer(row, now);
  const auto level = std::log(static_cast<double>(percent) / 100);
  // Shrunk() is to return `level` at first.
  const auto weight = policy_.adopted_samples;
  for (auto& estimate : row.estimates) {
    estimate.level = {level * (weight + policy_.initial_prior) / weight,
                      weight};
  }
}

auto server_speeds::RecordMeasure(service_row& service,
                                  server_row& row,
                                  measure which,
                                  double seconds,
                                  double load,
                                  double weight) -> void {
  auto& typical = service.times[which];
  auto& estimate = row.estimates[which];
  const auto level = Shrunk(estimate.level, typical.prior);
  const auto slope = estimate.slope > 0 ? estimate.slope : typical.slope;
  const auto unloaded = std::log(seconds / (1 + slope * load));
  typical.level.Add(unloaded - level, weight);
  // Relative to the present level of the service: the trend has a longer memory
  // and would take a change of the level for an effect of the load.
  const auto scaled = seconds / std::exp(level + typical.level.value);
  typical.trend.Add(load, scaled, weight);
  estimate.trend.Add(load, scaled, weight);
  const auto bound = std::log(policy_.max_sample_factor);
  const auto sample = std::clamp(unloaded - typical.level.value, -bound, bound);
  const auto deviation = sample - estimate.level.value;
  if (estimate.level.weight >= policy_.stale_samples) {
    typical.variance.Add(deviation * deviation, weight);
  }
  estimate.level.Add(sample, weight);
}

auto server_speeds::RecordRun(const server_id& server,
                              const run_start& start,
                              const stream_times& times,
                              work_class work,
                              time_point now) -> void {
  const auto found = servers_.find(server);
  if (found == servers_.end() || times.event_count == 0 ||
      times.first_event <= duration() ||
      start.server_start != found->second.start) {
    return;
  }
  auto& row = found->second;
  auto& service = services_[row.service];
  Refresh(now);
  FadeServer(row, now);
  FadeService(service, now);
  ++samples_;
  // What the server reported during the run is not part of its own speed.
  const auto run_seconds = Seconds(now - start.at);
  const auto integral = IntegralAt(row, now) - start.told_integral;
  const auto told = run_seconds > 0
                        ? std::clamp(integral / run_seconds, policy_.min_told,
                                     policy_.max_told)
                        : 1.0;
  const auto load = static_cast<double>(start.load);
  const auto first_seconds = Seconds(times.first_event);
  RecordMeasure(service, row, kFirstEvent, first_seconds / told, load,
                1 / (1 + policy_.half_weight_events));
  const auto gaps = static_cast<double>(times.event_count) - 1;
  const auto event_seconds = Seconds(times.events);
  if (gaps < 1 || event_seconds <= 0) {
    return;
  }
  RecordMeasure(service, row, kGap, event_seconds / gaps / told, load,
                gaps / (gaps + policy_.half_weight_events));
  const auto total = first_seconds + event_seconds;
  if (work == work_class::kOnline) {
    service.first_share.Add(first_seconds / total, 1);
  } else {
    // Weighted by events, since resumed items are short.
    service.batch_seconds.Add(total / row.pace.ExpectedFactor(start.load),
                              gaps);
  }
}

auto server_speeds::RecordObjectives(const service_id& service,
                                     const answer_objectives& objectives,
                                     time_point now) -> void {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return;
  }
  auto& row = found->second;
  if (now >= row.objectives_until) {
    row.objectives = {};
    row.objectives_until = now + policy_.objective_memory;
  }
  const auto tighten = [](duration& known, duration given) {
    if (given > duration() && (known == duration() || given < known)) {
      known = given;
    }
  };
  tighten(row.objectives.first_event, objectives.first_event);
  tighten(row.objectives.event_gap, objectives.event_gap);
}

auto server_speeds::CentreOnMedian(service_row& service, measure which)
    -> void {
  levels_.clear();
  for (const auto* row : service.servers) {
    const auto& level = row->estimates[which].level;
    if (level.weight >= policy_.stale_samples) {
      levels_.push_back(level.value);
    }
  }
  if (levels_.empty()) {
    return;
  }
  const auto middle =
      levels_.begin() + static_cast<std::ptrdiff_t>(levels_.size() / 2);
  std::nth_element(levels_.begin(), middle, levels_.end());
  auto median = *middle;
  if (levels_.size() % 2 == 0) {
    median = (median + *std::max_element(levels_.begin(), middle)) / 2;
  }
  for (auto* row : service.servers) {
    row->estimates[which].level.value -= median;
  }
  service.times[which].level.value += median;
}

auto server_speeds::UpdatePrior(service_row& service, measure which) -> void {
  auto& time = service.times[which];
  time.prior = policy_.initial_prior;
  double between = 0;
  double count = 0;
  for (const auto* row : service.servers) {
    const auto& level = row->estimates[which].level;
    if (level.weight >= policy_.stale_samples) {
      between +=
          level.value * level.value - time.variance.value / (1 + level.weight);
      ++count;
    }
  }
  if (count < kMinServers || time.variance.weight < kMinServers) {
    return;
  }
  between = std::max(between / count, kMinVariance);
  time.prior = std::clamp(time.variance.value / between, policy_.min_prior,
                          policy_.max_prior);
}

auto server_speeds::Room(const service_row& service,
                         const server_row& row,
                         const answer_objectives& objectives) const
    -> std::uint32_t {
  const std::array<duration, kMeasures> limits{objectives.first_event,
                                               objectives.event_gap};
  auto room = static_cast<double>(row.slots);
  for (std::size_t which = 0; which < kMeasures; ++which) {
    const auto& estimate = row.estimates[which];
    const auto empty =
        service.times[which].seconds * estimate.factor * row.told_now;
    if (limits[which] > duration() && empty > 0 && estimate.slope > 0) {
      const auto rise =
          Seconds(limits[which]) * policy_.objective_share / empty - 1;
      room = std::min(room, 1 + rise / estimate.slope);
    }
  }
  return static_cast<std::uint32_t>(std::max(1.0, room));
}

auto server_speeds::RefreshPace(const service_row& service,
                                server_row& row,
                                time_point now) -> void {
  row.told_integral = IntegralAt(row, now);
  row.integrated_at = now;
  row.told_now = row.told_at == time_point()
                     ? 1
                     : 1 + policy_.told_weight * (row.told - 1) *
                               Kept(now - row.told_at, policy_.told_life);
  const auto slots = static_cast<double>(row.slots);
  for (std::size_t which = 0; which < kMeasures; ++which) {
    auto& estimate = row.estimates[which];
    estimate.factor =
        std::exp(Shrunk(estimate.level, service.times[which].prior));
    estimate.slope =
        std::clamp(estimate.trend.Slope(service.times[which].slope,
                                        policy_.server_trend_weight),
                   policy_.min_rise / slots, policy_.max_rise / slots);
  }
  const auto first_share = service.first_share.weight > 0
                               ? service.first_share.value
                               : kInitialFirstShare;
  const auto& first = row.estimates[kFirstEvent];
  const auto& gap = row.estimates[kGap];
  const auto first_part = first_share * first.factor;
  const auto gap_part = (1 - first_share) * gap.factor;
  row.factor = first_part + gap_part;
  row.pace = {.base = row.told_now * row.factor,
              .per_request = row.told_now *
                             (first_part * first.slope + gap_part * gap.slope),
              .room = Room(service, row, service.objectives),
              .is_stale = gap.level.weight < policy_.stale_samples,
              .percent = 0};
  if (!row.pace.is_stale) {
    row.pace.percent =
        static_cast<std::uint32_t>(std::lround(100 * row.factor));
  }
}

auto server_speeds::RefreshService(service_row& service, time_point now)
    -> void {
  FadeService(service, now);
  for (auto* row : service.servers) {
    FadeServer(*row, now);
  }
  const auto slots = static_cast<double>(service.slots);
  for (const auto which : {kFirstEvent, kGap}) {
    CentreOnMedian(service, which);
    UpdatePrior(service, which);
    auto& time = service.times[which];
    time.seconds = time.level.weight > 0 ? std::exp(time.level.value) : 0;
    time.slope = std::clamp(time.trend.Slope(policy_.initial_rise / slots,
                                             policy_.service_trend_weight),
                            policy_.min_rise / slots, policy_.max_rise / slots);
  }
  for (auto* row : service.servers) {
    RefreshPace(service, *row, now);
  }
}

auto server_speeds::RefreshNow(time_point now) -> void {
  refresh_at_ = now + policy_.refresh_interval;
  for (auto& [id, service] : services_) {
    RefreshService(service, now);
  }
  for (auto& [id, row] : servers_) {
    NoteChange(id, row, now);
  }
}

auto server_speeds::NoteChange(const server_id& id,
                               server_row& row,
                               time_point now) -> void {
  const auto band = BandOf(row.factor) - kTypicalBand;
  if (band == row.band || now < row.may_log_at) {
    return;
  }
  row.band = band;
  row.may_log_at = now + policy_.log_interval;
  changes_.push_back({.server = id,
                      .factor = row.factor,
                      .told = row.told_now,
                      .room = row.pace.room,
                      .samples = row.estimates[kGap].level.weight});
}

auto server_speeds::DrainChanges() -> std::vector<speed_change> {
  return std::exchange(changes_, {});
}

auto server_speeds::Find(const server_id& server) const -> const server_pace* {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : &found->second.pace;
}

auto server_speeds::BeginRun(const server_id& server,
                             std::uint32_t load,
                             time_point now) const -> run_start {
  run_start start{.load = load, .at = now};
  const auto found = servers_.find(server);
  if (found != servers_.end()) {
    const auto& row = found->second;
    start.told_integral = IntegralAt(row, now);
    start.server_start = row.start;
  }
  return start;
}

auto server_speeds::ExpectedFactor(const server_id& server,
                                   std::uint32_t load) const -> double {
  const auto* pace = Find(server);
  return pace == nullptr ? 1 : pace->ExpectedFactor(load);
}

auto server_speeds::RoomWithin(const server_id& server,
                               const answer_objectives& objectives) const
    -> std::uint32_t {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return 1;
  }
  return Room(services_.at(found->second.service), found->second, objectives);
}

auto server_speeds::BatchRunTime(const service_id& service) const -> duration {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(found->second.batch_seconds.value));
}

auto server_speeds::SlowCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count_if(servers_, [&](const auto& entry) {
        return entry.second.pace.base > policy_.slow_factor;
      }));
}

auto server_speeds::FastCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count_if(servers_, [&](const auto& entry) {
        return entry.second.pace.base < policy_.fast_factor;
      }));
}

}  // namespace dogwood
