/** The configuration as a fold over the stream "config". */
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

/** Tree of nodes, keys and members. A deterministic function of the records
 * applied; has no clock and no I/O. Not thread-safe, see config_replica.
 *
 * A writer numbers its records from 1 and appends them in that order. A record
 * whose seq is not above the writer's last one is dropped, so a record that its
 * writer gave up takes no effect once a later one is in the log. */
class config_tree {
 public:
  // Commands (config_cmd.cc).

  /** Applies the record at `offset`, which must be next_offset(). */
  auto Apply(log_offset offset, std::string_view record) -> apply_status;
  /** Replaces everything by a snapshot's state; next_offset() becomes the
   * snapshot's as_of. Fails with kBadRequest if `record` is no snapshot; the
   * tree is unchanged then. */
  auto LoadSnapshot(std::string_view record) -> result<void>;

  // Queries (config_query.cc).

  /** Offset of the first record not applied. */
  auto next_offset() const -> log_offset { return next_offset_; }
  /** The node at `path`, nullptr if absent. */
  auto Node(std::string_view path) const -> const config_node*;
  /** Paths of all nodes below `path`, in order. */
  auto DescendantPaths(std::string_view path) const -> std::vector<std::string>;
  /** Value of `name` at the node or its nearest ancestor that sets it; the
   * node itself need not exist. */
  auto Lookup(std::string_view path, std::string_view name) const
      -> std::optional<boost::json::value>;
  /** Lookup() as a number, `fallback` if absent or no number. */
  auto LookupNumber(std::string_view path,
                    std::string_view name,
                    double fallback) const -> double;
  /** Lookup() as a boolean. */
  auto LookupBoolean(std::string_view path,
                     std::string_view name,
                     bool fallback) const -> bool;
  /** Lookup() as text. */
  auto LookupText(std::string_view path,
                  std::string_view name,
                  std::string_view fallback) const -> std::string;
  /** The key whose SHA-256 is `hash` (hex), nullptr if none. */
  auto FindKey(std::string_view hash) const -> const key_entry*;
  /** Members in member order (by region, then host name). */
  auto Members() const -> std::vector<member>;
  /** Member `host`, nullptr if it has not joined. */
  auto FindMember(const host_id& host) const -> const member*;
  /** Offset + 1 of the last join, leave, drain or loss. */
  auto members_version() const -> std::uint64_t { return members_version_; }
  /** The last audit entries, oldest first, bounded by kAuditLimit. */
  auto Audit() const -> const std::deque<audit_entry>& { return audit_; }
  /** Record that LoadSnapshot() takes. */
  auto Snapshot(const record_writer& writer) const -> std::string;
  /** Whether the change would apply now; fails with kConflict, kBadRequest. */
  auto Test(const config_change& change) const -> result<void>;

 private:
  friend class config_projection;
  using node_map = std::map<std::string, config_node, std::less<>>;
  /** Last record of a writing host. */
  struct writer_mark {
    incarnation start;      ///< Its latest start.
    std::uint64_t seq = 0;  ///< Highest seq of that start.
    log_offset last;        ///< Offset of its last record.
  };

  /** Why the change would not apply now, nothing if it would. */
  auto Refusal(const config_change& change) const -> std::optional<failure>;

  log_offset next_offset_;
  node_map nodes_;
  std::map<std::string, key_entry, std::less<>> keys_;  // By hash.
  std::map<host_id, member> members_;
  std::uint64_t members_version_ = 0;
  std::map<host_id, writer_mark> last_seq_;
  std::deque<audit_entry> audit_;
  std::size_t audit_bytes_ = 0;  // Size of audit_ as JSON.
};

/** Most audit entries kept in memory; older ones are in the log. */
constexpr std::size_t kAuditLimit = 1000;
/** Most bytes of audit entries, as JSON. The entries are part of a snapshot,
 * which must fit into one append (1 MiB). */
constexpr std::size_t kAuditBytes = 200UL << 10;
/** The last seq of a host that is no member is forgotten once this many records
 * follow its last one, which takes days at 10,000 records a day. No resend is
 * that late. */
constexpr std::uint64_t kWriterMemory = 20000;

/** Whether `record` is a snapshot made for one reader: its seq is 0, which no
 * record of the log has. It stands for the records before its as_of and is
 * itself at no offset. */
auto IsCatchUpSnapshot(std::string_view record) -> bool;
/** Record of an operator's change. */
auto ChangeRecord(const record_writer& writer, const config_change& change)
    -> std::string;
/** Record of a host that joins or changes its state. */
auto JoinRecord(const record_writer& writer, const member& joining)
    -> std::string;
/** Record of `host` in its start `start` leaving ("member_leave"), draining
 * ("member_drain") or being declared lost ("member_lost"). */
auto MemberRecord(const record_writer& writer,
                  std::string_view kind,
                  const host_id& host,
                  incarnation start) -> std::string;

}  // namespace dogwood

#endif  // SRC_CONFIG_BASE_H_
