/** Batch headroom of the backend servers that this host admits batch on. */
#ifndef SRC_ADMISSION_BASE_H_
#define SRC_ADMISSION_BASE_H_

#include <map>
#include <optional>
#include <vector>

#include "src/admission_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Servers, online counts and batch items in flight. Has no clock and no I/O.
 * Not thread-safe; last in lock order. */
class admission_table {
 public:
  explicit admission_table(any_admission_policy policy) : policy_(policy) {}

  /** Adds a server or changes it. One that does not accept gets no new items
   * and keeps those that it has. */
  auto SetServer(const server_id& server, unsigned slots, bool accepts) -> void;
  /** Takes a server out once it has no items in flight. */
  auto RemoveServer(const server_id& server) -> void;
  /** Takes what an entry host has in flight on a server; dropped after
   * `deadline`. Known for servers that are not in the table, too, since the
   * host list may come later than the count. */
  auto RecordOnlineCount(const host_id& host,
                         const server_id& server,
                         unsigned in_flight,
                         time_point deadline) -> void;
  /** Extends the deadline of all counts of a host. */
  auto ExtendHost(const host_id& host, time_point deadline) -> void;
  /** Drops the counts of a host whose link has closed. */
  auto DropHost(const host_id& host) -> void;
  /** Takes a server's report. */
  auto RecordLoadReport(const server_id& server,
                        const load_report& report,
                        time_point now) -> void;
  /** Takes a slot for an item if there is one. */
  auto Begin(const server_id& server, time_point now) -> std::optional<run_id>;
  /** Ends an item. */
  auto End(const server_id& server, run_id run) -> void;
  /** Items to cancel now, newest first; each is returned once and counts as in
   * flight until End(). */
  auto DrainCancellations(const server_id& server, time_point now)
      -> std::vector<run_id>;

  /** Batch items that may be sent now. */
  auto Headroom(const server_id& server, time_point now) const -> unsigned;
  /** Online requests known to be in flight. */
  auto Online(const server_id& server, time_point now) const -> unsigned;
  /** Batch items in flight, with those that are being cancelled. */
  auto Batch(const server_id& server) const -> unsigned;
  /** Servers of the table. */
  auto Servers() const -> std::vector<server_id>;

 private:
  /** Count of one entry host. */
  struct online_count {
    unsigned in_flight = 0;  ///< Requests.
    time_point deadline;     ///< Not counted from then on.
  };
  /** One server. */
  struct server_state {
    bool is_set = false;       ///< Known from the host list.
    bool accepts = false;      ///< Takes new items.
    unsigned slots = 0;        ///< Requests that it runs at once.
    unsigned unknown = 0;      ///< Excess of the last report.
    unsigned peak = 0;         ///< Most known in flight since that report.
    unsigned peak_before = 0;  ///< The same before that report.
    std::map<host_id, online_count> online;  ///< By entry host.
    std::map<run_id, bool> runs;  ///< Items; true if being cancelled.
  };

  auto Allowed(const server_state& state, time_point now) const -> unsigned;
  static auto OnlineOf(const server_state& state, time_point now) -> unsigned;
  static auto NotePeak(server_state& state, time_point now) -> void;

  any_admission_policy policy_;
  std::uint64_t last_run_ = 0;
  std::map<server_id, server_state> servers_;
};

}  // namespace dogwood

#endif  // SRC_ADMISSION_BASE_H_
