/** Types of the orders, such as loading a model, that hosts send to backend
 * servers. */
#ifndef SRC_ORDER_TYPE_H_
#define SRC_ORDER_TYPE_H_

#include <string>

#include "src/unit_type.h"

namespace dogwood {

/** Fencing token of an order: the log offset of its record. A server that
 * checks it refuses an order whose number is below one that it has accepted. */
using fencing_number = strong<struct fencing_tag, std::uint64_t>;

/** An order to a server. */
struct server_order {
  server_id server;
  std::string order;  ///< Such as "load_model".
  model_id model;     ///< Model or adapter that it concerns.
};

/** An order record as read from the log. */
struct order_record {
  fencing_number number;  ///< Offset of the record.
  host_id holder;         ///< Host that may send the order.
  incarnation start;      ///< Start of that host.
  server_order order;
};

/** Time limits, the same for all hosts of a deployment. */
struct order_policy {
  /** How long a holder may send after it sent its append. */
  duration lease{};
  /** Longest time from sending to effect at a server. */
  duration max_delivery_time{};
};

/** An order that may be sent now. */
struct order_send {
  fencing_number number;  ///< Sent with the order.
  server_order order;
  time_point send_before;  ///< Must not be sent from then on.
};

}  // namespace dogwood

#endif  // SRC_ORDER_TYPE_H_
