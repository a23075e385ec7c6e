/** Checks on a request while it runs. */
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

/** Aborts the request's connection once a check fails. All members are used
 * on the strand of the caller's connection. */
class request_watch : public std::enable_shared_from_this<request_watch> {
 public:
  /** Says whether the request may go on. */
  using check = std::function<outcome<void>()>;

  request_watch(const boost::asio::any_io_executor& strand,
                duration period,
                check may_go_on);

  /** Begins to check each period. */
  auto Start() -> void;
  /** Ends the checks; they do not run again. */
  auto Stop() -> void;
  /** The connection to abort; nullptr if there is none now. */
  auto SetConnection(std::shared_ptr<backend_connection> connection) -> void;
  /** Why the request must end, if it must. */
  auto reason() const -> const std::optional<failure>& { return reason_; }

 private:
  auto Run() -> boost::asio::awaitable<void>;

  boost::asio::steady_timer timer_;
  duration period_;
  check may_go_on_;
  bool stopped_ = false;
  std::shared_ptr<backend_connection> connection_;
  std::optional<failure> reason_;
};

/** Runs a watch for the length of a scope. */
class watch_guard {
 public:
  watch_guard(const boost::asio::any_io_executor& strand,
              duration period,
              request_watch::check may_go_on)
      : watch_(std::make_shared<request_watch>(strand,
                                               period,
                                               std::move(may_go_on))) {
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
