/** Periodic checks on a running request. */
#ifndef SRC_ENTRYD_WATCH_H_
#define SRC_ENTRYD_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "src/core.h"
#include "src/entryd_backend.h"

namespace dogwood {

/** Checks a running request periodically and aborts its backend connection once
 * a check fails. Must only be used on the strand of the caller's connection. */
class request_watch : public std::enable_shared_from_this<request_watch> {
 public:
  /** Fails with the reason if the request must not continue. */
  using check_function = std::function<outcome<void>()>;

  request_watch(const boost::asio::any_io_executor& strand,
                duration interval,
                check_function check_request);

  /** Starts the periodic checks. */
  auto Start() -> void;
  /** Stops the checks for good. */
  auto Stop() -> void;
  /** Sets the connection to abort if a check fails; nullptr for none. It is
   * aborted at once if a check has failed already. */
  auto SetConnection(std::shared_ptr<backend_connection> connection) -> void;
  /** The failure of the check that ended the request, if any. */
  auto reason() const -> const std::optional<failure>& { return reason_; }

 private:
  auto Run() -> boost::asio::awaitable<void>;

  boost::asio::steady_timer timer_;
  duration interval_;
  check_function check_request_;
  bool stopped_ = false;
  std::shared_ptr<backend_connection> connection_;
  std::optional<failure> reason_;
};

/** Runs a request_watch for the duration of a scope. */
class watch_guard {
 public:
  watch_guard(const boost::asio::any_io_executor& strand,
              duration interval,
              request_watch::check_function check_request)
      : watch_(std::make_shared<request_watch>(strand,
                                               interval,
                                               std::move(check_request))) {
    watch_->Start();
  }
  watch_guard(const watch_guard&) = delete;
  auto operator=(const watch_guard&) -> watch_guard& = delete;
  ~watch_guard() { watch_->Stop(); }

  auto get() const -> request_watch& { return *watch_; }

 private:
  std::shared_ptr<request_watch> watch_;
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_WATCH_H_
