#include "src/batchd_watch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <set>
#include <utility>

#include "src/batchd_dispatch.h"
#include "src/core.h"
#include "src/http.h"

namespace dogwood {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::size_t kMaxLoadBytes = 64UL << 10;

/** A row of the host list as a server; nothing if it has no address. */
auto ToServer(const listed_host& row, bool is_draining)
    -> std::optional<backend_server> {
  const auto endpoint = ParseEndpoint(row.address);
  if (!endpoint) {
    return std::nullopt;
  }
  backend_server server;
  server.id = server_id(row.id);
  server.endpoint = endpoint.value();
  server.region = row.region;
  server.slots = row.slots;
  server.leaving = row.leaving || is_draining;
  for (const auto& model : row.models) {
    server.targets.push_back("model/" + model);
  }
  for (const auto& service : row.services) {
    server.targets.push_back("service/" + service);
  }
  return server;
}

/** Takes one answer of the host list. */
auto TakeHosts(batchd& d, const std::vector<listed_host>& rows) -> void {
  std::vector<backend_server> servers;
  for (const auto& row : rows) {
    if (!row.is_backend_server) {
      continue;
    }
    const bool is_draining = d.replica.Read([&](const config_tree& tree) {
      return tree.LookupBoolean("/servers/" + row.id, "draining", false);
    });
    if (auto server = ToServer(row, is_draining)) {
      servers.push_back(std::move(*server));
    }
  }
  std::set<server_id> listed;
  d.runs.WithAdmission([&](admission_table& table) {
    for (const auto& server : servers) {
      table.SetServer(server.id, server.slots, !server.leaving);
      listed.insert(server.id);
    }
    for (const auto& id : table.Servers()) {
      if (!listed.contains(id)) {
        table.RemoveServer(id);
      }
    }
  });
  d.servers.Set(std::move(servers));
}

/** A number of a load report, 0 if absent. */
auto Count(const json::object& body, std::string_view name) -> unsigned {
  return static_cast<unsigned>(NumberField(body, name));
}

/** Polls one server. */
auto PollLoad(batchd& d, backend_server server) -> asio::awaitable<void> {
  http_request request;
  request.method = "GET";
  request.target = "/load";
  const auto deadline = clock::now() + d.settings.load_poll_interval;
  auto answer = co_await Fetch(server.endpoint, std::move(request), deadline,
                               kMaxLoadBytes);
  if (!answer || answer->status != 200) {
    co_return;
  }
  json::error_code ec;
  const auto body = json::parse(answer->body, ec);
  if (ec || !body.is_object() || !body.get_object().contains("running")) {
    co_return;
  }
  load_report report;
  report.running = Count(body.get_object(), "running");
  report.waiting = Count(body.get_object(), "waiting");
  report.slots = Count(body.get_object(), "slots");
  d.runs.WithAdmission([&](admission_table& table) {
    table.RecordLoadReport(server.id, report, clock::now());
  });
  PreemptOn(d, {server.id});
}

}  // namespace

auto PollHosts(batchd& d) -> asio::awaitable<void> {
  while (true) {
    const auto deadline = clock::now() + d.settings.store_timeout;
    auto hosts = co_await d.platform.Hosts(deadline);
    if (hosts) {
      TakeHosts(d, hosts.value());
    } else {
      Log(log_level::kWarning, log_category::kRoute,
          {hosts.error().message, hosts.error().step, hosts.error().peer});
    }
    co_await Sleep(d.settings.host_poll_interval);
  }
}

auto PollLoads(batchd& d) -> asio::awaitable<void> {
  while (true) {
    const auto now = clock::now();
    for (const auto& server : d.servers.All()) {
      if (d.replica.IsOwner(owned_kind::kServer, server.id.value, now,
                            server.region)) {
        asio::co_spawn(asio::make_strand(d.io), PollLoad(d, server),
                       LogException);
      }
    }
    co_await Sleep(d.settings.load_poll_interval);
  }
}

auto TakeOnlineLoad(batchd& d, const wire::online_loadT& load) -> void {
  const host_id host(load.host);
  const auto deadline = clock::now() + d.settings.online_life;
  std::vector<server_id> changed;
  d.runs.WithAdmission([&](admission_table& table) {
    for (const auto& entry : load.loads) {
      const server_id server(entry->server);
      table.RecordOnlineCount(host, server, entry->in_flight, deadline);
      changed.push_back(server);
    }
  });
  PreemptOn(d, changed);
}

auto DropOnlineLoad(batchd& d, const std::string& host) -> void {
  d.runs.WithAdmission(
      [&](admission_table& table) { table.DropHost(host_id(host)); });
}

}  // namespace dogwood
