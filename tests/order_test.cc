/** Tests of library order. */
#include <rapidcheck.h>
#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "src/order.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::test {
namespace {

using std::chrono::milliseconds;

constexpr int kHosts = 4;
constexpr int kSteps = 20000;
constexpr double kStepMs = 20;
constexpr double kFlightMs = 500;
constexpr double kDrift = 0.05;

/** One host with a clock of its own. */
struct order_host {
  std::unique_ptr<order_table> table;        ///< Under test.
  double rate = 1;                           ///< Of its clock.
  double offset_ms = 0;                      ///< Its clock at 0.
  std::size_t read = 0;                      ///< Records it has read.
  std::map<std::uint64_t, time_point> sent;  ///< Its appends by offset.
};

/** An order or an append that is under way. */
struct in_flight {
  double at_ms = 0;          ///< Arrival.
  std::uint64_t number = 0;  ///< Its fencing number; 0 for an append.
  int host = 0;              ///< Sender.
  time_point sent;           ///< By the sender's clock.
};

/** One server that ignores numbers, and hosts that race for it. */
class order_world {
 public:
  explicit order_world(std::uint64_t seed) : random_(seed) {
    const order_policy policy{milliseconds(3000),
                              milliseconds(static_cast<int>(kFlightMs))};
    for (int i = 0; i < kHosts; ++i) {
      order_host h;
      h.table = std::make_unique<order_table>(host_id("h" + std::to_string(i)),
                                              incarnation(1), policy);
      h.rate = 1 - kDrift + 2 * kDrift * Unit();
      h.offset_ms = 1e6 * Unit();
      hosts_.push_back(std::move(h));
    }
  }

  /** One step; false if an old order took effect after a newer one. */
  auto Step() -> bool {
    now_ms_ += kStepMs;
    for (int i = 0; i < kHosts; ++i) {
      // A host that is paused or cut off does nothing for many steps.
      if (Unit() < 0.6) {
        Act(i);
      }
    }
    return Arrive();
  }
  auto effects() const -> std::uint64_t { return effects_; }

 private:
  auto Unit() -> double {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  auto Local(const order_host& h) const -> time_point {
    return time_point(milliseconds(
        static_cast<std::int64_t>(h.offset_ms + now_ms_ * h.rate)));
  }

  auto Act(int i) -> void {
    auto& h = hosts_[static_cast<std::size_t>(i)];
    const auto local = Local(h);
    if (Unit() < 0.002 || h.table->NeedsRenewal(server_, local)) {
      // Fast appends leave the least time between sending and sight.
      const auto delay = Unit() < 0.5 ? 0 : 2000 * Unit();
      flying_.push_back({now_ms_ + delay, 0, i, local});
    }
    while (h.read < log_.size() && Unit() < 0.9) {
      const auto holder = log_[h.read];
      order_record record;
      record.number = fencing_number(h.read + 1);
      record.holder = host_id("h" + std::to_string(holder));
      record.start = incarnation(1);
      record.order.server = server_;
      const auto sent = h.sent.find(record.number.value);
      h.table->Take(
          record, local,
          sent == h.sent.end() ? std::nullopt : std::optional(sent->second));
      ++h.read;
    }
    if (const auto send = h.table->MaySend(server_, false, local)) {
      flying_.push_back(
          {now_ms_ + kFlightMs * Unit(), send->number.value, i, local});
    }
  }

  auto Arrive() -> bool {
    std::sort(flying_.begin(), flying_.end(),
              [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    while (!flying_.empty() && flying_.front().at_ms <= now_ms_) {
      const auto arrived = flying_.front();
      flying_.pop_front();
      if (arrived.number == 0) {
        log_.push_back(arrived.host);
        auto& sender = hosts_[static_cast<std::size_t>(arrived.host)];
        sender.sent[log_.size()] = arrived.sent;
        continue;
      }
      if (arrived.number < newest_) {
        return false;
      }
      newest_ = arrived.number;
      ++effects_;
      if (Unit() < 0.02) {
        hosts_[static_cast<std::size_t>(arrived.host)].table->NoteDone(
            server_, fencing_number(arrived.number));
      }
    }
    return true;
  }

  std::mt19937_64 random_;
  server_id server_{"s1"};
  double now_ms_ = 0;
  std::vector<order_host> hosts_;
  std::vector<int> log_;  ///< Holder by offset; number is offset + 1.
  std::deque<in_flight> flying_;
  std::uint64_t newest_ = 0;
  std::uint64_t effects_ = 0;
};

/** Whether orders take effect in the order of their numbers. */
auto OrdersStayInOrder() -> bool {
  std::uint64_t effects = 0;
  const bool ok = rc::check("no old order after a newer one",
                            [&effects](std::uint64_t seed) {
                              order_world world(seed);
                              for (int i = 0; i < kSteps; ++i) {
                                RC_ASSERT(world.Step());
                              }
                              effects += world.effects();
                            });
  std::cout << "order: " << effects << " orders took effect\n";
  return ok && effects > 1000;
}

}  // namespace
}  // namespace dogwood::test

// Guards against a paused holder that undoes its successor's order at a server
// that does not check fencing numbers.
Test(order, an_old_order_never_follows_a_newer_one) {
  cr_assert(dogwood::test::OrdersStayInOrder());
}
