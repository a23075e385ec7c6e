/** Types of orders to backend servers. */
#ifndef SRC_ORDER_TYPE_H_
#define SRC_ORDER_TYPE_H_

#include <string>

#include "src/unit_type.h"

namespace dogwood {

/** Number of an order: the log offset of its record. A server that checks it
 * refuses an order whose number is below one that it has taken. */
using fencing_number = strong<struct fencing_tag, std::uint64_t>;

/** What a server is told to do. */
struct server_order {
  server_id server;   ///< Whom.
  std::string order;  ///< Such as "load_model".
  model_id model;     ///< Which model or adapter.
};

/** An order record as read from the log. */
struct order_record {
  fencing_number number;  ///< Its offset.
  host_id holder;         ///< Host that may send it.
  incarnation start;      ///< Start of that host.
  server_order order;     ///< What to send.
};

/** Lengths of time of all holders of one deployment. */
struct order_policy {
  duration hold{};    ///< A holder may send for so long after its append left.
  duration flight{};  ///< Longest time from sending to effect at a server.
};

/** An order that may be sent now. */
struct order_send {
  fencing_number number;   ///< To be sent along.
  server_order order;      ///< What to send.
  time_point send_before;  ///< Not to be sent at or after this.
};

}  // namespace dogwood

#endif  // SRC_ORDER_TYPE_H_
