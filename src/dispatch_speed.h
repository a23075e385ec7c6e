/** Estimates of how fast each server works, and of the load that it takes
 * within the objectives of what it runs. */
#ifndef SRC_DISPATCH_SPEED_H_
#define SRC_DISPATCH_SPEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "src/dispatch_type.h"

namespace dogwood {

/** What placement reads of a server's estimate. The expected time of one more
 * request, relative to a typical server that is empty, is
 * `base + per_request * load`. */
struct server_pace {
  double base = 1;         ///< Factor of the empty server.
  double per_request = 0;  ///< Increase with each request on the server.
  /** Requests that it takes within the objectives; at most its slots. */
  std::uint32_t room = 1;
  bool is_stale = true;  ///< Few samples of late: the estimate is mostly prior.
  /** Estimate from runs without what the server reports, in percent of a
   * typical server. 0: there are too few samples. */
  std::uint32_t percent = 0;

  auto ExpectedFactor(std::uint32_t load) const -> double {
    return base + per_request * static_cast<double>(load);
  }
};

/** Order of servers for one request. */
class speed_ranking {
 public:
  /** A batch item may take up to `slack` times as long as on a typical server
   * that is empty. */
  speed_ranking(const speed_policy& policy, work_class work, double slack)
      : is_online_(work == work_class::kOnline),
        slack_(slack),
        slow_preference_(policy.batch_slow_preference) {}

  /** Whether the request would miss its objectives. */
  auto IsBeyondRoom(const server_pace& pace, std::uint32_t load) const -> bool {
    return is_online_ && load >= pace.room;
  }
  /** Returns the cost of a choice; lower is better. `bonus` is the part of its
   * slots by which a connected server may be more loaded than another one; in
   * terms of time it is what such a difference costs on this server. */
  auto Cost(const server_pace& pace,
            std::uint32_t load,
            unsigned slots,
            double bonus) const -> double {
    const auto expected = pace.ExpectedFactor(load) -
                          bonus * static_cast<double>(slots) * pace.per_request;
    if (is_online_) {
      return expected;
    }
    if (expected > slack_) {
      return kLateCost + expected;
    }
    // One item is enough for a probe.
    if (pace.is_stale && load == 0) {
      return kProbeCost;
    }
    return static_cast<double>(load) / static_cast<double>(slots) -
           slow_preference_ * pace.base;
  }

 private:
  /** Costs of a batch item that come before and after all others. */
  static constexpr double kProbeCost = -1000;
  static constexpr double kLateCost = 1000;

  bool is_online_;
  double slack_;
  double slow_preference_;
};

/** State of a server when a run begins there, kept until the run ends. */
struct run_start {
  std::uint32_t load = 0;  ///< Other requests on the server.
  time_point at;           ///< When the run began.
  /** Integral over time of the factor that the server reported. */
  double told_integral = 0;
  std::uint64_t server_start = 0;  ///< Start time of the server.
};

/** A change of a server's factor that is worth a log line. */
struct speed_change {
  server_id server;
  double factor = 1;       ///< Estimate from runs.
  double told = 1;         ///< Factor that the server reports.
  std::uint32_t room = 0;  ///< See server_pace::room.
  double samples = 0;      ///< Weight of the samples; old ones count for less.
};

/** Average whose samples lose weight with their age. */
struct fading_average {
  double value = 0;
  double weight = 0;

  /** Multiplies the weight of all samples by `kept`. */
  auto Fade(double kept) -> void { weight *= kept; }
  auto Add(double sample, double sample_weight) -> void;
};

/** Linear regression of a time on the number of requests, whose samples lose
 * weight with their age. */
class load_trend {
 public:
  auto Fade(double kept) -> void;
  auto Add(double load, double time, double weight) -> void;
  /** Returns the increase of the time with each request, relative to the time
   * at load 0. `prior` has the weight of samples whose loads have the total
   * squared deviation `prior_weight`. */
  auto Slope(double prior, double prior_weight) const -> double;

 private:
  double weight_ = 0;
  double load_ = 0;        // Mean.
  double time_ = 0;        // Mean.
  double covariance_ = 0;  // Sum of the products of the deviations.
  double variance_ = 0;    // Sum of the squared deviations of the load.
};

/** Speeds of all servers of a dispatcher. Has no clock and no I/O. Not
 * thread-safe. */
class server_speeds {
 public:
  explicit server_speeds(speed_policy policy) : policy_(policy) {}

  // Commands.

  /** Replaces the servers. What is known of a server is kept unless it has
   * started anew. */
  auto SetServers(std::span<const registered_server> servers) -> void;
  /** Records how long work takes on a server, in percent of usual, as it
   * reported this `age` ago. */
  auto RecordTold(const server_id& server,
                  std::uint32_t percent,
                  duration age,
                  time_point now) -> void;
  /** Takes over an estimate that another dispatcher has sent. */
  auto Adopt(const server_id& server, std::uint32_t percent, time_point now)
      -> void;
  /** Records the times of a run that has ended. */
  auto RecordRun(const server_id& server,
                 const run_start& start,
                 const stream_times& times,
                 work_class work,
                 time_point now) -> void;
  /** Records the objectives of a request of a service. */
  auto RecordObjectives(const service_id& service,
                        const answer_objectives& objectives,
                        time_point now) -> void;
  /** Computes the paces anew if they are older than the policy's interval. */
  auto Refresh(time_point now) -> void {
    if (now >= refresh_at_) {
      RefreshNow(now);
    }
  }
  /** Removes and returns the changes to log. */
  auto DrainChanges() -> std::vector<speed_change>;

  // Queries.

  /** Returns the pace of a server; valid until the next SetServers(). nullptr
   * if the server is unknown. */
  auto Find(const server_id& server) const -> const server_pace*;
  /** Returns the state of a server for a run that begins there. */
  auto BeginRun(const server_id& server,
                std::uint32_t load,
                time_point now) const -> run_start;
  /** Returns the expected time of one more request, relative to a typical
   * server that is empty, as of the latest Refresh(). */
  auto ExpectedFactor(const server_id& server, std::uint32_t load) const
      -> double;
  /** Returns how many requests a server takes within objectives, as of the
   * latest Refresh(): at least 1 and at most its slots. */
  auto RoomWithin(const server_id& server,
                  const answer_objectives& objectives) const -> std::uint32_t;
  /** Returns the duration of a batch run on a typical server that is empty;
   * zero if it is not known. */
  auto BatchRunTime(const service_id& service) const -> duration;
  /** Number of servers whose factor is above and below the policy's bounds. */
  auto SlowCount() const -> std::size_t;
  auto FastCount() const -> std::size_t;
  /** Number of samples recorded. */
  auto SampleCount() const -> std::uint64_t { return samples_; }

 private:
  /** Times that are estimated: to the first event, and between events. */
  enum measure : std::size_t { kFirstEvent, kGap, kMeasures };
  struct estimate {
    /** Logarithm of the factor, relative to the typical time of the service at
     * the same number of requests and to what the server reports. */
    fading_average level;
    load_trend trend;
    double factor = 1;  ///< As of the latest refresh.
    double slope = 0;   ///< Likewise.
  };
  struct server_row {
    service_id service;
    unsigned slots = 1;
    std::uint64_t start = 0;
    std::array<estimate, kMeasures> estimates;
    time_point faded_at;       ///< Time to which the weights apply.
    double told = 1;           ///< Smoothed.
    time_point told_at;        ///< Time of the latest report.
    double told_now = 1;       ///< As applied since the latest refresh.
    double told_integral = 0;  ///< Of `told_now` until `integrated_at`.
    time_point integrated_at;
    double factor = 1;      ///< Both measures, without `told_now`.
    int band = 0;           ///< Of `factor`, when it was last logged.
    time_point may_log_at;  ///< No change is logged before then.
    server_pace pace;
  };
  struct typical_time {
    /** Squared deviation of samples from the estimate of their server. */
    fading_average variance;
    double prior = 0;  ///< Weight of the assumption that a server is typical.
    fading_average level;  ///< Logarithm of seconds at load 0.
    load_trend trend;
    double seconds = 0;  ///< As of the latest refresh; 0: unknown.
    double slope = 0;    ///< Likewise.
  };
  struct service_row {
    std::array<typical_time, kMeasures> times;
    time_point faded_at;           ///< Time to which the weights apply.
    fading_average first_share;    ///< Part of a run before its first event.
    fading_average batch_seconds;  ///< Of a batch run, see BatchRunTime().
    answer_objectives objectives;  ///< Strictest of late; zero: none.
    time_point objectives_until;   ///< They are forgotten then.
    unsigned slots = 1;            ///< Most slots of a server.
    std::vector<server_row*> servers;
  };

  auto RefreshNow(time_point now) -> void;
  auto RefreshService(service_row& service, time_point now) -> void;
  auto RefreshPace(const service_row& service, server_row& row, time_point now)
      -> void;
  /** Makes the median of the estimates of a service 1. */
  auto CentreOnMedian(service_row& service, measure which) -> void;
  /** Estimates how far the servers of a service differ. */
  auto UpdatePrior(service_row& service, measure which) -> void;
  auto RecordMeasure(service_row& service,
                     server_row& row,
                     measure which,
                     double seconds,
                     double load,
                     double weight) -> void;
  auto FadeServer(server_row& row, time_point now) -> void;
  auto FadeService(service_row& row, time_point now) -> void;
  /** Returns the integral of `told_now` until `now`. */
  static auto IntegralAt(const server_row& row, time_point now) -> double;
  /** Logarithm of a factor, drawn towards 0 while there are few samples. */
  static auto Shrunk(const fading_average& level, double prior) -> double;
  auto Room(const service_row& service,
            const server_row& row,
            const answer_objectives& objectives) const -> std::uint32_t;
  auto NoteChange(const server_id& id, server_row& row, time_point now) -> void;

  speed_policy policy_;
  std::map<server_id, server_row> servers_;
  std::map<service_id, service_row> services_;
  std::vector<speed_change> changes_;
  std::vector<double> levels_;  // Scratch of CentreOnMedian().
  time_point refresh_at_;
  std::uint64_t samples_ = 0;
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_SPEED_H_
