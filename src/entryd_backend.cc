#include "src/entryd_backend.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwood {
namespace asio = boost::asio;

backend_connection::backend_connection(
    strand_type strand,
    std::string address,
    std::unique_ptr<http_connection> connection)
    : strand_(std::move(strand)),
      address_(std::move(address)),
      connection_(std::move(connection)) {}

auto backend_connection::Connect(asio::io_context& io,
                                 std::string address,
                                 time_point deadline)
    -> asio::awaitable<outcome<std::shared_ptr<backend_connection>>> {
  auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  auto strand = asio::make_strand(io);
  auto connecting = http_connection::Connect(endpoint.value(), deadline);
  auto connected = co_await asio::co_spawn(strand, std::move(connecting),
                                           asio::use_awaitable);
  if (!connected) {
    co_return connected.error();
  }
  co_return std::make_shared<backend_connection>(strand, std::move(address),
                                                 std::move(connected.value()));
}

auto backend_connection::Send(const http_request& request, time_point deadline)
    -> asio::awaitable<outcome<void>> {
  auto sending = connection_->Send(request, deadline);
  co_return co_await asio::co_spawn(strand_, std::move(sending),
                                    asio::use_awaitable);
}

auto backend_connection::ReadHead(time_point deadline)
    -> asio::awaitable<outcome<http_head>> {
  auto reading = connection_->ReadHead(deadline);
  co_return co_await asio::co_spawn(strand_, std::move(reading),
                                    asio::use_awaitable);
}

auto backend_connection::ReadSome(time_point deadline)
    -> asio::awaitable<outcome<std::string>> {
  auto reading = connection_->ReadSome(deadline);
  co_return co_await asio::co_spawn(strand_, std::move(reading),
                                    asio::use_awaitable);
}

backend_pool::backend_pool(std::size_t per_server, duration idle_ttl)
    : per_server_(per_server), idle_ttl_(idle_ttl) {}

auto backend_pool::Acquire(const std::string& address,
                           time_point now,
                           duration max_idle)
    -> std::shared_ptr<backend_connection> {
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    if (now - connections.back().since > max_idle) {
      return nullptr;  // Sorted by age: all others have been idle for longer.
    }
    auto youngest = std::move(connections.back());
    connections.pop_back();
    if (now < youngest.usable_until && youngest.connection->CanBeReused()) {
      return std::move(youngest.connection);
    }
  }
  idle_.erase(found);
  return nullptr;
}

auto backend_pool::Release(std::shared_ptr<backend_connection> connection,
                           time_point now,
                           duration ttl) -> void {
  const std::lock_guard lock(mutex_);
  auto& connections = idle_[connection->address()];
  if (connections.size() < per_server_ && connection->CanBeReused()) {
    connections.push_back(
        {std::move(connection), now, now + std::min(ttl, idle_ttl_)});
  }
}

auto backend_pool::IdleAddresses(time_point now, duration max_idle)
    -> std::set<std::string> {
  const std::lock_guard lock(mutex_);
  std::set<std::string> addresses;
  for (const auto& [address, connections] : idle_) {
    if (!connections.empty() && now < connections.back().usable_until &&
        now - connections.back().since <= max_idle) {
      addresses.insert(address);
    }
  }
  return addresses;
}

auto backend_pool::Expire(time_point now) -> void {
  const std::lock_guard lock(mutex_);
  for (auto& [address, connections] : idle_) {
    std::erase_if(connections,
                  [now](const idle& i) { return now >= i.usable_until; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace dogwood
