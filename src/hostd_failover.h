/** Search for another server while the server of a request is silent. */
#ifndef SRC_HOSTD_FAILOVER_H_
#define SRC_HOSTD_FAILOVER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "src/dispatch.h"

namespace dogwood {

struct host_state;

/** Looks for a slot on another server for a request whose server is silent. The
 * request keeps its server meanwhile: a sound one may go on, and perhaps no
 * other one has room. */
class failover_search {
 public:
  /** Receives a granted slot. Returns false if it is of no use. */
  using grant_handler =
      std::function<bool(ticket_id ticket, const placement_answer& granted)>;

  failover_search(host_state& host, grant_handler on_grant);
  failover_search(const failover_search&) = delete;
  auto operator=(const failover_search&) -> failover_search& = delete;
  ~failover_search() { Cancel(); }

  /** Asks for a slot, unless an earlier request for one is still waiting. */
  auto Start(placement_request request) -> void;
  /** Withdraws the request that is waiting, if any. */
  auto Cancel() -> void;

 private:
  /** A request for a slot; outlives the search that it was made for. */
  struct pending_request {
    ticket_id ticket;
    grant_handler on_grant;  ///< Empty once the request is cancelled.
    bool is_waiting = true;
  };
  static auto Await(host_state& host,
                    std::shared_ptr<pending_request> pending,
                    placement_request request) -> boost::asio::awaitable<void>;

  host_state& host_;
  grant_handler on_grant_;
  std::shared_ptr<pending_request> pending_;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_FAILOVER_H_
