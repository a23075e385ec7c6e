/** The configuration tree, built by replaying the stream "config". */
#ifndef SRC_CONFIG_BASE_H_
#define SRC_CONFIG_BASE_H_

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/config_type.h"
#include "src/error_type.h"

namespace dogwood {

/** State machine of nodes, keys and members. Its state is a deterministic
 * function of the applied records; it uses no clock and no I/O. Not
 * thread-safe, see config_replica.
 *
 * Each writer numbers its records from 1 and appends them in that order. A
 * record whose seq is not above the last one of its writer is dropped. An
 * append that the writer stopped retrying therefore has no effect if it reaches
 * the log after a later record. */
class config_tree {
 public:
  // Commands (config_cmd.cc).

  /** Applies the record at `offset`, which must be next_offset(). */
  auto Apply(log_offset offset, std::string_view record) -> apply_status;
  /** Replaces the state by that of a snapshot; next_offset() becomes the as_of
   * of the snapshot. Fails with kBadRequest and leaves the tree unchanged if
   * `record` is no valid snapshot. */
  auto LoadSnapshot(std::string_view record) -> result<void>;

  // Queries (config_query.cc).

  /** Offset of the next record to apply. */
  auto next_offset() const -> log_offset { return next_offset_; }
  /** The node at `path`, nullptr if absent. */
  auto Node(std::string_view path) const -> const config_node*;
  /** Paths of all descendants of `path`, in lexicographic order. */
  auto DescendantPaths(std::string_view path) const -> std::vector<std::string>;
  /** Value of `name` at the node or at its nearest ancestor that sets it. The
   * node itself need not exist. */
  auto Lookup(std::string_view path, std::string_view name) const
      -> std::optional<boost::json::value>;
  /** Lookup() as a number; `fallback` if absent or not a number. */
  auto LookupNumber(std::string_view path,
                    std::string_view name,
                    double fallback) const -> double;
  /** Lookup() as a boolean; `fallback` if absent or not a boolean. */
  auto LookupBoolean(std::string_view path,
                     std::string_view name,
                     bool fallback) const -> bool;
  /** Lookup() as a string; `fallback` if absent or not a string. */
  auto LookupText(std::string_view path,
                  std::string_view name,
                  std::string_view fallback) const -> std::string;
  /** The key whose SHA-256 is `hash` (hex), nullptr if none. */
  auto FindKey(std::string_view hash) const -> const key_entry*;
  /** The members in member order (by region, then host name). */
  auto Members() const -> std::vector<member>;
  /** Member `host`, nullptr if it has not joined. */
  auto FindMember(const host_id& host) const -> const member*;
  /** Offset + 1 of the last applied join, leave, drain or loss. */
  auto members_version() const -> std::uint64_t { return members_version_; }
  /** The newest audit entries, oldest first; at most kMaxAuditEntries entries
   * and kMaxAuditBytes bytes. */
  auto Audit() const -> const std::deque<audit_entry>& { return audit_; }
  /** The state as a snapshot record for LoadSnapshot(). */
  auto Snapshot(const record_writer& writer) const -> std::string;
  /** Dry run of a change. Fails with kConflict or kBadRequest if the change
   * would not be applied in the current state. */
  auto Test(const config_change& change) const -> result<void>;

 private:
  friend class config_projection;
  using node_map = std::map<std::string, config_node, std::less<>>;
  /** Position of the last applied record of a writing host. */
  struct writer_progress {
    incarnation start;      ///< Latest incarnation of the host.
    std::uint64_t seq = 0;  ///< Highest seq of that incarnation.
    log_offset last;        ///< Offset of its last record.
  };

  /** Why the change would not be applied now, nothing if it would. */
  auto Refusal(const config_change& change) const -> std::optional<failure>;

  log_offset next_offset_;
  node_map nodes_;
  std::map<std::string, key_entry, std::less<>> keys_;  // By SHA-256 (hex).
  std::map<host_id, member> members_;
  std::uint64_t members_version_ = 0;
  std::map<host_id, writer_progress> writers_;
  std::deque<audit_entry> audit_;
  std::size_t audit_bytes_ = 0;  // Size of audit_ as JSON.
};

/** Maximum number of audit entries in memory; older ones are in the log only.
 */
constexpr std::size_t kMaxAuditEntries = 1000;
/** Maximum size of the audit entries as JSON. They are part of a snapshot,
 * which must fit into one append (1 MiB). */
constexpr std::size_t kMaxAuditBytes = 200UL << 10;
/** Number of records after which the last seq of a host that is no member is
 * dropped. This takes days at 10,000 records a day, and no append is retried
 * for that long. */
constexpr std::uint64_t kWriterRetentionRecords = 20000;

/** Whether `record` is a snapshot that a host made for one reader that is too
 * far behind. Its seq is 0, which no record of the log has. It replaces the
 * records before its as_of and has no offset itself. */
auto IsCatchUpSnapshot(std::string_view record) -> bool;
/** The record of an operator's change. */
auto ChangeRecord(const record_writer& writer, const config_change& change)
    -> std::string;
/** The record of a host that joins or changes its member data. */
auto JoinRecord(const record_writer& writer, const member& joining)
    -> std::string;
/** The record that incarnation `start` of `host` leaves ("member_leave"),
 * drains ("member_drain") or is declared lost ("member_lost"). */
auto MemberRecord(const record_writer& writer,
                  std::string_view kind,
                  const host_id& host,
                  incarnation start) -> std::string;

}  // namespace dogwood

#endif  // SRC_CONFIG_BASE_H_
