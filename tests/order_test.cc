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
constexpr double kMaxDeliveryMs = 500;
constexpr double kDrift = 0.05;

/** A simulated host with its own clock. */
struct order_host {
  std::unique_ptr<order_table> table;        ///< Under test.
  double rate = 1;                           ///< Rate of its clock.
  double offset_ms = 0;                      ///< Its clock at real time 0.
  std::size_t read = 0;                      ///< Number of records read.
  std::map<std::uint64_t, time_point> sent;  ///< Its appends by offset.
};

/** An order or an append in flight. */
struct message_in_flight {
  double arrives_ms = 0;     ///< Arrival.
  std::uint64_t number = 0;  ///< Fencing number; 0 for an append.
  int host = 0;              ///< Sender.
  time_point sent;           ///< Send time by the sender's clock.
};

/** Simulation of several hosts that send orders to one server, which does not
 * check fencing numbers. */
class order_simulation {
 public:
  explicit order_simulation(std::uint64_t seed) : random_(seed) {
    const order_policy policy{milliseconds(3000),
                              milliseconds(static_cast<int>(kMaxDeliveryMs))};
    for (int i = 0; i < kHosts; ++i) {
      order_host h;
      h.table = std::make_unique<order_table>(host_id("h" + std::to_string(i)),
                                              incarnation(1), policy);
      h.rate = 1 - kDrift + 2 * kDrift * Unit();
      h.offset_ms = 1e6 * Unit();
      hosts_.push_back(std::move(h));
    }
  }

  /** Simulates one step; returns false if an old order took effect after a
   * newer one. */
  auto Step() -> bool {
    now_ms_ += kStepMs;
    for (int i = 0; i < kHosts; ++i) {
      // Hosts act only in some steps, as if paused or cut off in the others.
      if (Unit() < 0.6) {
        ActAsHost(i);
      }
    }
    return DeliverMessages();
  }
  auto effects() const -> std::uint64_t { return effects_; }

 private:
  auto Unit() -> double {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  auto LocalTime(const order_host& h) const -> time_point {
    return time_point(milliseconds(
        static_cast<std::int64_t>(h.offset_ms + now_ms_ * h.rate)));
  }

  auto ActAsHost(int i) -> void {
    auto& h = hosts_[static_cast<std::size_t>(i)];
    const auto local = LocalTime(h);
    if (Unit() < 0.002 || h.table->NeedsRenewal(server_, local)) {
      // Half of the appends are instant: the record is then read soonest after
      // its append was sent.
      const auto delay = Unit() < 0.5 ? 0 : 2000 * Unit();
      messages_.push_back({now_ms_ + delay, 0, i, local});
    }
    while (h.read < log_.size() && Unit() < 0.9) {
      const auto holder = log_[h.read];
      order_record record;
      record.number = fencing_number(h.read + 1);
      record.holder = host_id("h" + std::to_string(holder));
      record.start = incarnation(1);
      record.order.server = server_;
      const auto sent = h.sent.find(record.number.value);
      h.table->ApplyRecord(
          record, local,
          sent == h.sent.end() ? std::nullopt : std::optional(sent->second));
      ++h.read;
    }
    if (const auto send = h.table->FindSendable(server_, false, local)) {
      messages_.push_back(
          {now_ms_ + kMaxDeliveryMs * Unit(), send->number.value, i, local});
    }
  }

  auto DeliverMessages() -> bool {
    std::sort(messages_.begin(), messages_.end(),
              [](const auto& a, const auto& b) {
                return a.arrives_ms < b.arrives_ms;
              });
    while (!messages_.empty() && messages_.front().arrives_ms <= now_ms_) {
      const auto arrived = messages_.front();
      messages_.pop_front();
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
        hosts_[static_cast<std::size_t>(arrived.host)].table->RecordEffect(
            server_, fencing_number(arrived.number));
      }
    }
    return true;
  }

  std::mt19937_64 random_;
  server_id server_{"s1"};
  double now_ms_ = 0;
  std::vector<order_host> hosts_;
  std::vector<int> log_;  ///< Holder by offset; the number is offset + 1.
  std::deque<message_in_flight> messages_;
  std::uint64_t newest_ = 0;
  std::uint64_t effects_ = 0;
};

/** Property: orders take effect in the order of their fencing numbers. */
auto OrdersTakeEffectInOrder() -> bool {
  std::uint64_t effects = 0;
  const bool ok = rc::check("no old order after a newer one",
                            [&effects](std::uint64_t seed) {
                              order_simulation simulation(seed);
                              for (int i = 0; i < kSteps; ++i) {
                                RC_ASSERT(simulation.Step());
                              }
                              effects += simulation.effects();
                            });
  std::cout << "order: " << effects << " orders took effect\n";
  return ok && effects > 1000;
}

}  // namespace
}  // namespace dogwood::test

// Guards against a paused holder whose stale order takes effect after its
// successor's order, at a server that does not check fencing numbers.
Test(order, an_old_order_never_follows_a_newer_one) {
  cr_assert(dogwood::test::OrdersTakeEffectInOrder());
}
