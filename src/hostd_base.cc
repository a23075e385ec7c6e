#include "src/hostd_base.h"

#include <cstring>

#include "src/hostd_batch.h"
#include "src/hostd_caller.h"
#include "src/hostd_placement.h"
#include "src/hostd_state.h"

namespace dogwood {
namespace {

/** Idle connections kept for each server. */
constexpr std::size_t kPooledConnections = 16;
/** Idle time after which a pooled connection is closed if its server announced
 * no keep-alive time. */
constexpr std::chrono::seconds kDefaultIdleTimeout{8};

/** Returns a seed from the system's random source. */
auto RandomSeed() -> std::uint64_t {
  const auto bytes = RandomBytes(sizeof(std::uint64_t));
  std::uint64_t seed = 0;
  std::memcpy(&seed, bytes.data(), sizeof(seed));
  return seed;
}

/** Returns the fleet member that represents this host. */
auto SelfOf(const hostd_options& options) -> fleet_member {
  fleet_member self{.name = {},
                    .ip = options.front.address().to_string(),
                    .data_centre = options.data_centre,
                    .processor_share = options.processor_share};
  self.name = FormatMember(self);
  return self;
}

}  // namespace

auto feed_position::Advance(log_offset offset,
                            std::optional<time_point> confirmed_at) -> void {
  if (offset < reached) {
    return;
  }
  next = offset;
  reached = offset;
  confirmed = std::max(confirmed, confirmed_at.value_or(confirmed));
}

host_state::host_state(boost::asio::io_context& context, hostd_options values)
    : io(context),
      options(std::move(values)),
      layout(MakeLayout(options.partitions_per_topic,
                        options.data_centres,
                        options.features.regional_jobs)),
      self(SelfOf(options)),
      random(RandomSeed()),
      links(context, LinkIdentity()),
      pool(kPooledConnections, kDefaultIdleTimeout),
      registrations(std::make_unique<registration_table>(*this)),
      started(clock::now()),
      readiness_changed(context),
      feed_changed(context),
      process(random()),
      placement(std::make_unique<placement_service>(*this, random())),
      batch(std::make_unique<batch_service>(*this)),
      callers(std::make_unique<caller_watch>(*this)) {}

host_state::~host_state() = default;

auto host_state::LinkAddressOf(const fleet_member& member) const
    -> std::string {
  return member.ip + ":" + std::to_string(options.link.port());
}

auto host_state::RandomUnit() -> double {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace dogwood
