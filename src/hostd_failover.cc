#include "src/hostd_failover.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "src/hostd_base.h"
#include "src/hostd_placement.h"
#include "src/net.h"

namespace dogwood {
namespace asio = boost::asio;

failover_search::failover_search(host_state& host, grant_handler on_grant)
    : host_(host), on_grant_(std::move(on_grant)) {}

auto failover_search::Start(placement_request request) -> void {
  if (pending_ != nullptr && pending_->is_waiting) {
    return;
  }
  pending_ = std::make_shared<pending_request>();
  pending_->ticket = request.ticket;
  pending_->on_grant = on_grant_;
  asio::co_spawn(host_.io, Await(host_, pending_, std::move(request)),
                 LogException);
}

auto failover_search::Cancel() -> void {
  const auto pending = std::exchange(pending_, nullptr);
  if (pending != nullptr && pending->is_waiting) {
    pending->on_grant = nullptr;
    host_.placement->Withdraw(pending->ticket);
  }
}

auto failover_search::Await(host_state& host,
                            std::shared_ptr<pending_request> pending,
                            placement_request request)
    -> asio::awaitable<void> {
  const auto answer = co_await host.placement->Place(std::move(request));
  pending->is_waiting = false;
  if (answer.verdict != placement_verdict::kGranted) {
    co_return;
  }
  const bool is_taken =
      pending->on_grant && pending->on_grant(pending->ticket, answer);
  if (!is_taken) {
    host.placement->End({pending->ticket, run_outcome::kUnused});
  }
}

}  // namespace dogwood
