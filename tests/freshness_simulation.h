/** Simulation of hosts, network and log for the tests of library freshness. */
#ifndef TESTS_FRESHNESS_SIMULATION_H_
#define TESTS_FRESHNESS_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/freshness.h"

namespace dogwood::test {

/** Real time in microseconds. */
using real_us = std::int64_t;

constexpr std::chrono::seconds kFreshnessLimit{5};
constexpr real_us kSecond = 1'000'000;
constexpr real_us kPullInterval = kSecond / 2;
/** Longest time that a host holds a request before it replies. */
constexpr real_us kHoldLimit = kSecond;

/** Rates of the simulated faults. */
struct simulation_faults {
  double loss_rate = 0.05;        ///< Fraction of messages lost.
  double slow_rate = 0.02;        ///< Fraction of messages that take seconds.
  double answer_loss_rate = 0.1;  ///< Fraction of append answers lost.
  double extra_pull_rate = 0.1;   ///< Fraction of pulls beyond the tree.
  double change_rate = 0.05;      ///< Probability of a change per tick.
  double pause_rate = 0.01;       ///< Probability of a pause per tick.
  double restart_rate = 0.002;  ///< Probability of a controld restart per tick.
  double failover_rate = 0.01;  ///< Probability of a daemon failover per tick.
  double join_rate = 0.002;     ///< Probability of a new host per tick.
  double partition_rate =
      0.004;                   ///< Probability of a network partition per tick.
  double outage_rate = 0.004;  ///< Probability of a store outage per tick.
  double max_drift = 0.05;     ///< Clock rates are within 1 -+ drift.
};

/** One record of the simulated log. */
struct sim_record {
  std::size_t host = 0;      ///< Writer.
  std::uint64_t start = 0;   ///< Incarnation of the writer.
  std::uint64_t change = 0;  ///< Id of a change, 0 for a join.
};

/** A change that its host has not answered yet. */
struct sim_change {
  std::uint64_t id = 0;
  time_point resend;                       ///< When to append it again.
  std::optional<time_point> acknowledged;  ///< When the host learned of it.
};

/** A simulated host with its controld and one daemon. */
struct sim_host {
  std::size_t index = 0;              ///< Index in hosts_; also its name.
  std::size_t region = 0;             ///< Region; the log is in region 0.
  std::uint64_t start = 1;            ///< Incarnation of the controld.
  double rate = 1;                    ///< Rate of its clock.
  real_us rate_changed_at = 0;        ///< When the rate was changed.
  time_point local_at_rate_change;    ///< Its clock at that time.
  real_us paused_until = 0;           ///< Handles no events before.
  std::uint64_t applied = 0;          ///< Records applied by controld.
  std::optional<std::uint64_t> join;  ///< Offset of its join record.
  time_point join_resend;             ///< When to append it again.
  std::unique_ptr<freshness_tracker> tracker;  ///< State under test.
  std::map<std::size_t, std::pair<reply_echo, time_point>>
      echoes;                        ///< Latest reply and arrival, by peer.
  std::vector<sim_change> changes;   ///< Changes that are not accepted yet.
  std::uint64_t daemon_applied = 0;  ///< Records applied by its daemon.
  real_us failover_until = 0;        ///< Its daemon pulls elsewhere before.
  std::size_t failover_peer = 0;     ///< Host that it pulls from then.
  time_point daemon_as_of = time_point::min();  ///< Proof of its daemon.
};

/** Discrete event simulation in real time; Step() handles one event. */
class freshness_simulation {
 public:
  freshness_simulation(std::uint64_t seed,
                       simulation_faults faults,
                       std::size_t hosts,
                       std::size_t regions);

  auto Step() -> void;
  /** Handles all events before `until`. */
  auto RunUntil(real_us until) -> void;
  /** Describes a host that serves on a configuration older than an accepted
   * one, if there is any. */
  auto FindViolation() const -> std::optional<std::string>;
  /** Whether the daemon of `host` serves. */
  auto Serves(std::size_t host) const -> bool;
  auto now() const -> real_us { return now_; }
  auto accepted() const -> std::uint64_t { return accepted_; }
  auto accepted_early() const -> std::uint64_t { return accepted_early_; }
  auto hosts() const -> std::size_t { return hosts_.size(); }
  auto host(std::size_t i) const -> const sim_host& { return *hosts_[i]; }
  /** Makes the store fail until `until`, for all hosts but `spared`. */
  auto SetOutage(real_us until,
                 std::optional<std::size_t> spared = std::nullopt) -> void {
    outage_until_ = until;
    outage_spared_ = spared;
  }
  /** Disconnects `region` from the others until `until`. */
  auto SetPartition(std::size_t region, real_us until) -> void {
    partitioned_region_ = region;
    partition_until_ = until;
  }
  auto faults() -> simulation_faults& { return faults_; }

 private:
  using action = std::function<void()>;
  struct event {
    real_us at;
    std::uint64_t seq;  ///< Order of events of the same time.
    action run;
    auto operator<(const event& other) const -> bool {
      return std::pair(at, seq) > std::pair(other.at, other.seq);
    }
  };
  struct tail_reply {
    std::uint64_t from, next;         ///< Range of records.
    std::optional<duration> age;      ///< Age of the proof, if there is one.
    std::optional<attestation> down;  ///< as_of is unused, see `down_age`.
    duration down_age{};              ///< Age of `down`.
    duration held{};   ///< From arrival of the request to the reply.
    reply_echo stamp;  ///< To be echoed by the receiver.
  };

  auto Chance(double p) -> bool { return uniform_(random_) < p; }
  auto Between(real_us a, real_us b) -> real_us {
    return a +
           static_cast<real_us>(uniform_(random_) * static_cast<double>(b - a));
  }
  auto At(real_us at, action run) -> void;
  auto Deliver(std::size_t from_region, sim_host* to, action run) -> void;
  auto LocalTime(const sim_host& h) const -> time_point;
  auto IsPartitioned(std::size_t a, std::size_t b) const -> bool;
  /** Whether requests of `h` to the store fail now. */
  auto InOutage(const sim_host& h) const -> bool {
    return now_ < outage_until_ && outage_spared_ != h.index;
  }
  auto MembersAt(std::uint64_t next) const -> std::vector<member>;

  auto AddHost(std::size_t region) -> void;
  auto StartControld(sim_host& h) -> void;
  auto Tick(sim_host& h) -> void;
  auto InjectFaults(sim_host& h) -> void;
  auto TickDaemon(sim_host& h) -> void;
  auto Pull(sim_host& h) -> void;
  auto SendPull(sim_host& h, sim_host& peer) -> void;
  auto SendReply(sim_host& h,
                 sim_host& peer,
                 time_point sent,
                 std::uint64_t start,
                 time_point arrived) -> void;
  auto ReportDaemonPull(const sim_host& h, sim_host& peer, std::uint64_t from)
      -> void;
  auto AnswerDaemon(sim_host& h,
                    sim_host& peer,
                    time_point sent,
                    std::uint64_t from,
                    time_point arrived) -> void;
  auto ServePull(sim_host& h) -> std::optional<tail_reply>;
  auto HandleReply(sim_host& h,
                   std::size_t peer,
                   const tail_reply& reply,
                   time_point sent) -> void;
  auto ReadLog(sim_host& h) -> void;
  auto Append(sim_host& h, sim_record record, action acknowledged) -> void;
  auto Apply(sim_host& h, std::uint64_t from, std::uint64_t end) -> void;
  auto HandleOwnRecord(sim_host& h, std::uint64_t offset) -> void;
  auto Join(sim_host& h) -> void;
  auto ConfirmAlone(sim_host& h) -> void;
  auto HandleChanges(sim_host& h) -> void;

  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  simulation_faults faults_;
  std::size_t regions_;
  real_us now_ = 0;
  std::uint64_t seq_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<sim_host>> hosts_;
  std::vector<sim_record> log_;
  std::map<std::uint64_t, std::uint64_t> first_offset_;  // By change id.
  std::uint64_t next_change_ = 1;
  std::uint64_t accepted_ = 0;
  std::uint64_t accepted_early_ = 0;
  real_us outage_until_ = 0;
  std::optional<std::size_t> outage_spared_;  // Host that reaches the store.
  real_us partition_until_ = 0;
  std::size_t partitioned_region_ = 0;
};

}  // namespace dogwood::test

#endif  // TESTS_FRESHNESS_SIMULATION_H_
