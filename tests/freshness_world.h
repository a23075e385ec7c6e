/** Simulated hosts, network and log for the test of library freshness. */
#ifndef TESTS_FRESHNESS_WORLD_H_
#define TESTS_FRESHNESS_WORLD_H_

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

constexpr std::chrono::seconds kLimit{5};
constexpr real_us kSecond = 1'000'000;
constexpr real_us kPullPeriod = kSecond / 2;
/** Longest time that a request is held before its reply. */
constexpr real_us kHoldLimit = kSecond;

/** How rough a world is. */
struct world_faults {
  double loss = 0.05;           ///< Share of messages lost.
  double slow = 0.02;           ///< Share of messages that take seconds.
  double answer_loss = 0.1;     ///< Share of append answers lost.
  double stray = 0.1;           ///< Share of pulls from any member.
  double change_rate = 0.05;    ///< Chance of a change at a tick.
  double pause_rate = 0.01;     ///< Chance of a pause at a tick.
  double restart_rate = 0.002;  ///< Chance of a new controld at a tick.
  double away_rate = 0.01;      ///< Chance that a daemon asks another host.
  double join_rate = 0.002;     ///< Chance of a new host at a tick.
  double cut_rate = 0.004;      ///< Chance of a region cut at a tick.
  double outage_rate = 0.004;   ///< Chance of a store outage at a tick.
  double drift = 0.05;          ///< Clock rates are within 1 -+ drift.
};

/** One record of the simulated log. */
struct sim_record {
  std::size_t host = 0;      ///< Writer.
  std::uint64_t start = 0;   ///< Its start.
  std::uint64_t change = 0;  ///< Id of a change, 0 for a join.
};

/** A change that its host has not answered yet. */
struct sim_change {
  std::uint64_t id = 0;                    ///< Id.
  time_point resend;                       ///< When to append again.
  std::optional<time_point> acknowledged;  ///< Answer or sight of it.
};

/** One host: controld and one daemon. */
struct sim_host {
  std::size_t index = 0;              ///< Position in the world; also its name.
  std::size_t region = 0;             ///< Region; the log is in region 0.
  std::uint64_t start = 1;            ///< Start of the controld.
  double rate = 1;                    ///< Rate of its clock.
  real_us rate_since = 0;             ///< When the rate was drawn.
  time_point local_then;              ///< Its clock at that time.
  real_us paused_until = 0;           ///< Handles nothing before.
  std::uint64_t applied = 0;          ///< Records applied by controld.
  std::optional<std::uint64_t> join;  ///< Offset of its join.
  time_point join_resend;             ///< When to append it again.
  std::unique_ptr<freshness_tracker> tracker;  ///< State under test.
  std::map<std::size_t, std::pair<reply_echo, time_point>>
      echoes;                        ///< By peer.
  std::vector<sim_change> changes;   ///< Waiting changes.
  std::uint64_t daemon_applied = 0;  ///< Records its daemon applied.
  real_us away_until = 0;            ///< Its daemon asks another host before.
  std::size_t away_peer = 0;         ///< That host.
  time_point daemon_as_of = time_point::min();  ///< Proof of its daemon.
};

/** Discrete events in real time; one Step() handles one event. */
class freshness_world {
 public:
  freshness_world(std::uint64_t seed,
                  world_faults faults,
                  std::size_t hosts,
                  std::size_t regions);

  /** Handles the next event. */
  auto Step() -> void;
  /** Runs until `until`. */
  auto RunUntil(real_us until) -> void;
  /** A host that serves on a configuration older than an accepted one. */
  auto Violation() const -> std::optional<std::string>;
  /** Whether the daemon of `host` serves. */
  auto Serves(std::size_t host) const -> bool;
  auto now() const -> real_us { return now_; }
  auto accepted() const -> std::uint64_t { return accepted_; }
  auto early_accepts() const -> std::uint64_t { return early_; }
  auto hosts() const -> std::size_t { return hosts_.size(); }
  auto host(std::size_t i) const -> const sim_host& { return *hosts_[i]; }
  /** Begins or ends an outage of the store, for all hosts but `spared`. */
  auto SetOutage(real_us until,
                 std::optional<std::size_t> spared = std::nullopt) -> void {
    outage_until_ = until;
    outage_spared_ = spared;
  }
  /** Cuts `region` off until `until`. */
  auto SetCut(std::size_t region, real_us until) -> void {
    cut_region_ = region;
    cut_until_ = until;
  }
  auto faults() -> world_faults& { return faults_; }

 private:
  using action = std::function<void()>;
  struct event {
    real_us at;         ///< When.
    std::uint64_t seq;  ///< Order of events at one time.
    action run;         ///< What happens.
    auto operator<(const event& other) const -> bool {
      return std::pair(at, seq) > std::pair(other.at, other.seq);
    }
  };
  struct tail_reply {
    std::uint64_t from, next;         ///< Records.
    std::optional<duration> age;      ///< Of the proof, if proven.
    std::optional<attestation> down;  ///< as_of unused, see `down_age`.
    duration down_age{};              ///< Age of `down`.
    duration held{};                  ///< From arrival of the request to this.
    reply_echo stamp;                 ///< To be echoed.
  };

  auto Chance(double p) -> bool { return uniform_(random_) < p; }
  auto Between(real_us a, real_us b) -> real_us {
    return a +
           static_cast<real_us>(uniform_(random_) * static_cast<double>(b - a));
  }
  auto At(real_us at, action run) -> void;
  auto Deliver(std::size_t from_region, sim_host* to, action run) -> void;
  auto Local(const sim_host& h) const -> time_point;
  auto IsCut(std::size_t a, std::size_t b) const -> bool;
  /** Whether the store fails for `h` now. */
  auto InOutage(const sim_host& h) const -> bool {
    return now_ < outage_until_ && outage_spared_ != h.index;
  }
  auto MembersAt(std::uint64_t next) const -> std::vector<member>;

  auto AddHost(std::size_t region) -> void;
  auto StartControld(sim_host& h) -> void;
  auto Tick(sim_host& h) -> void;
  auto Disturb(sim_host& h) -> void;
  auto TickDaemon(sim_host& h) -> void;
  auto Pull(sim_host& h) -> void;
  auto SendPull(sim_host& h, sim_host& peer) -> void;
  auto SendReply(sim_host& h,
                 sim_host& peer,
                 time_point sent,
                 std::uint64_t start,
                 time_point arrived) -> void;
  auto NoteDaemonPull(const sim_host& h, sim_host& peer, std::uint64_t from)
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
  auto SeeRecord(sim_host& h, std::uint64_t offset) -> void;
  auto Join(sim_host& h) -> void;
  auto ConfirmAlone(sim_host& h) -> void;
  auto HandleChanges(sim_host& h) -> void;

  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  world_faults faults_;
  std::size_t regions_;
  real_us now_ = 0;
  std::uint64_t seq_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<sim_host>> hosts_;
  std::vector<sim_record> log_;
  std::map<std::uint64_t, std::uint64_t> first_offset_;  // By change id.
  std::uint64_t next_change_ = 1;
  std::uint64_t accepted_ = 0;
  std::uint64_t early_ = 0;
  real_us outage_until_ = 0;
  std::optional<std::size_t> outage_spared_;  // Still reaches the store.
  real_us cut_until_ = 0;
  std::size_t cut_region_ = 0;
};

}  // namespace dogwood::test

#endif  // TESTS_FRESHNESS_WORLD_H_
