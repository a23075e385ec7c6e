/** Tests of the configuration fold. */
#include <rapidcheck.h>
#include <boost/json.hpp>

#include <set>

#include "src/config.h"
#include "src/core.h"

namespace {

using dogwood::apply_status;
using dogwood::config_change;
using dogwood::config_tree;
using dogwood::host_id;
using dogwood::incarnation;
using dogwood::log_offset;
using dogwood::record_writer;
namespace json = boost::json;

/** Digest number `n` as 64 hex digits. */
auto Digest(int n) -> std::string {
  return dogwood::Sha256Hex(std::to_string(n));
}

/** A log and the tree that is folded from it. */
struct folded_log {
  config_tree tree;                  ///< Fold of all records.
  std::vector<std::string> records;  ///< The log.
  std::uint64_t seq = 0;             ///< Last seq of the writer "h0".

  /** Appends and folds one record. */
  auto Add(std::string record) -> apply_status {
    records.push_back(std::move(record));
    return tree.Apply(tree.next_offset(), records.back());
  }
  /** Writer of the next record of "h0". */
  auto Writer() -> record_writer {
    return {host_id("h0"), incarnation(1), ++seq};
  }
  /** Version of a node, 0 if absent. */
  auto Version(std::string_view path) const -> std::uint64_t {
    const auto* node = tree.Node(path);
    return node == nullptr ? 0 : node->version;
  }
  /** Adds a change based on the current version. */
  auto Change(std::string path, json::object set, bool remove = false)
      -> apply_status {
    config_change change;
    change.expected_version = Version(path);
    change.path = std::move(path);
    change.set = std::move(set);
    change.remove = remove;
    return Add(dogwood::ChangeRecord(Writer(), change));
  }
};

/** The whole state as text. */
auto StateOf(const config_tree& tree) -> std::string {
  return tree.Snapshot({host_id("x"), incarnation(1), 1});
}

/** Some path, mostly one of few so that records race. */
auto AnyPath() -> std::string {
  return *rc::gen::element<std::string>(
      "/", "/workspaces", "/workspaces/a", "/workspaces/b",
      "/workspaces/a/keys/k1", "/workspaces/a/keys/k2", "/workspaces/b/keys/k1",
      "/models/m", "/routes/r", "/servers/s:1", "/nothing", "/workspaces//a");
}

/** Some value name with a value that may be out of range. */
auto AnyValues(const std::string& path) -> json::object {
  json::object set;
  if (*rc::gen::weightedElement<bool>({{9, true}, {1, false}})) {
    set["rate_per_s"] = *rc::gen::inRange(0, 1000) / 7.0;
  }
  if (*rc::gen::arbitrary<bool>()) {
    set["note"] = *rc::gen::arbitrary<double>();
  }
  if (*rc::gen::inRange(0, 4) == 0) {
    set["withdrawn"] = *rc::gen::arbitrary<bool>();
  }
  if (path.find("/keys/") != std::string::npos) {
    set["hash"] = Digest(*rc::gen::inRange(0, 4));
  }
  return set;
}

/** Some record by a random writer, whose seq may be old. */
auto AnyRecord(const config_tree& tree) -> std::string {
  const auto host = *rc::gen::element<std::string>("h0", "h1", "h2");
  const record_writer writer{host_id(host),
                             incarnation(*rc::gen::inRange(1, 4)),
                             *rc::gen::inRange<std::uint64_t>(0, 40)};
  const auto about = host_id(*rc::gen::element<std::string>("h0", "h1", "h2"));
  const auto start = incarnation(*rc::gen::inRange(1, 4));
  switch (*rc::gen::inRange(0, 10)) {
    case 0: {
      dogwood::member joining;
      joining.host = about;
      joining.start = start;
      joining.region = dogwood::region_id("r");
      return dogwood::JoinRecord(writer, joining);
    }
    case 1:
      return dogwood::MemberRecord(
          writer,
          *rc::gen::element<std::string>("member_leave", "member_lost",
                                         "member_drain"),
          about, start);
    case 2:
      return tree.Snapshot(writer);
    case 3:
      return *rc::gen::element<std::string>("", "{", "[]", "{\"kind\":1}");
    default: {
      config_change change;
      change.path = AnyPath();
      const auto* node = tree.Node(change.path);
      const auto version = node == nullptr ? 0 : node->version;
      change.expected_version = version + (*rc::gen::inRange(0, 6) == 0);
      change.remove = *rc::gen::inRange(0, 5) == 0;
      if (!change.remove) {
        change.set = AnyValues(change.path);
      }
      return dogwood::ChangeRecord(writer, change);
    }
  }
}

/** A log with resends, for one property. */
auto AnyLog() -> folded_log {
  folded_log log;
  const auto size = *rc::gen::inRange(1, 80);
  for (int i = 0; i < size; ++i) {
    const bool resend = !log.records.empty() && *rc::gen::inRange(0, 5) == 0;
    log.Add(
        resend
            ? log.records[*rc::gen::inRange<std::size_t>(0, log.records.size())]
            : AnyRecord(log.tree));
  }
  return log;
}

/** Checks that loading a snapshot taken at a random offset and replaying the
 * rest gives the state of a replay from the start. */
auto CheckSnapshotReplay() -> void {
  const auto log = AnyLog();
  const auto cut = *rc::gen::inRange<std::size_t>(0, log.records.size() + 1);
  config_tree replayed;
  std::string snapshot;
  for (std::size_t i = 0; i <= log.records.size(); ++i) {
    if (i == cut) {
      snapshot = StateOf(replayed);
      config_tree loaded;
      RC_ASSERT(dogwood::ToOutcome([&] {
                  return loaded.LoadSnapshot(snapshot);
                }).has_value());
      RC_ASSERT(StateOf(loaded) == snapshot);
      replayed = loaded;
    }
    if (i < log.records.size()) {
      replayed.Apply(log_offset(i), log.records[i]);
    }
  }
  RC_ASSERT(StateOf(replayed) == StateOf(log.tree));
  for (int n = 0; n < 4; ++n) {
    const auto* a = replayed.FindKey(Digest(n));
    const auto* b = log.tree.FindKey(Digest(n));
    RC_ASSERT((a == nullptr) == (b == nullptr));
    const bool alike =
        a == nullptr || (a->key == b->key && a->workspace == b->workspace &&
                         a->withdrawn == b->withdrawn);
    RC_ASSERT(alike);
  }
}

/** All nodes as text by path. */
auto NodesOf(const config_tree& tree) -> std::map<std::string, std::string> {
  std::map<std::string, std::string> nodes;
  const auto state = json::parse(StateOf(tree));
  for (const auto& item : state.at("nodes").as_object()) {
    nodes[std::string(item.key())] = json::serialize(item.value());
  }
  return nodes;
}

/** Checks that each record changes what its verdict and path permit only, and
 * that versions grow. */
auto CheckNeverReverts() -> void {
  const auto log = AnyLog();
  config_tree tree;
  std::set<std::uint64_t> versions;
  for (std::size_t i = 0; i < log.records.size(); ++i) {
    const auto before = NodesOf(tree);
    const auto verdict = tree.Apply(log_offset(i), log.records[i]);
    const auto after = NodesOf(tree);
    if (before == after) {
      continue;
    }
    RC_ASSERT(verdict == apply_status::kApplied);
    const auto record = json::parse(log.records[i]).as_object();
    const std::string path(record.at("path").as_string());
    const bool remove = record.contains("delete");
    for (const auto& [other, value] : before) {
      const bool below = other.starts_with(path + "/");
      if (other != path && !(remove && below)) {
        RC_ASSERT(after.at(other) == value);
      }
    }
    const auto* node = tree.Node(path);
    RC_ASSERT((node == nullptr) == remove);
    if (node != nullptr) {
      RC_ASSERT(versions.insert(node->version).second);
      RC_ASSERT(node->version == i + 1);
    }
  }
}

/** Checks that a record which took effect has none when it comes again. */
auto CheckResendsAreDropped() -> void {
  auto log = AnyLog();
  const auto nodes = NodesOf(log.tree);
  const auto members = log.tree.members_version();
  for (const auto& record : std::vector<std::string>(log.records)) {
    const auto verdict = log.Add(record);
    RC_ASSERT(verdict != apply_status::kApplied);
    RC_ASSERT(verdict != apply_status::kConflict);
  }
  RC_ASSERT(NodesOf(log.tree) == nodes);
  RC_ASSERT(log.tree.members_version() == members);
}

/** Message with which a change is refused, empty if it is not. */
auto RefusalOf(const config_tree& tree, std::string path, json::object set)
    -> std::string {
  config_change change;
  change.path = std::move(path);
  change.set = std::move(set);
  const auto tested = dogwood::ToOutcome([&] { return tree.Test(change); });
  return tested ? "" : tested.error().message;
}

}  // namespace

// Last: its macro Test clashes with config_tree::Test() and Boost headers.
#include <criterion/criterion.h>

// Guards against hosts that joined from a snapshot differing from the others.
Test(config, snapshot_and_replay_equal_replay) {
  cr_assert(rc::check(CheckSnapshotReplay));
}

// Guards against a change that is undone by another record, and against a
// version used twice, which would let an outdated expected_version pass.
Test(config, applied_changes_stay_until_a_later_one) {
  cr_assert(rc::check(CheckNeverReverts));
}

// Guards against a resend after a lost response taking effect twice.
Test(config, resends_are_dropped) {
  cr_assert(rc::check(CheckResendsAreDropped));
}

// Guards against the second of two racing operators overwriting the first.
Test(config, first_of_two_racing_changes_wins) {
  folded_log log;
  config_change change;
  change.path = "/workspaces/a";
  change.set["rate_per_s"] = 5;
  cr_assert(log.Add(dogwood::ChangeRecord(log.Writer(), change)) ==
            apply_status::kApplied);
  change.set["rate_per_s"] = 9;
  cr_assert(log.Add(dogwood::ChangeRecord(log.Writer(), change)) ==
            apply_status::kConflict);
  cr_assert(log.tree.LookupNumber("/workspaces/a", "rate_per_s", 0) == 5);
  cr_assert(log.tree.Audit().back().verdict == apply_status::kConflict);
}

// Guards against a key that works after it, its workspace's keys or its
// workspace were withdrawn or deleted.
Test(config, withdrawn_and_deleted_keys_stop_working) {
  folded_log log;
  const std::string workspace = "/workspaces/a";
  const auto key = workspace + "/keys/k";
  cr_assert(log.Change(key, {{"hash", Digest(1)}}) == apply_status::kConflict);
  log.Change(workspace, {});
  log.Change(key, {{"hash", Digest(1)}});
  cr_assert_not_null(log.tree.FindKey(Digest(1)));
  cr_assert_not(log.tree.FindKey(Digest(1))->withdrawn);
  log.Change(workspace, {{"withdrawn", true}});
  cr_assert(log.tree.FindKey(Digest(1))->withdrawn);
  log.Change(workspace, {{"withdrawn", false}});
  log.Change(key, {{"withdrawn", true}});
  cr_assert(log.tree.FindKey(Digest(1))->withdrawn);
  log.Change(workspace, {}, true);
  cr_assert_null(log.tree.FindKey(Digest(1)));
}

// Guards against one secret that stands for two workspaces.
Test(config, a_hash_belongs_to_one_key) {
  folded_log log;
  log.Change("/workspaces/a", {});
  log.Change("/workspaces/b", {});
  log.Change("/workspaces/a/keys/k", {{"hash", Digest(1)}});
  cr_assert(log.Change("/workspaces/b/keys/k", {{"hash", Digest(1)}}) ==
            apply_status::kConflict);
  cr_assert(log.tree.FindKey(Digest(1))->workspace.value == "a");
}

// Guards against a delayed leave or loss of an earlier start removing a host
// that has started again, and against a delayed join bringing one back.
Test(config, member_records_of_another_start_are_stale) {
  folded_log log;
  dogwood::member joining;
  joining.host = host_id("m");
  joining.start = incarnation(2);
  cr_assert(log.Add(dogwood::JoinRecord(log.Writer(), joining)) ==
            apply_status::kApplied);
  for (const auto* kind : {"member_leave", "member_lost", "member_drain"}) {
    const auto record =
        dogwood::MemberRecord(log.Writer(), kind, joining.host, incarnation(1));
    cr_assert(log.Add(record) == apply_status::kStale);
  }
  joining.start = incarnation(1);
  cr_assert(log.Add(dogwood::JoinRecord(log.Writer(), joining)) ==
            apply_status::kStale);
  cr_assert(log.tree.FindMember(joining.host)->start == incarnation(2));
  cr_assert_eq(log.tree.members_version(), 1);
}

// Guards against bad input being stored, or refused without saying why.
Test(config, malformed_changes_are_refused_by_name) {
  folded_log log;
  log.Change("/workspaces/a", {});
  const auto has = [&](std::string path, json::object set,
                       std::string_view part) {
    const auto refusal = RefusalOf(log.tree, std::move(path), std::move(set));
    return refusal.find(part) != std::string::npos;
  };
  const std::string w = "/workspaces/b";
  cr_assert_eq(RefusalOf(log.tree, w, {{"rate_per_s", 0.5}, {"burst", 1}}), "");
  cr_assert(has(w, {{"rate_per_s", 0}}, "rate_per_s"));
  cr_assert(has(w, {{"rate_per_s", "5"}}, "rate_per_s"));
  cr_assert(has(w, {{"burst", 0.5}}, "burst"));
  cr_assert(has(w, {{"burst", nullptr}}, "null"));
  cr_assert(has(w, {{"Rate", 1}}, "Rate"));
  cr_assert(has(w, {{"hash", Digest(1)}}, "hash"));
  cr_assert(has(w + "/keys/k", {{"hash", "12"}}, "64 hex"));
  cr_assert(has(w + "/keys/k", {{"hash", Digest(1)}}, "does not exist"));
  cr_assert(has("/workspaces/a/keys/k", {}, "hash"));
  cr_assert(has("workspaces/a", {}, "start with /"));
  cr_assert(has("/workspaces/a/", {}, "ends with /"));
  cr_assert(has("/workspaces/../a", {}, "/workspaces/../a"));
  cr_assert(has("/workspace/a", {}, "/workspace/a"));
  cr_assert(has("/workspaces/a", {}, "version 1"));
}
