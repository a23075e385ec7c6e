/** Which orders a host may send, when.
 *
 * The newest order record of a server decides. Servers that check numbers keep
 * an old order out themselves. For the others a holder sends only within `hold`
 * after its append left, and the next holder waits until an order that the
 * former one sent at the last moment has taken effect. The former append left
 * before anyone saw its record, so the wait is counted from that sight. */
#ifndef SRC_ORDER_BASE_H_
#define SRC_ORDER_BASE_H_

#include <map>
#include <mutex>
#include <optional>

#include "src/freshness_type.h"
#include "src/order_type.h"

namespace dogwood {

/** Orders of all servers as one host knows them. Thread-safe. */
class order_table {
 public:
  order_table(host_id self, incarnation start, order_policy policy)
      : self_(std::move(self)), start_(start), policy_(policy) {}

  /** Takes a record of the log, in log order. `own_sent` is when this host's
   * append of it was first sent; nothing for records of others. */
  auto Take(const order_record& record,
            time_point seen,
            std::optional<time_point> own_sent) -> void;
  /** Notes that an order took effect; it is not sent again. */
  auto NoteDone(const server_id& server, fencing_number number) -> void;

  /** The order for `server` if this host holds the newest one and may send it
   * now. */
  auto MaySend(const server_id& server,
               bool checks_fencing,
               time_point now) const -> std::optional<order_send>;
  /** Whether this host's order has not taken effect but may no longer be sent:
   * its record is to be appended again. */
  auto NeedsRenewal(const server_id& server, time_point now) const -> bool;

 private:
  struct entry {
    order_record newest;                          ///< Newest record.
    time_point deadline = time_point::min();      ///< Own: not sent after.
    time_point former_until = time_point::min();  ///< Others' effects end.
    bool done = false;                            ///< It took effect.
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
