#include "src/hostd_state.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "platform/adapter.h"
#include "src/hostd_base.h"
#include "src/hostd_batch.h"
#include "src/hostd_placement.h"

namespace dogwood {
namespace {

/** Bounds of the time that a host which has just learned of its feed sources
 * gives them before it reads the store itself; random, because after a start of
 * all hosts these reads would fill the link between regions and delay those of
 * the sources. */
constexpr std::chrono::milliseconds kMinFirstFeedTimeout{1200};
constexpr std::chrono::milliseconds kMaxFirstFeedTimeout{2400};

/** Time after the store's return within which lapsed registrations are back
 * (the platform's pages, "Service discovery": about two seconds). */
constexpr std::chrono::milliseconds kRegistrationGrace{2300};

/** Maximum number of problems of a declared state that are logged. */
constexpr std::size_t kMaxLogged = 20;

/** A server that has said that it leaves ends within seconds. */
constexpr std::chrono::minutes kLeavingNoteTtl{10};

/** Logs regions of the declared state that are not among those of the settings.
 * They still bind: nothing is served elsewhere instead. */
auto LogUnknownRegions(host_state& host, const deployment& state) -> void {
  std::set<region_id> known;
  for (const auto& [data_centre, region] : host.options.data_centres) {
    known.insert(region);
  }
  auto unknown = FindUnknownRegions(state, known);
  host.feed.rejected_entries += unknown.size();
  unknown.resize(std::min(unknown.size(), kMaxLogged));
  for (const auto& found : unknown) {
    LogEvent(log_level::kWarning, log_category::kConfig, "region_unknown",
             {{"entry", found.entry},
              {"region", found.region.value},
              {"state_version", state.version.value}});
  }
}

}  // namespace

auto ApplyState(host_state& host, const std::string& text) -> bool {
  std::vector<failure> problems;
  auto decoded = adapter::DecodeState(text, &problems);
  if (!decoded) {
    Log(log_level::kError, log_category::kConfig,
        {decoded.error().message, decoded.error().step, "store"});
    return false;
  }
  const auto version = decoded->version;
  if (host.deployment != nullptr &&
      version <= host.deployment->state().version) {
    return version == host.deployment->state().version;
  }
  LogEvent(log_level::kInfo, log_category::kConfig, "state_applied",
           {{"state_version", version.value},
            {"bytes", text.size()},
            {"routes", decoded->routes.size()},
            {"services", decoded->services.size()},
            {"workspaces", decoded->workspaces.size()}});
  host.feed.rejected_entries += problems.size();
  for (const auto& problem :
       std::span(problems).first(std::min(problems.size(), kMaxLogged))) {
    LogEvent(log_level::kWarning, log_category::kConfig, "entry_rejected",
             {{"entry", problem.peer},
              {"problem", problem.message},
              {"state_version", version.value}});
  }
  LogUnknownRegions(host, decoded.value());
  std::set<route_id> routes;
  for (const auto& route : decoded->routes) {
    routes.insert(route.id);
  }
  std::erase_if(host.history, [&routes](const auto& entry) {
    return !routes.contains(entry.first);
  });
  host.deployment =
      std::make_shared<const deployment_index>(std::move(decoded.value()));
  host.state_text = text;
  host.batch->StateChanged();
  host.placement->StateChanged();
  host.readiness_changed.Notify();
  host.feed_changed.Notify();
  return true;
}

auto ApplyNewestState(host_state& host,
                      const std::vector<keyed_record>& records) -> void {
  // Only the newest state counts; decoding every state of a burst of updates
  // would cost time.
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (record->key == adapter::StateKey() && record->value &&
        ApplyState(host, *record->value)) {
      return;
    }
  }
}

auto EvacuatedAfter(data_centre_set evacuated,
                    const std::vector<keyed_record>& records)
    -> data_centre_set {
  for (const auto& record : records) {
    const auto data_centre = adapter::DecodeEvacuationKey(record.key);
    if (!data_centre) {
      continue;
    }
    // The presence of a record counts, not what its value says.
    if (record.value && !record.value->empty()) {
      evacuated.insert(*data_centre);
    } else {
      evacuated.erase(*data_centre);
    }
  }
  return evacuated;
}

auto ApplyEvacuations(host_state& host,
                      const data_centre_set& evacuated,
                      log_offset position) -> void {
  const auto changes = host.evacuations.Replace(evacuated, clock::now());
  if (changes.IsEmpty()) {
    return;
  }
  const auto log = [&](std::string_view event,
                       const data_centre_id& data_centre) {
    LogEvent(
        log_level::kInfo, log_category::kConfig, event,
        {{"data_centre", data_centre.value}, {"position", position.value}});
  };
  for (const auto& data_centre : changes.begun) {
    const bool is_known = host.options.data_centres.contains(data_centre);
    log(is_known ? "evacuation_begins" : "evacuation_unknown", data_centre);
  }
  for (const auto& data_centre : changes.ended) {
    if (host.options.data_centres.contains(data_centre)) {
      log("evacuation_ends", data_centre);
    }
    // On every host, so that the next dispatcher knows it too.
    host.placement->SuspectCold(data_centre);
  }
  host.placement->ServersChanged();
  host.feed_changed.Notify();
}

auto EvacuatedCount(const host_state& host) -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      host.evacuations.since(), [&host](const auto& entry) {
        return host.options.data_centres.contains(entry.first);
      }));
}

auto ApplyView(host_state& host, fleet_view view) -> void {
  LogEvent(log_level::kInfo, log_category::kMember, "members_changed",
           {{"generation", view.generation}, {"members", view.members.size()}});
  host.view = std::move(view);
  host.view_hash = HashOf(host.view);
  std::set<partition_id> owned;
  for (std::uint32_t i = 0; i < host.view.owners.size(); ++i) {
    const auto* owner = host.view.OwnerOf(partition_id(i));
    if (owner != nullptr && owner->name == host.self.name && !host.draining) {
      owned.insert(partition_id(i));
    }
  }
  host.owned = std::move(owned);
  auto sources = FeedSourcesOf(host.view, host.self);
  if (host.feed_sources.empty() && !sources.empty()) {
    host.feed_deadline =
        clock::now() + kMinFirstFeedTimeout +
        std::chrono::duration_cast<duration>(
            host.RandomUnit() * (kMaxFirstFeedTimeout - kMinFirstFeedTimeout));
  }
  host.feed_sources = std::move(sources);
  host.feed_stand_ins.clear();
  for (auto& member : ReadOrderOf(host.view, host.self)) {
    if (member.name == host.self.name) {
      break;
    }
    host.feed_stand_ins.push_back(std::move(member));
  }
  const auto readers =
      std::min(host.feed_stand_ins.size(), kReadersPerDataCentre);
  host.feed_stand_ins.erase(
      host.feed_stand_ins.begin(),
      host.feed_stand_ins.begin() + static_cast<std::ptrdiff_t>(readers));
  host.placement->ViewChanged();
  host.batch->OwnershipChanged();
  host.feed_changed.Notify();
}

auto registration_table::Apply(const std::string& id,
                               const std::optional<std::string>& text) -> void {
  if (!text) {
    Remove(id);
    return;
  }
  if (deferred_.erase(id) > 0) {
    ++host_.feed.restored_removals;
    LogEvent(log_level::kInfo, log_category::kConfig, "removal_restored",
             {{"server", id}});
  }
  const auto now = clock::now();
  auto decoded = adapter::DecodeServer(id, *text, now);
  const auto known = registered_.find(server_id(id));
  if (!decoded) {
    Reject(decoded.error());
    journal_.Put(id, *text, known != registered_.end());
    registered_.erase(server_id(id));
    host_.servers.erase(server_id(id));
    return;
  }
  rejected_.erase(id);
  if (known != registered_.end() && known->second.start == decoded->start) {
    // The same text again was written as long ago as before.
    decoded->cold_until =
        journal_.Contains(id, *text)
            ? known->second.cold_until
            : ColdEnd(known->second.cold_until, decoded->cold_until, now);
  } else {
    decoded->cold_until = ColdEnd(time_point(), decoded->cold_until, now);
  }
  const bool is_change =
      known == registered_.end() || known->second != decoded.value();
  journal_.Put(id, *text, is_change);
  if (!is_change) {
    return;
  }
  if (known == registered_.end() || known->second.leaving != decoded->leaving) {
    LogEvent(log_level::kInfo, log_category::kConfig, "server_listed",
             {{"server", id},
              {"address", decoded->address},
              {"leaving", decoded->leaving}});
  }
  registered_[decoded->id] = decoded.value();
  decoded->leaving = decoded->leaving || HasSaidLeaving(decoded.value());
  host_.servers[decoded->id] = std::move(decoded.value());
}

auto registration_table::Reject(const failure& error) -> void {
  auto& logged = rejected_[error.peer];
  if (logged == error.message) {
    return;
  }
  logged = error.message;
  ++host_.feed.rejected_entries;
  LogEvent(log_level::kWarning, log_category::kConfig, "entry_rejected",
           {{"entry", error.peer}, {"problem", error.message}});
}

auto registration_table::HasSaidLeaving(const registered_server& server) const
    -> bool {
  const auto found = leaving_.find(server.id);
  return found != leaving_.end() && found->second.start == server.start;
}

auto registration_table::RecordLeaving(const server_id& id) -> void {
  const auto found = host_.servers.find(id);
  if (found == host_.servers.end() || found->second.leaving) {
    return;
  }
  const auto now = clock::now();
  std::erase_if(leaving_, [now](const auto& entry) {
    return now >= entry.second.expires;
  });
  leaving_[id] = {found->second.start, now + kLeavingNoteTtl};
  found->second.leaving = true;
  ++host_.feed.announced_leaving;
  LogEvent(log_level::kInfo, log_category::kConfig, "server_announced_leaving",
           {{"server", id.value}});
  host_.placement->ServersChanged();
}

auto registration_table::AnnouncedLeaving() const -> std::vector<server_id> {
  std::vector<server_id> ids;
  for (const auto& [id, note] : leaving_) {
    const auto found = registered_.find(id);
    if (found != registered_.end() && !found->second.leaving &&
        HasSaidLeaving(found->second)) {
      ids.push_back(id);
    }
  }
  return ids;
}

auto registration_table::NoteGap(time_point now) -> void {
  doubtful_until_ = now + kRegistrationGrace;
}

auto registration_table::Remove(const std::string& id) -> void {
  if (clock::now() >= doubtful_until_) {
    Drop(id);
    return;
  }
  if (journal_.Contains(id) &&
      deferred_.try_emplace(id, doubtful_until_).second) {
    ++host_.feed.deferred_removals;
    LogEvent(log_level::kInfo, log_category::kConfig, "removal_deferred",
             {{"server", id}});
  }
}

auto registration_table::Drop(const std::string& id) -> void {
  journal_.Remove(id);
  deferred_.erase(id);
  rejected_.erase(id);
  registered_.erase(server_id(id));
  if (host_.servers.erase(server_id(id)) > 0) {
    LogEvent(log_level::kInfo, log_category::kConfig, "server_gone",
             {{"server", id}});
  }
}

auto registration_table::Expire(time_point now) -> void {
  std::vector<std::string> expired;
  for (const auto& [id, deadline] : deferred_) {
    if (now >= deadline) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    ++host_.feed.expired_removals;
    LogEvent(log_level::kInfo, log_category::kConfig, "removal_expired",
             {{"server", id}});
    Drop(id);
  }
}

auto registration_table::Publish() -> void {
  if (host_.servers_known && published_ == journal_.revision()) {
    return;
  }
  published_ = journal_.revision();
  host_.servers_known = true;
  host_.placement->ServersChanged();
  host_.readiness_changed.Notify();
  host_.feed_changed.Notify();
}

}  // namespace dogwood
