/** Public header of library order: fencing of orders to backend servers. */
#ifndef SRC_ORDER_H_
#define SRC_ORDER_H_

#include "src/order_base.h"
#include "src/order_type.h"

#endif  // SRC_ORDER_H_
