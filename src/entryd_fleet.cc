#include "src/entryd_fleet.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <utility>

#include "src/entryd_base.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/** Changes within this time go out in one message. */
constexpr std::chrono::milliseconds kCoalesce{5};
/** Period of full reports. */
constexpr std::chrono::seconds kFullReport{1};
/** A server is in full reports this long after its last change. */
constexpr std::chrono::seconds kInUse{10};
/** A report without an answer counts as lost after this. */
constexpr std::chrono::milliseconds kReportLimit{500};
/** Longest answer to GET /load. */
constexpr std::size_t kMaxLoadBytes = 64UL << 10;

/** The backend servers of a host list. */
auto BackendServers(const std::vector<listed_host>& hosts)
    -> std::vector<backend_server> {
  std::vector<backend_server> servers;
  for (const auto& listed : hosts) {
    if (!listed.is_backend_server) {
      continue;
    }
    backend_server server;
    server.server = server_id(listed.id);
    server.address = listed.address;
    server.data_centre = listed.data_centre;
    server.region = listed.region;
    server.leaving = listed.leaving;
    server.models = listed.models;
    server.services = listed.services;
    server.slots = listed.slots;
    servers.push_back(std::move(server));
  }
  return servers;
}

/** Number in a load report, 0 if absent. */
auto NumberOf(const boost::json::object& report, std::string_view name)
    -> std::uint32_t {
  const auto* value = report.if_contains(name);
  if (value == nullptr || !value->is_number()) {
    return 0;
  }
  boost::json::error_code ec;
  const auto number = value->to_number<std::uint32_t>(ec);
  return ec ? 0 : number;
}

/** The load in an answer to GET /load; nothing if it is none. */
auto ParseLoad(const http_response& response) -> std::optional<load_report> {
  if (response.status != 200) {
    return std::nullopt;
  }
  boost::json::error_code ec;
  const auto parsed = boost::json::parse(response.body, ec);
  if (ec || !parsed.is_object()) {
    return std::nullopt;
  }
  const auto& report = parsed.get_object();
  return load_report{NumberOf(report, "running"), NumberOf(report, "waiting")};
}

/** Asks one server for its load. */
auto PollLoad(entry_state& state, backend_server server, time_point deadline)
    -> asio::awaitable<void> {
  const auto endpoint = ParseEndpoint(server.address);
  if (!endpoint) {
    co_return;
  }
  const auto own = state.servers.InFlightOf(server.server);
  http_request request;
  request.method = "GET";
  request.target = "/load";
  auto answer = co_await Fetch(endpoint.value(), std::move(request), deadline,
                               kMaxLoadBytes);
  if (!answer) {
    Log(log_level::kDebug, log_category::kRoute,
        {answer.error().message, "poll load", server.server.value});
    co_return;
  }
  if (const auto load = ParseLoad(answer.value())) {
    state.servers.RecordLoadReport(server.server, *load, own, clock::now());
  }
}

/** Servers to poll in one period: those of the own region, in turn. */
auto ServersToPoll(const entry_state& state, std::size_t& turn)
    -> std::vector<backend_server> {
  auto servers = state.servers.Servers();
  std::erase_if(servers, [&](const backend_server& s) {
    return s.leaving || s.models.empty() ||
           s.region != state.options.place.region;
  });
  const auto count = state.options.load_poll_servers;
  if (servers.size() <= count) {
    return servers;
  }
  const auto first =
      servers.begin() + static_cast<std::ptrdiff_t>(turn % servers.size());
  std::rotate(servers.begin(), first, servers.end());
  turn += count;
  servers.resize(count);
  return servers;
}

}  // namespace

auto ApplyDraining(entry_state& state) -> void {
  constexpr std::string_view kServers = "/servers";
  auto draining = state.replica.Read([&](const config_tree& tree) {
    std::set<server_id> found;
    for (const auto& path : tree.DescendantPaths(kServers)) {
      if (tree.LookupBoolean(path, "draining", false)) {
        found.insert(server_id(path.substr(path.rfind('/') + 1)));
      }
    }
    return found;
  });
  state.servers.SetDraining(std::move(draining));
}

auto PollHosts(entry_state& state) -> asio::awaitable<void> {
  const platform_client platform(state.options.platform);
  bool failed = false;
  while (true) {
    const auto start = clock::now();
    auto hosts =
        co_await platform.Hosts(start + state.options.host_poll_interval * 2);
    if (hosts) {
      state.servers.SetServers(BackendServers(hosts.value()));
      state.has_servers = true;
    } else if (!failed) {
      Log(log_level::kWarning, log_category::kRoute,
          {"keeping the last host list: " + hosts.error().message,
           "poll host list", hosts.error().peer});
    }
    failed = !hosts;
    state.pool.Expire(clock::now());
    co_await Sleep(start + state.options.host_poll_interval - clock::now());
  }
}

auto PollLoads(entry_state& state) -> asio::awaitable<void> {
  std::size_t turn = 0;
  while (true) {
    const auto deadline = clock::now() + state.options.load_poll_interval;
    for (auto& server : ServersToPoll(state, turn)) {
      asio::co_spawn(asio::make_strand(state.io),
                     PollLoad(state, std::move(server), deadline),
                     LogException);
    }
    co_await Sleep(state.options.load_poll_interval);
  }
}

online_reporter::online_reporter(entry_state& state)
    : state_(state), strand_(asio::make_strand(state.io)) {}

auto online_reporter::NoteChange(const server_id& server) -> void {
  asio::post(strand_, [this, server] {
    in_use_until_[server] = clock::now() + kInUse;
    MarkChanged(server);
    if (!send_is_due_) {
      send_is_due_ = true;
      asio::co_spawn(strand_, SendLater(), LogException);
    }
  });
}

auto online_reporter::MarkChanged(const server_id& server) -> void {
  const auto owner = state_.replica.OwnerHost(owned_kind::kServer, server.value,
                                              state_.servers.RegionOf(server));
  if (owner) {
    admitters_[owner->batch_link].changed.insert(server);
  }
}

auto online_reporter::SendLater() -> asio::awaitable<void> {
  co_await Sleep(kCoalesce);
  send_is_due_ = false;
  SendAll();
}

auto online_reporter::SendAll() -> void {
  for (auto& [address, to] : admitters_) {
    if (!to.sending && !to.changed.empty()) {
      to.sending = true;
      asio::co_spawn(strand_, Send(address), LogException);
    }
  }
}

auto online_reporter::Send(std::string address) -> asio::awaitable<void> {
  auto& to = admitters_[address];
  auto link = state_.links.Get(address);
  while (link && !to.changed.empty()) {
    wire::online_loadT report;
    report.host = state_.options.host.value;
    for (const auto& server : std::exchange(to.changed, {})) {
      auto load = std::make_unique<wire::server_loadT>();
      load->server = server.value;
      load->in_flight = state_.servers.InFlightOf(server);
      report.loads.push_back(std::move(load));
    }
    auto message = MakeMessage(std::move(report));
    auto answer =
        co_await link->Call(std::move(message), clock::now() + kReportLimit);
    if (!answer) {
      // The next full report makes up for it.
      Log(log_level::kDebug, log_category::kRoute,
          {answer.error().message, "report online load", address});
      break;
    }
    co_await Sleep(kCoalesce);
  }
  to.sending = false;
}

auto online_reporter::Start() -> void {
  asio::co_spawn(strand_, Run(), AbortOnException);
}

auto online_reporter::Run() -> asio::awaitable<void> {
  while (true) {
    co_await Sleep(kFullReport);
    const auto now = clock::now();
    for (const auto& [server, count] : state_.servers.InFlight()) {
      in_use_until_[server] = now + kInUse;
    }
    std::erase_if(in_use_until_,
                  [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [server, until] : in_use_until_) {
      MarkChanged(server);
    }
    SendAll();
  }
}

}  // namespace dogwood
