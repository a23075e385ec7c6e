#include "src/entryd_base.h"

#include <cstring>
#include <utility>

#include "src/entryd_fleet.h"
#include "src/entryd_limit.h"

namespace dogwood {

namespace {

/** A random number that differs between runs of the process. */
auto RandomNumber() -> std::uint64_t {
  std::uint64_t number = 0;
  const auto bytes = RandomBytes(sizeof number);
  std::memcpy(&number, bytes.data(), sizeof number);
  return number;
}

}  // namespace

entry_state::entry_state(boost::asio::io_context& context,
                         entry_options settings)
    : io(context),
      options(std::move(settings)),
      replica(options.host, options.freshness_limit),
      shares(options.mode, options.request_interval),
      granters(options.grant_ttl, RandomNumber()),
      servers(options.place,
              MakeRoutePolicy(options.policy, options.affinity_slack),
              options.route),
      retries(options.retry_share, options.retry_burst),
      pool(options.pool_per_server, options.pool_idle),
      links(context, {options.host.value, "entryd", options.secret}),
      grants(std::make_unique<grant_exchange>(*this)),
      reports(std::make_unique<online_reporter>(*this)) {}

entry_state::~entry_state() = default;

auto UnixMs() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace dogwood
