/** Coroutines that wait for a change. */
#ifndef SRC_ASYNC_CONDITION_H_
#define SRC_ASYNC_CONDITION_H_

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
class async_condition {
 public:
  explicit async_condition(boost::asio::io_context& io) : io_(io) {}

  /** Waits for the next Notify(), at most until `deadline`. */
  auto Wait(time_point deadline) -> boost::asio::awaitable<void> {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, deadline);
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

/** Lets one coroutine at a time into a section. To be used on one thread. */
class async_mutex {
 public:
  explicit async_mutex(boost::asio::io_context& io) : left_(io) {}

  /** Leaves the section at the end of its life. */
  class guard {
   public:
    explicit guard(async_mutex& section) : section_(&section) {}
    guard(guard&& other) noexcept
        : section_(std::exchange(other.section_, nullptr)) {}
    auto operator=(guard&&) -> guard& = delete;
    guard(const guard&) = delete;
    auto operator=(const guard&) -> guard& = delete;
    ~guard() {
      if (section_ != nullptr) {
        section_->is_taken_ = false;
        section_->left_.Notify();
      }
    }

   private:
    async_mutex* section_;
  };

  /** Waits until the section is free and enters it. */
  auto Enter() -> boost::asio::awaitable<guard> {
    while (is_taken_) {
      co_await left_.Wait(time_point::max());
    }
    is_taken_ = true;
    co_return guard(*this);
  }

 private:
  async_condition left_;
  bool is_taken_ = false;
};

}  // namespace dogwood

#endif  // SRC_ASYNC_CONDITION_H_
