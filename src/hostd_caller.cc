#include "src/hostd_caller.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>
#include <vector>

#include "src/hostd_base.h"

namespace dogwood {
namespace {

/** Interval of the connection checks. Servers must stop within half a second
 * after their caller disconnects. */
constexpr std::chrono::milliseconds kCheckInterval{100};

}  // namespace

caller_watch::entry::entry(caller_watch& watch, http_exchange& exchange)
    : watch_(watch), exchange_(exchange) {
  watch_.entries_.push_back(this);
}

caller_watch::entry::~entry() {
  watch_.entries_.remove(this);
}

auto caller_watch::entry::OnDisconnect(std::function<void()> on_disconnect)
    -> void {
  on_disconnect_ = std::move(on_disconnect);
}

auto caller_watch::entry::OnDrainCheck(std::function<void()> on_drain_check)
    -> void {
  on_drain_check_ = std::move(on_drain_check);
}

auto caller_watch::entry::OnExit(std::function<void()> on_exit) -> void {
  on_exit_ = std::move(on_exit);
}

auto caller_watch::Exit() const -> void {
  for (const auto* e : entries_) {
    if (e->on_exit_) {
      e->on_exit_();
    }
  }
}

auto caller_watch::DrainCheck() -> void {
  std::vector<std::function<void()>> calls;
  for (const auto* e : entries_) {
    if (e->on_drain_check_) {
      calls.push_back(e->on_drain_check_);
    }
  }
  for (const auto& call : calls) {
    call();
  }
}

auto caller_watch::Start() -> void {
  boost::asio::co_spawn(host_.io, Run(), AbortOnException);
}

auto caller_watch::Run() -> boost::asio::awaitable<void> {
  while (true) {
    const auto due = clock::now() + kCheckInterval;
    co_await Sleep(kCheckInterval);
    host_.delay.Record(due, clock::now());
    std::vector<std::function<void()>> calls;
    for (auto* e : entries_) {
      if (!e->is_disconnected_ && e->exchange_.IsCallerDisconnected()) {
        e->is_disconnected_ = true;
        calls.push_back(std::exchange(e->on_disconnect_, {}));
      }
    }
    for (const auto& call : calls) {
      if (call) {
        call();
      }
    }
  }
}

}  // namespace dogwood
