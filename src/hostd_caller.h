/** Watches over callers that wait for answers. */
#ifndef SRC_HOSTD_CALLER_H_
#define SRC_HOSTD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <list>

#include "src/http.h"

namespace dogwood {

struct host_state;

/** Ends the work for callers that have closed their connections. */
class caller_watch {
 public:
  /** One request under watch; ends with its life. */
  class entry {
   public:
    entry(caller_watch& watch, http_exchange& exchange);
    entry(const entry&) = delete;
    auto operator=(const entry&) -> entry& = delete;
    ~entry();

    /** `on_gone` is called once if the caller leaves; replaces the former. */
    auto OnGone(std::function<void()> on_gone) -> void;
    /** Whether the caller has left. */
    auto is_gone() const -> bool { return gone_; }
    /** The caller was found to have left while writing to it. */
    auto NoteGone() -> void { gone_ = true; }

   private:
    friend class caller_watch;
    caller_watch& watch_;
    http_exchange& exchange_;
    std::function<void()> on_gone_;
    bool gone_ = false;
  };

  explicit caller_watch(host_state& host) : host_(host) {}

  /** Starts the loop. */
  auto Start() -> void;
  /** Requests under watch. */
  auto Count() const -> std::size_t { return entries_.size(); }

 private:
  auto Run() -> boost::asio::awaitable<void>;

  host_state& host_;
  std::list<entry*> entries_;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_CALLER_H_
