/** Rate limiting: admission of requests, and the exchange of token grants
 * between entry daemons. */
#ifndef SRC_ENTRYD_LIMIT_H_
#define SRC_ENTRYD_LIMIT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/core.h"
#include "src/entryd_owner.h"
#include "src/limit.h"
#include "src/link.h"
#include "src/replica.h"

namespace dogwood {

struct entry_state;

/** Returns the configured rate of a limit; nothing if none is set. `limit` is
 * a workspace, or "/routes/R" for callers of the open route R without a key. */
auto RateOf(const config_tree& tree, const workspace_id& limit)
    -> std::optional<limit_rate>;

/** Requests tokens from the owners of limits and grants tokens of the limits
 * that this host owns. Thread-safe. */
class grant_exchange {
 public:
  explicit grant_exchange(entry_state& state);

  /** Takes a token of `limit` for one request. Waits for at most the setting
   * limit_wait_ms, or owner_wait_ms while no host acts as owner of the limit.
   * Fails with kTooManyRequests, ran=no. */
  auto Admit(workspace_id limit) -> boost::asio::awaitable<outcome<void>>;
  /** Starts the loop that sends grant requests when they are due. */
  auto Start() -> void;
  /** Handles a grant request of an entry daemon and returns the reply. */
  auto HandleRequest(const wire::grant_requestT& request) -> wire::grant_replyT;

 private:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  using shared_timer = std::shared_ptr<boost::asio::steady_timer>;

  auto Run() -> boost::asio::awaitable<void>;
  auto AddWaiter(const workspace_id& limit, shared_timer timer) -> void;
  auto RemoveWaiter(const workspace_id& limit, const shared_timer& timer)
      -> void;
  auto WakeWaiters(const workspace_id& limit) -> void;
  auto HasOwnerAnsweredSince(const workspace_id& limit, time_point start)
      -> bool;
  auto WakeLoop() -> void;
  auto SendDueRequests() -> void;
  auto RequestGrants(std::string address, wire::grant_requestT request)
      -> boost::asio::awaitable<void>;
  auto HandleReply(const wire::grant_replyT& reply,
                   const std::string& granter,
                   time_point sent) -> void;
  auto OwnerSince(const workspace_id& limit, time_point now)
      -> std::optional<time_point>;
  auto RefreshOwnerships(time_point now, bool all) -> void;

  entry_state& state_;
  strand_type strand_;               // Runs the loop and its timer.
  granter_directory granters_;       // Used on the strand only.
  boost::asio::steady_timer timer_;  // Cancelled to send requests at once.
  std::mutex mutex_;                 // Guards the members below.
  std::map<workspace_id, std::vector<shared_timer>> waiters_;
  std::map<workspace_id, time_point>
      owner_answered_at_;  // Last reply of a host that acts as owner.
  owner_table owned_;
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_LIMIT_H_
