/** Decides which orders a host may send, and when.
 *
 * Only the newest order record of a server may be sent. Servers that check
 * fencing numbers refuse stale orders themselves. For other servers the holder
 * of a record acts under a lease: it sends only within `lease` after it sent
 * its append, and the next holder waits until an order that the former holder
 * sent at the last moment has taken effect. The wait is counted from reading
 * the former record, which is safe because its append was sent before. */
#ifndef SRC_ORDER_BASE_H_
#define SRC_ORDER_BASE_H_

#include <map>
#include <mutex>
#include <optional>

#include "src/freshness_type.h"
#include "src/order_type.h"

namespace dogwood {

/** One host's view of the orders of all servers. Thread-safe. */
class order_table {
 public:
  order_table(host_id self, incarnation start, order_policy policy)
      : self_(std::move(self)), start_(start), policy_(policy) {}

  /** Applies a record of the log that was read at `read_at`; to be called in
   * log order. `own_append_sent` is when this host's append of it was first
   * sent; nothing for records of other hosts. */
  auto ApplyRecord(const order_record& record,
                   time_point read_at,
                   std::optional<time_point> own_append_sent) -> void;
  /** Records that an order took effect; it is not sent again. */
  auto RecordEffect(const server_id& server, fencing_number number) -> void;

  /** Returns the order for `server` if this host holds the newest one and may
   * send it now. */
  auto FindSendable(const server_id& server,
                    bool checks_fencing,
                    time_point now) const -> std::optional<order_send>;
  /** Whether this host's order has not taken effect but may no longer be sent,
   * so that its record must be appended again. */
  auto NeedsRenewal(const server_id& server, time_point now) const -> bool;

 private:
  struct entry {
    order_record newest;                            ///< Newest record.
    time_point deadline = time_point::min();        ///< End of the own lease.
    time_point former_done_at = time_point::min();  ///< Former orders are done.
    bool is_done = false;                           ///< The order took effect.
  };

  auto IsOwn(const order_record& record) const -> bool {
    return record.holder == self_ && record.start == start_;
  }

  mutable std::mutex mutex_;
  host_id self_;
  incarnation start_;
  order_policy policy_;
  std::map<server_id, entry> entries_;
};

}  // namespace dogwood

#endif  // SRC_ORDER_BASE_H_
