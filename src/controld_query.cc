#include "src/controld_query.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Milliseconds between two points, null before the first. */
auto AgeMs(time_point from, time_point now) -> json::value {
  if (from == time_point::min()) {
    return nullptr;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - from)
      .count();
}

/** Name of a verdict in answers. */
auto VerdictName(apply_status verdict) -> std::string_view {
  switch (verdict) {
    case apply_status::kApplied:
      return "applied";
    case apply_status::kDuplicate:
      return "duplicate";
    case apply_status::kConflict:
      return "conflict";
    case apply_status::kStale:
      return "stale";
    case apply_status::kInvalid:
      break;
  }
  return "invalid";
}

/** One audit entry. */
auto DescribeEntry(const audit_entry& entry) -> json::object {
  json::object body;
  body["offset"] = entry.offset.value;
  body["kind"] = entry.kind;
  body["operator"] = entry.operator_name;
  body["path"] = entry.path;
  body["verdict"] = VerdictName(entry.verdict);
  body["detail"] = entry.detail;
  return body;
}

/** Whether `path` is `top` or below it. */
auto IsWithin(std::string_view path, std::string_view top) -> bool {
  return path == top || top == "/" ||
         (path.starts_with(top) && path.substr(top.size()).starts_with('/'));
}

/** Values at a node and those that it inherits. */
auto EffectiveValues(const config_tree& tree, std::string_view path)
    -> json::object {
  json::object values;
  for (auto at = path; !at.empty();) {
    if (const auto* node = tree.Node(at)) {
      for (const auto& [name, value] : node->values) {
        values.emplace(name, value);
      }
    }
    const auto slash = at.rfind('/');
    at = at == "/" ? "" : at.substr(0, slash == 0 ? 1 : slash);
  }
  return values;
}

/** One member. */
auto DescribeMember(const member& m) -> json::object {
  json::object body;
  body["host"] = m.host.value;
  body["start"] = m.start.value;
  body["state"] = m.state == member_state::kLive ? "live" : "draining";
  body["data_centre"] = m.data_centre.value;
  body["region"] = m.region.value;
  body["entry_address"] = m.entry_address;
  body["operator_address"] = m.operator_address;
  body["control_link"] = m.control_link;
  body["joined"] = m.joined.value;
  return body;
}

/** Who pulled here, with applied offsets. */
auto DescribePulls(const controld& c, time_point now) -> json::array {
  json::array rows;
  for (const auto& [name, pull] : c.pulls.All()) {
    json::object row;
    row["daemon"] = name;
    row["applied"] = pull.from.value;
    row["age_ms"] = AgeMs(pull.at, now);
    rows.emplace_back(std::move(row));
  }
  return rows;
}

/** The backend servers of the host list. */
auto DescribeServers(const std::vector<listed_host>& listed) -> json::array {
  json::array rows;
  for (const auto& host : listed) {
    if (host.is_backend_server) {
      json::object row;
      row["id"] = host.id;
      row["address"] = host.address;
      row["data_centre"] = host.data_centre.value;
      row["state"] = host.leaving ? "leaving" : "live";
      rows.emplace_back(std::move(row));
    }
  }
  return rows;
}

/** Place in the tree. */
auto DescribePosition(const controld& c) -> json::object {
  const auto position =
      TreePosition(MembersOf(c), c.settings.self.host, c.settings.log_region);
  json::object body;
  json::array ancestors;
  for (const auto& host : position.ancestors) {
    ancestors.emplace_back(host.value);
  }
  json::array children;
  for (const auto& host : position.children) {
    children.emplace_back(host.value);
  }
  body["ancestors"] = std::move(ancestors);
  body["children"] = std::move(children);
  return body;
}

/** Metrics that show the present state. */
auto DescribeGauges(const controld& c, time_point now) -> std::string {
  const auto proof = c.tracker.Proof();
  const auto age =
      proof.as_of == time_point::min()
          ? -1.0
          : std::chrono::duration<double>(now - proof.as_of).count();
  const auto fleet = c.tracker.FleetAttestation();
  return PrintMetric("dogwood_applied_offset",
                     "Offset of the first record that is not applied.", "gauge",
                     static_cast<double>(proof.next.value)) +
         PrintMetric("dogwood_proof_age_now_seconds",
                     "Age of the newest proof, -1 without one.", "gauge", age) +
         PrintMetric(
             "dogwood_fleet_vouch_offset",
             "Records before this are applied everywhere.", "gauge",
             fleet ? static_cast<double>(fleet->known_offset.value) : 0.0) +
         PrintMetric("dogwood_fresh", "1 if the proof is young enough.",
                     "gauge", c.tracker.IsFresh(now) ? 1 : 0) +
         PrintMetric("dogwood_members", "Members of the fleet.", "gauge",
                     static_cast<double>(MembersOf(c).size()));
}

/** One counter. */
auto Counter(std::string_view name,
             std::string_view help,
             const std::atomic<std::uint64_t>& value) -> std::string {
  return PrintMetric(name, help, "counter", static_cast<double>(value.load()));
}

}  // namespace

auto DescribeNode(const controld& c, std::string_view path) -> json::object {
  return c.replica.Read([path](const config_tree& tree) {
    json::object body;
    body["path"] = path;
    const auto* node = tree.Node(path);
    body["version"] = node == nullptr ? 0 : node->version;
    json::object values;
    if (node != nullptr) {
      for (const auto& [name, value] : node->values) {
        values[name] = value;
      }
    }
    body["values"] = std::move(values);
    body["effective"] = EffectiveValues(tree, path);
    json::array children;
    for (const auto& below : tree.DescendantPaths(path)) {
      children.emplace_back(below);
    }
    body["children"] = std::move(children);
    body["next_offset"] = tree.next_offset().value;
    return body;
  });
}

auto DescribeHistory(const controld& c, std::string_view path) -> json::object {
  return c.replica.Read([path](const config_tree& tree) {
    json::array entries;
    for (const auto& entry : tree.Audit()) {
      if (IsWithin(entry.path, path)) {
        entries.emplace_back(DescribeEntry(entry));
      }
    }
    json::object body;
    body["path"] = path;
    body["entries"] = std::move(entries);
    return body;
  });
}

auto DescribeAudit(const controld& c, log_offset from) -> json::object {
  return c.replica.Read([from](const config_tree& tree) {
    json::array entries;
    for (const auto& entry : tree.Audit()) {
      if (entry.offset >= from) {
        entries.emplace_back(DescribeEntry(entry));
      }
    }
    json::object body;
    body["entries"] = std::move(entries);
    body["next_offset"] = tree.next_offset().value;
    return body;
  });
}

auto DescribeStatus(const controld& c,
                    const outcome<std::vector<listed_host>>& listed)
    -> json::object {
  const auto now = clock::now();
  const auto proof = c.tracker.Proof();
  json::object body;
  body["host"] = c.settings.self.host.value;
  body["applied"] = proof.next.value;
  body["proof_age_ms"] = AgeMs(proof.as_of, now);
  body["fresh"] = c.tracker.IsFresh(now);
  body["confirmed"] = c.tracker.IsConfirmed();
  body["tree"] = DescribePosition(c);
  if (const auto fleet = c.tracker.FleetAttestation()) {
    body["fleet_vouch"] = {{"known_offset", fleet->known_offset.value},
                           {"age_ms", AgeMs(fleet->as_of, now)}};
  }
  json::array members;
  for (const auto& m : MembersOf(c)) {
    members.emplace_back(DescribeMember(m));
  }
  body["members"] = std::move(members);
  body["pulls"] = DescribePulls(c, now);
  if (listed) {
    body["servers"] = DescribeServers(listed.value());
  } else {
    body["servers_error"] = listed.error().message;
  }
  return body;
}

auto DescribeMetrics(const controld& c) -> std::string {
  const auto& m = c.metrics;
  return DescribeGauges(c, clock::now()) +
         Counter("dogwood_appends_total", "Answered appends.", m.appends) +
         Counter("dogwood_append_errors_total", "Failed tries to append.",
                 m.append_errors) +
         Counter("dogwood_pulls_total", "Answered own pulls.", m.pulls) +
         Counter("dogwood_pull_errors_total", "Failed own pulls.",
                 m.pull_errors) +
         Counter("dogwood_log_reads_total", "Answered reads of the log.",
                 m.log_reads) +
         Counter("dogwood_log_read_errors_total", "Failed reads of the log.",
                 m.log_read_errors) +
         Counter("dogwood_tails_served_total", "Answered tail requests.",
                 m.tails_served) +
         Counter("dogwood_tails_refused_total", "Refused tail requests.",
                 m.tails_refused) +
         Counter("dogwood_changes_accepted_total", "Accepted changes.",
                 m.changes_accepted) +
         Counter("dogwood_changes_refused_total", "Refused changes.",
                 m.changes_refused) +
         Counter("dogwood_unauthorized_total", "Requests without valid token.",
                 m.unauthorized) +
         m.append_latency.Print("dogwood_append_seconds",
                                "Time of answered appends.") +
         m.proof_age.Print("dogwood_proof_age_seconds",
                           "Age of the proof at each pull.") +
         m.accept_latency.Print("dogwood_accept_seconds",
                                "Time until changes were accepted.");
}

}  // namespace dogwood
