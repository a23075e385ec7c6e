/** Asks for slots of servers: the dispatcher's side, and the side of the hosts
 * that ask it. */
#ifndef SRC_HOSTD_PLACEMENT_H_
#define SRC_HOSTD_PLACEMENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/async_condition.h"
#include "src/caller_type.h"
#include "src/dispatch.h"
#include "src/link.h"

namespace dogwood {

struct host_state;

/** Slots for the requests of this host, and for those of all hosts while it is
 * the dispatcher. */
class placement_service {
 public:
  placement_service(host_state& host, std::uint64_t seed);
  ~placement_service();

  /** Starts the loops. */
  auto Start() -> void;
  /** Waits for a slot. With kGranted the ask's ticket is held until End(). */
  auto Place(placement_request ask) -> boost::asio::awaitable<placement_answer>;
  /** A ticket for an ask of this host. */
  auto NewTicket() -> ticket_id;
  /** The caller of a waiting ask has left: Place() returns soon. */
  auto Withdraw(ticket_id ticket) -> void;
  /** Gives a slot back. */
  auto End(ticket_id ticket, run_outcome outcome) -> void;
  /** `abort` is called if the run is to make room. */
  auto OnPreempt(ticket_id ticket, std::function<void()> abort) -> void;

  /** A server has told its load. */
  auto RecordLoad(const server_id& server, const reported_load& load) -> void;

  /** The registrations have changed. */
  auto ServersChanged() -> void;
  /** The view has changed. */
  auto ViewChanged() -> void;

  /** Answer calls of other hosts. */
  auto HandlePlace(const wire::place_requestT& request)
      -> boost::asio::awaitable<wire_message>;
  auto HandleEnds(const wire::ends_requestT& request) -> void;
  auto HandleHeld(const wire::held_requestT& request) -> wire::held_replyT;
  auto HandlePreempt(const wire::preempt_requestT& request) -> void;

  /** Slots held by this host, for metrics. */
  auto HeldCount() const -> std::size_t { return held_.size(); }
  /** Whether the asks of this host reach a dispatcher. */
  auto HasDispatcher() const -> bool;
  /** Asks that wait here as dispatcher. */
  auto WaitingCount(work_class work) const -> std::size_t {
    return dispatcher_.WaitingCount(work);
  }
  /** Requests on servers that this dispatcher does not count. */
  auto ExternalCount() const -> std::size_t {
    return dispatcher_.ExternalCount(clock::now());
  }
  /** Registered server; nullptr if it is not known. */
  auto FindServer(const server_id& server) const -> const registered_server* {
    return local_.Find(server);
  }

 private:
  struct waiter {
    explicit waiter(boost::asio::steady_timer t) : timer(std::move(t)) {}
    boost::asio::steady_timer timer;         ///< Cancelled with the answer.
    std::optional<placement_answer> answer;  ///< Set when it has come.
  };
  struct held {
    server_id server;               ///< Where it runs.
    work_class work;                ///< What it is.
    std::function<void()> preempt;  ///< Ends the run.
  };
  /** Load of a server as it told this host. */
  struct noted_load {
    std::uint32_t count = 0;  ///< Requests that run or wait.
    time_point told_at;       ///< When.
  };
  /** A dispatcher as this host sees it. */
  struct target {
    std::string name;       ///< Member name; empty if none.
    std::string address;    ///< Of its link; empty for this host.
    time_point good_until;  ///< It answered lately.
  };

  auto AskHere(placement_request ask)
      -> boost::asio::awaitable<placement_answer>;
  auto AskThere(const placement_request& ask, const std::string& address)
      -> boost::asio::awaitable<std::optional<placement_answer>>;
  auto ExpectDispatcher(time_point until) -> void;
  auto AskLocal(const placement_request& ask) -> placement_answer;
  auto Deliver() -> void;
  auto SendPreemptions() -> void;
  auto FlushEnds() -> boost::asio::awaitable<void>;
  auto QueueEnd(const run_end_report& end) -> void;
  auto RunTicker() -> boost::asio::awaitable<void>;
  auto RunReports() -> boost::asio::awaitable<void>;
  auto ReportHeld(target to) -> boost::asio::awaitable<void>;
  auto HeldList() const -> std::vector<held_slot>;
  /** Loads that servers have told since the report before. */
  auto ToldList(time_point now) const -> std::vector<server_count>;
  auto RateOf(const workspace_id& workspace) const -> limit_rate;

  host_state& host_;
  dispatcher dispatcher_;
  local_placement local_;
  bool is_dispatcher_ = false;
  time_point decides_until_;  ///< After another host has become dispatcher.
  std::map<std::pair<host_id, ticket_id>, std::shared_ptr<waiter>> waiters_;
  std::map<ticket_id, held> held_;
  std::map<server_id, noted_load> told_;
  std::uint64_t next_ticket_;
  time_point sought_until_;           ///< A dispatcher is expected until then.
  async_condition dispatcher_found_;  ///< Notified when one has answered.
  target active_;                     ///< Asked for slots.
  target candidate_;  ///< Dispatcher by the view; becomes active once ready.
  std::vector<run_end_report> ends_;
  std::vector<ticket_id> withdrawn_;
  bool flushing_ = false;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_PLACEMENT_H_
