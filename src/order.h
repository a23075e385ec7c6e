/** Public header of library order: orders to backend servers, with fencing. */
#ifndef SRC_ORDER_H_
#define SRC_ORDER_H_

#include "src/order_base.h"
#include "src/order_type.h"

#endif  // SRC_ORDER_H_
