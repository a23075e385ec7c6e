/** Coroutines that wait for a change. */
#ifndef SRC_WAIT_LIST_H_
#define SRC_WAIT_LIST_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Wakes all that wait at once. To be used on one thread. */
class wait_list {
 public:
  explicit wait_list(boost::asio::io_context& io) : io_(io) {}

  /** Waits for the next Notify(), at most until `deadline`. */
  auto Wait(time_point deadline) -> boost::asio::awaitable<void> {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, deadline);
    waiting_.push_back(timer);
    co_await timer->async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    std::erase(waiting_, timer);
  }

  /** Wakes all. */
  auto Notify() -> void {
    for (const auto& timer : std::exchange(waiting_, {})) {
      timer->cancel();
    }
  }

 private:
  boost::asio::io_context& io_;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

}  // namespace dogwood

#endif  // SRC_WAIT_LIST_H_
