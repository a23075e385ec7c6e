#include "src/order_base.h"

#include <algorithm>

namespace dogwood {

auto order_table::ApplyRecord(const order_record& record,
                              time_point read_at,
                              std::optional<time_point> own_append_sent)
    -> void {
  const std::lock_guard lock(mutex_);
  auto& e = entries_[record.order.server];
  if (e.newest.order.server == record.order.server &&
      record.number <= e.newest.number) {
    return;
  }
  // An own order that was sent just before may still take effect after the new
  // one. It is not sent again from here on.
  const auto own_order_done_at =
      std::min(e.deadline, read_at) + WithDrift(policy_.max_delivery_time);
  if (e.deadline != time_point::min()) {
    e.former_done_at = std::max(e.former_done_at, own_order_done_at);
  }
  e.newest = record;
  e.is_done = false;
  if (IsOwn(record) && own_append_sent) {
    e.deadline = *own_append_sent + policy_.lease;
    return;
  }
  e.deadline = time_point::min();
  const auto end =
      read_at + WithDrift(policy_.lease + policy_.max_delivery_time);
  e.former_done_at = std::max(e.former_done_at, end);
}

auto order_table::RecordEffect(const server_id& server, fencing_number number)
    -> void {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(server);
  if (found != entries_.end() && found->second.newest.number == number) {
    found->second.is_done = true;
  }
}

auto order_table::FindSendable(const server_id& server,
                               bool checks_fencing,
                               time_point now) const
    -> std::optional<order_send> {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const auto& e = found->second;
  const bool is_blocked = !checks_fencing && now < e.former_done_at;
  if (!IsOwn(e.newest) || e.is_done || is_blocked || now >= e.deadline) {
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
         !found->second.is_done && now >= found->second.deadline;
}

}  // namespace dogwood
