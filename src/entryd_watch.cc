#include "src/entryd_watch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwood {
namespace asio = boost::asio;

request_watch::request_watch(const asio::any_io_executor& strand,
                             duration interval,
                             check_function check_request)
    : timer_(strand),
      interval_(interval),
      check_request_(std::move(check_request)) {}

auto request_watch::Start() -> void {
  // The closure owns the watch, so that it outlives its coroutine.
  asio::co_spawn(
      timer_.get_executor(),
      [self = shared_from_this()] { return self->Run(); }, LogException);
}

auto request_watch::Stop() -> void {
  stopped_ = true;
  connection_.reset();
  timer_.cancel();
}

auto request_watch::SetConnection(
    std::shared_ptr<backend_connection> connection) -> void {
  connection_ = std::move(connection);
  if (connection_ && reason_) {
    connection_->Abort();
  }
}

auto request_watch::Run() -> asio::awaitable<void> {
  while (!stopped_ && !reason_) {
    timer_.expires_after(interval_);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (stopped_) {
      co_return;
    }
    auto checked = check_request_();
    if (!checked) {
      reason_ = checked.error();
      if (connection_) {
        connection_->Abort();
      }
    }
  }
}

}  // namespace dogwood
