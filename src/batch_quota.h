/** Limit on the tokens of a workspace's accepted items that wait on a route, on
 * all hosts together.
 *
 * Jobs are accepted by the owners of their partitions, so no host sees all of
 * them. Each owner counts the tokens of its open items and reports them to the
 * dispatcher, which grants the acceptance of further jobs. It answers a
 * workspace that submits many jobs at once to several hosts: what has been
 * granted counts until it is part of a report. */
#ifndef SRC_BATCH_QUOTA_H_
#define SRC_BATCH_QUOTA_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Workspace and route whose waiting tokens are limited together. */
struct batch_quota_key {
  workspace_id workspace;
  route_id route;
  // clang-tidy 14 takes the comparison with 0 in the default for a pointer.
  auto operator<=>(const batch_quota_key&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/** Tokens that wait at one host. */
struct waiting_tokens {
  batch_quota_key key;
  std::uint64_t tokens = 0;
};

/** Report of a host about its open items. */
struct waiting_report {
  std::vector<waiting_tokens> rows;
  /** Number of the newest grant that `rows` include. */
  std::uint64_t last_grant = 0;
};

/** Answer to a request for the acceptance of a job. */
struct batch_grant {
  bool granted = false;
  std::uint64_t number = 0;  ///< Of the grant, for this host's next reports.
};

/** Tokens that wait on all hosts, as known by the dispatcher. Has no clock and
 * no I/O. Not thread-safe. */
class batch_quota {
 public:
  /** Forgets everything; hosts report again. */
  auto Clear() -> void { hosts_.clear(); }
  /** Replaces the counts of a host, which are valid until `until`. */
  auto Report(const host_id& host, waiting_report report, time_point until)
      -> void;
  /** Grants `tokens` more to a host if all hosts together stay within `limit`;
   * 0 means no limit. */
  auto Request(const host_id& host,
               const batch_quota_key& key,
               std::uint64_t tokens,
               std::uint64_t limit,
               time_point now) -> batch_grant;
  /** Tokens that wait or have been granted. */
  auto Waiting(const batch_quota_key& key, time_point now) const
      -> std::uint64_t;

 private:
  struct host_row {
    std::map<batch_quota_key, std::uint64_t> reported;
    time_point reported_until;
    std::uint64_t next_grant = 1;
    /** Grants that are not part of a report yet, by number. */
    std::map<std::uint64_t, std::pair<waiting_tokens, time_point>> grants;
  };
  std::map<host_id, host_row> hosts_;
};

/** Returns the part of a limit that one of `hosts` hosts may fill while no
 * dispatcher answers. */
auto LocalQuota(std::uint64_t limit, std::size_t hosts) -> std::uint64_t;

}  // namespace dogwood

#endif  // SRC_BATCH_QUOTA_H_
