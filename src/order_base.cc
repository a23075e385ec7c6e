#include "src/order_base.h"

#include <algorithm>

namespace dogwood {

auto order_table::Take(const order_record& record,
                       time_point seen,
                       std::optional<time_point> own_sent) -> void {
  const std::lock_guard lock(mutex_);
  auto& e = entries_[record.order.server];
  if (e.newest.order.server == record.order.server &&
      record.number <= e.newest.number) {
    return;
  }
  // An own order that was sent just now may still take effect later than the
  // next one. It is not sent again from here on.
  const auto own_end = std::min(e.deadline, seen) + WithDrift(policy_.flight);
  if (e.deadline != time_point::min()) {
    e.former_until = std::max(e.former_until, own_end);
  }
  e.newest = record;
  e.done = false;
  if (IsOwn(record) && own_sent) {
    e.deadline = *own_sent + policy_.hold;
    return;
  }
  e.deadline = time_point::min();
  const auto end = seen + WithDrift(policy_.hold + policy_.flight);
  e.former_until = std::max(e.former_until, end);
}

auto order_table::NoteDone(const server_id& server, fencing_number number)
    -> void {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(server);
  if (found != entries_.end() && found->second.newest.number == number) {
    found->second.done = true;
  }
}

auto order_table::MaySend(const server_id& server,
                          bool checks_fencing,
                          time_point now) const -> std::optional<order_send> {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const auto& e = found->second;
  const bool must_wait = !checks_fencing && now < e.former_until;
  if (!IsOwn(e.newest) || e.done || must_wait || now >= e.deadline) {
    return std::nullopt;
  }
  order_send send;
  send.number = e.newest.number;
  send.order = e.newest.order;
  send.send_before = e.deadline;
  return send;
}

auto order_table::NeedsRenewal(const server_id& server, time_point now) const
    -> bool {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(server);
  return found != entries_.end() && IsOwn(found->second.newest) &&
         !found->second.done && now >= found->second.deadline;
}

}  // namespace dogwood
