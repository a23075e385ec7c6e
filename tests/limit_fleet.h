/** A fleet of hosts that share limits, over lossy messages, for tests and
 * measurements of library limit. */
#ifndef TESTS_LIMIT_FLEET_H_
#define TESTS_LIMIT_FLEET_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "src/limit.h"

namespace dogwood::testing {

/** Faults and delays of the messages between hosts and owner. */
struct fleet_faults {
  double loss = 0;                         ///< Share of messages lost.
  std::chrono::milliseconds delay_max{2};  ///< One way, uniform from 0.
  double clock_drift = 0;                  ///< Hosts' clocks run 1 +- this.
};

/** Checks admissions against rate and burst over every interval. */
class conformance {
 public:
  explicit conformance(limit_rate rate) : rate_(rate), level_(rate.burst) {}

  /** Notes an admission; returns by how much it exceeds the limit. */
  auto Admit(time_point now) -> double {
    const auto elapsed = std::chrono::duration<double>(now - at_).count();
    level_ = std::min(rate_.burst, level_ + elapsed * rate_.per_s);
    at_ = now;
    level_ -= 1;
    // Rounding of the levels in floating point.
    constexpr double kTolerance = 1e-6;
    return level_ < -kTolerance ? -level_ : 0;
  }

 private:
  limit_rate rate_;
  double level_;
  time_point at_;
};

/** One workspace, one owner at a time and `hosts` hosts. */
class limit_fleet {
 public:
  static constexpr std::chrono::milliseconds kLife{1000};
  static constexpr std::chrono::milliseconds kAskPeriod{200};
  static constexpr std::chrono::milliseconds kAskLimit{300};

  limit_fleet(std::size_t hosts,
              limit_mode mode,
              limit_rate rate,
              fleet_faults faults,
              std::uint32_t seed)
      : rate_(rate), faults_(faults), random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      const auto spread = std::uniform_real_distribution<>(
          -faults.clock_drift, faults.clock_drift)(random_);
      hosts_.push_back({std::make_unique<limit_share_table>(mode, kAskPeriod),
                        1 + spread, 0});
      hosts_.back().shares->SetHostCount(hosts);
    }
    ChangeOwner(time_point() + std::chrono::hours(1));
  }

  /** A new owner takes over at `since`; the former gives nothing more. */
  auto ChangeOwner(time_point since) -> void {
    owner_ = std::make_unique<limit_owner_table>(kLife, random_());
    owner_since_ = since;
  }

  /** The owner drops what it need not keep. */
  auto EvictFull(time_point now) -> void { owner_->EvictFull(now); }

  /** A request at `host`; true if it is admitted at once. */
  auto Request(std::size_t host, time_point now) -> bool {
    return hosts_[host].shares->Admit(kWorkspace, rate_, Local(host, now));
  }

  /** A request that waits tries again. */
  auto Retry(std::size_t host, time_point now) -> bool {
    return hosts_[host].shares->AdmitWaiting(kWorkspace, rate_,
                                             Local(host, now));
  }

  /** A request that waits gives up. */
  auto GiveUp(std::size_t host) -> void {
    hosts_[host].shares->StopWaiting(kWorkspace);
  }

  /** A host is lost with what it holds. */
  auto Restart(std::size_t host, limit_mode mode) -> void {
    hosts_[host].shares = std::make_unique<limit_share_table>(mode, kAskPeriod);
    hosts_[host].shares->SetHostCount(hosts_.size());
    ++hosts_[host].start;
  }

  /** Sends due asks and delivers messages that arrive by `now`. */
  auto Advance(time_point now) -> void {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      SendAsks(i, now);
    }
    std::stable_sort(
        messages_.begin(), messages_.end(),
        [](const auto& a, const auto& b) { return a.arrives < b.arrives; });
    while (!messages_.empty() && messages_.front().arrives <= now) {
      const auto m = messages_.front();
      messages_.pop_front();
      Deliver(m);
    }
  }

  auto random() -> std::mt19937& { return random_; }

 private:
  struct host_state {
    std::unique_ptr<limit_share_table> shares;  ///< What it holds.
    double clock_rate = 1;  ///< Its seconds in a true second.
    unsigned start = 0;     ///< Counts restarts.
  };
  struct message {
    time_point arrives;                ///< True time of arrival.
    std::size_t host = 0;              ///< Sender of the ask.
    unsigned start = 0;                ///< Its start.
    time_point sent;                   ///< The host's time of the ask.
    token_request ask;                 ///< The ask.
    std::optional<token_grant> grant;  ///< Set in an answer.
  };

  inline static const workspace_id kWorkspace{"w"};

  /** A host's clock at true time `now`. */
  auto Local(std::size_t host, time_point now) const -> time_point {
    const std::chrono::duration<double> since(now.time_since_epoch());
    return time_point(
        std::chrono::duration_cast<duration>(since * hosts_[host].clock_rate));
  }

  /** Queues a message unless it is lost. */
  auto Send(message m, time_point now) -> void {
    if (std::bernoulli_distribution(faults_.loss)(random_)) {
      return;
    }
    std::uniform_int_distribution<std::int64_t> delay(
        0, std::chrono::microseconds(faults_.delay_max).count());
    m.arrives = now + std::chrono::microseconds(delay(random_));
    messages_.push_back(std::move(m));
  }

  auto SendAsks(std::size_t host, time_point now) -> void {
    const auto local = Local(host, now);
    for (auto& ask :
         hosts_[host].shares->DueRequests(local, local + kAskLimit)) {
      Send({{}, host, hosts_[host].start, local, std::move(ask), {}}, now);
    }
  }

  /** Delivers an ask to the owner or a grant to its host. */
  auto Deliver(const message& m) -> void {
    if (m.grant) {
      if (hosts_[m.host].start == m.start) {
        hosts_[m.host].shares->ApplyGrant(kWorkspace, *m.grant, m.sent);
      }
      return;
    }
    auto answer = m;
    answer.grant = owner_->Grant(kWorkspace, rate_, m.ask.tokens, m.ask.reports,
                                 owner_since_, m.arrives);
    Send(std::move(answer), m.arrives);
  }

  limit_rate rate_;
  fleet_faults faults_;
  std::mt19937 random_;
  std::vector<host_state> hosts_;
  std::unique_ptr<limit_owner_table> owner_;
  time_point owner_since_;
  std::deque<message> messages_;
};

}  // namespace dogwood::testing

#endif  // TESTS_LIMIT_FLEET_H_
