#include "src/hostd_caller.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>
#include <vector>

#include "src/hostd_base.h"

namespace dogwood {
namespace {

/** Period of the checks. Servers are to stop within half a second. */
constexpr std::chrono::milliseconds kCheckPeriod{100};

}  // namespace

caller_watch::entry::entry(caller_watch& watch, http_exchange& exchange)
    : watch_(watch), exchange_(exchange) {
  watch_.entries_.push_back(this);
}

caller_watch::entry::~entry() {
  watch_.entries_.remove(this);
}

auto caller_watch::entry::OnGone(std::function<void()> on_gone) -> void {
  on_gone_ = std::move(on_gone);
}

auto caller_watch::Start() -> void {
  boost::asio::co_spawn(host_.io, Run(), AbortOnException);
}

auto caller_watch::Run() -> boost::asio::awaitable<void> {
  while (true) {
    co_await Sleep(kCheckPeriod);
    std::vector<std::function<void()>> calls;
    for (auto* e : entries_) {
      if (!e->gone_ && e->exchange_.IsCallerDisconnected()) {
        e->gone_ = true;
        calls.push_back(std::exchange(e->on_gone_, {}));
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
