/** Admission of requests, and grants between entry daemons. */
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

/** A limit by its name: a workspace, or "/routes/R" for the callers of an open
 * route who have no key. Nothing if the configuration sets no rate. */
auto RateOf(const config_tree& tree, const workspace_id& limit)
    -> std::optional<limit_rate>;

/** Gets tokens from the owners of limits and gives tokens as an owner.
 * Thread-safe. */
class grant_exchange {
 public:
  explicit grant_exchange(entry_state& state);

  /** Admits one request, waiting at most the setting limit_wait_ms, or
   * owner_wait_ms while no host acts as owner of the limit. Fails with
   * kTooManyRequests, ran=no. */
  auto Admit(workspace_id limit) -> boost::asio::awaitable<outcome<void>>;
  /** Begins to send the asks that are due, for ever. */
  auto Start() -> void;
  /** Answers another entry daemon's asks. */
  auto Answer(const wire::grant_requestT& request) -> wire::grant_replyT;

 private:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  using shared_timer = std::shared_ptr<boost::asio::steady_timer>;

  auto Run() -> boost::asio::awaitable<void>;
  auto Enlist(const workspace_id& limit, shared_timer timer) -> void;
  auto Delist(const workspace_id& limit, const shared_timer& timer) -> void;
  auto Wake(const workspace_id& limit) -> void;
  auto HasAnsweredSince(const workspace_id& limit, time_point start) -> bool;
  auto Kick() -> void;
  auto SendDue() -> void;
  auto Ask(std::string address, wire::grant_requestT request)
      -> boost::asio::awaitable<void>;
  auto Take(const wire::grant_replyT& reply,
            const std::string& granter,
            time_point sent) -> void;
  auto OwnerSince(const workspace_id& limit, time_point now)
      -> std::optional<time_point>;
  auto NoteOwnerships(time_point now, bool all) -> void;

  entry_state& state_;
  strand_type strand_;               // Of the loop and its timer.
  granter_book granters_;            // Used on the strand only.
  boost::asio::steady_timer timer_;  // Cancelled to send asks at once.
  std::mutex mutex_;                 // Of the members below.
  std::map<workspace_id, std::vector<shared_timer>> waiters_;
  std::map<workspace_id, time_point>
      answered_;  // By a host that acts as owner.
  owner_table owned_;
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_LIMIT_H_
