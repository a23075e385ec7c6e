/** Admission of batch items on the backend servers that this host owns. */
#ifndef SRC_ADMISSION_BASE_H_
#define SRC_ADMISSION_BASE_H_

#include <map>
#include <optional>
#include <vector>

#include "src/admission_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Backend servers with their online requests and batch items in flight. Has no
 * clock and no I/O. Not thread-safe; last in lock order. */
class admission_table {
 public:
  explicit admission_table(any_admission_policy policy) : policy_(policy) {}

  /** Adds or updates a server. A server that does not accept gets no new items
   * but keeps those in flight. */
  auto SetServer(const server_id& server, unsigned slots, bool accepts) -> void;
  /** Stops admission on a server. Its entry is removed at once only if it has
   * no items and no online counts. */
  auto RemoveServer(const server_id& server) -> void;
  /** Records how many online requests an entry host has in flight on a server;
   * the count expires at `deadline`. Also accepted for servers that are not in
   * the table, since the host list may arrive after the count. */
  auto RecordOnlineCount(const host_id& host,
                         const server_id& server,
                         unsigned in_flight,
                         time_point deadline) -> void;
  /** Extends the deadline of all counts of a host. */
  auto ExtendHost(const host_id& host, time_point deadline) -> void;
  /** Removes all counts of a host whose link has closed. */
  auto DropHost(const host_id& host) -> void;
  /** Records the load that a server reports. Ignored for unknown servers. */
  auto RecordLoadReport(const server_id& server,
                        const load_report& report,
                        time_point now) -> void;
  /** Reserves a slot for a batch item; returns nothing without headroom. */
  auto Begin(const server_id& server, time_point now) -> std::optional<run_id>;
  /** Releases the slot of a batch item that has ended. */
  auto End(const server_id& server, run_id run) -> void;
  /** Returns the items to cancel now, newest first. Each is returned only once
   * and counts as in flight until End(). */
  auto DrainCancellations(const server_id& server, time_point now)
      -> std::vector<run_id>;

  /** Number of further batch items that may be sent now. */
  auto Headroom(const server_id& server, time_point now) const -> unsigned;
  /** Number of online requests in flight by unexpired counts. */
  auto OnlineCount(const server_id& server, time_point now) const -> unsigned;
  /** Number of batch items in flight, including those being cancelled. */
  auto BatchCount(const server_id& server) const -> unsigned;
  /** Servers that are set and not removed. */
  auto Servers() const -> std::vector<server_id>;

 private:
  /** Online requests of one entry host on a server. */
  struct online_count {
    unsigned in_flight = 0;
    time_point deadline;  ///< The count expires then.
  };
  struct server_state {
    bool is_listed = false;      ///< In the host list.
    bool accepts = false;        ///< Gets new items.
    unsigned slots = 0;          ///< Maximum concurrent requests.
    unsigned external = 0;       ///< Reported load not counted here.
    unsigned peak = 0;           ///< Peak count since the latest report.
    unsigned previous_peak = 0;  ///< Peak count between the two latest reports.
    std::map<host_id, online_count> online;  ///< By entry host.
    std::map<run_id, bool> runs;  ///< Items; true if being cancelled.
  };

  auto Allowed(const server_state& state, time_point now) const -> unsigned;
  static auto CountOnline(const server_state& state, time_point now)
      -> unsigned;
  static auto RecordPeak(server_state& state, time_point now) -> void;

  any_admission_policy policy_;
  std::uint64_t last_run_ = 0;
  std::map<server_id, server_state> servers_;
};

}  // namespace dogwood

#endif  // SRC_ADMISSION_BASE_H_
