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
  std::map<std::string, boost::json::value, std::less<>> values;  ///< Own.
};

/** A caller's key, known by its hash only. */
struct key_entry {
  workspace_id workspace;  ///< Workspace that it stands for.
  key_id key;              ///< Name of the key.
  bool withdrawn = false;  ///< No longer valid.
};

/** State of a member. */
enum class member_state {
  kLive,      ///< Serves and may own.
  kDraining,  ///< Serves what it has; owns nothing; not given to callers.
};

/** One host that has joined. Addresses are "ip:port". */
struct member {
  host_id host;                              ///< Name.
  incarnation start;                         ///< Which start of the host.
  member_state state = member_state::kLive;  ///< State.
  data_centre_id data_centre;                ///< Where it is.
  region_id region;                          ///< Where it is.
  std::string entry_address;                 ///< Callers' HTTP.
  std::string operator_address;              ///< Operators' HTTP.
  std::string control_link;                  ///< Link of controld.
  std::string entry_link;                    ///< Link of entryd.
  std::string batch_link;                    ///< Link of batchd.
  log_offset joined;                         ///< Offset of its join record.
};

/** A change of one node, as an operator asks for it. */
struct config_change {
  std::string path;                    ///< Node, such as "/workspaces/a".
  std::uint64_t expected_version = 0;  ///< Version it is based on.
  boost::json::object set;             ///< Values to set.
  std::vector<std::string> unset;      ///< Values to remove.
  bool remove = false;                 ///< Remove node and descendants.
  std::string operator_name;           ///< Who asks, for the audit trail.
};

/** Sender of a record: the fold drops a (writer, seq) that it has seen. */
struct record_writer {
  host_id host;           ///< Writing host.
  incarnation start;      ///< Its start.
  std::uint64_t seq = 0;  ///< Counts its records from 1.
};

/** What the fold made of a record. */
enum class apply_status {
  kApplied,    ///< Took effect.
  kDuplicate,  ///< (writer, seq) seen before.
  kConflict,   ///< expected_version was not the node's version.
  kStale,      ///< Written under an old epoch or incarnation.
  kInvalid,    ///< Not a record; skipped.
};

/** One applied or rejected change, for history and audit. */
struct audit_entry {
  log_offset offset;          ///< Where it is in the log.
  std::string kind;           ///< Record kind.
  std::string operator_name;  ///< Who.
  std::string path;           ///< Node, or host for member records.
  apply_status verdict = apply_status::kApplied;  ///< What became of it.
  boost::json::object detail;  ///< Old and new values; no secrets.
};

}  // namespace dogwood

#endif  // SRC_CONFIG_TYPE_H_
