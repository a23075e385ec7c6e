/** Types of the configuration: nodes, keys, members and changes. */
#ifndef SRC_CONFIG_TYPE_H_
#define SRC_CONFIG_TYPE_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** One node of the tree. */
struct config_node {
  std::uint64_t version = 0;  ///< Offset of its last change + 1.
  /** Values set at this node, without inherited ones. */
  std::map<std::string, boost::json::value, std::less<>> values;
};

/** An API key of a caller. Only its hash is stored. */
struct key_entry {
  workspace_id workspace;  ///< Workspace that the key authenticates.
  key_id key;              ///< Name of the key within its workspace.
  bool withdrawn = false;  ///< Revoked at the key or a node above it.
};

enum class member_state {
  kLive,      ///< Serves requests and may own limits, partitions and servers.
  kDraining,  ///< Finishes its requests; owns nothing; not listed to callers.
};

/** A host that has joined the fleet. Addresses are "ip:port". */
struct member {
  host_id host;
  incarnation start;  ///< Incarnation of the host.
  member_state state = member_state::kLive;
  data_centre_id data_centre;
  region_id region;
  std::string entry_address;     ///< HTTP address for callers.
  std::string operator_address;  ///< HTTP address for operators.
  std::string control_link;      ///< Link address of controld.
  std::string entry_link;        ///< Link address of entryd.
  std::string batch_link;        ///< Link address of batchd.
  log_offset joined;             ///< Offset of the join record.
};

/** A change of one node, requested by an operator. */
struct config_change {
  std::string path;                    ///< Path of the node: "/workspaces/a".
  std::uint64_t expected_version = 0;  ///< Current version; 0 creates a node.
  boost::json::object set;             ///< Values to set.
  std::vector<std::string> unset;      ///< Names of values to remove.
  bool remove = false;                 ///< Removes the node and descendants.
  std::string operator_name;           ///< Requester, for the audit trail.
};

/** Writer of a record. The replay drops a record whose (host, start, seq) was
 * applied before. */
struct record_writer {
  host_id host;
  incarnation start;      ///< Incarnation of the host.
  std::uint64_t seq = 0;  ///< Number of the record, from 1 in each incarnation.
};

/** Outcome of replaying one record of a log. */
enum class apply_status {
  kApplied,    ///< The record took effect.
  kDuplicate,  ///< A record with this (writer, seq) was applied before.
  kConflict,   ///< The state does not permit it, such as another version.
  kStale,      ///< Written under an outdated epoch or incarnation.
  kInvalid,    ///< Malformed; skipped.
};

/** An applied or rejected record, for history and audit. */
struct audit_entry {
  log_offset offset;          ///< Offset of the record in the log.
  std::string kind;           ///< Kind of the record.
  std::string operator_name;  ///< Requester; empty for member records.
  std::string path;           ///< Path of the node; host for member records.
  apply_status verdict = apply_status::kApplied;  ///< Outcome of the replay.
  boost::json::object detail;  ///< Old and new values; contains no secrets.
};

}  // namespace dogwood

#endif  // SRC_CONFIG_TYPE_H_
