/** Detection of callers that disconnect while they wait for answers. */
#ifndef SRC_HOSTD_CALLER_H_
#define SRC_HOSTD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <list>

#include "src/http.h"

namespace dogwood {

struct host_state;

/** Polls the connections of waiting callers and cancels the work for those that
 * have disconnected. */
class caller_watch {
 public:
  /** Registration of one request; deregisters on destruction. */
  class entry {
   public:
    entry(caller_watch& watch, http_exchange& exchange);
    entry(const entry&) = delete;
    auto operator=(const entry&) -> entry& = delete;
    ~entry();

    /** Calls `on_disconnect` once if the caller disconnects. Replaces the
     * previous callback. */
    auto OnDisconnect(std::function<void()> on_disconnect) -> void;
    /** Calls `on_drain_check` at every DrainCheck(). Replaces the previous
     * callback. */
    auto OnDrainCheck(std::function<void()> on_drain_check) -> void;
    /** Calls `on_exit` if the process exits while the request is open. */
    auto OnExit(std::function<void()> on_exit) -> void;
    /** Whether the caller has disconnected. */
    auto is_disconnected() const -> bool { return is_disconnected_; }
    /** Marks the caller as disconnected, after a write to it has failed. */
    auto MarkDisconnected() -> void { is_disconnected_ = true; }

   private:
    friend class caller_watch;
    caller_watch& watch_;
    http_exchange& exchange_;
    std::function<void()> on_disconnect_;
    std::function<void()> on_drain_check_;
    std::function<void()> on_exit_;
    bool is_disconnected_ = false;
  };

  explicit caller_watch(host_state& host) : host_(host) {}

  /** Starts the polling loop. */
  auto Start() -> void;
  /** Lets each request check whether it can still be finished; called
   * periodically while the host drains. */
  auto DrainCheck() -> void;
  /** Tells each open request that the process exits. */
  auto Exit() const -> void;
  /** Number of registered requests. */
  auto Count() const -> std::size_t { return entries_.size(); }

 private:
  auto Run() -> boost::asio::awaitable<void>;

  host_state& host_;
  std::list<entry*> entries_;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_CALLER_H_
