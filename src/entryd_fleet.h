/** Tracking of backend servers: host list, load polls, and reports of online
 * load to batch admitters. */
#ifndef SRC_ENTRYD_FLEET_H_
#define SRC_ENTRYD_FLEET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <set>
#include <string>

#include "src/core.h"
#include "src/link.h"

namespace dogwood {

struct entry_state;

/** Polls the platform's host list and updates the server table; never returns.
 */
auto PollHosts(entry_state& state) -> boost::asio::awaitable<void>;

/** Polls the load of the backend servers in this region; never returns. */
auto PollLoads(entry_state& state) -> boost::asio::awaitable<void>;

/** Marks the servers that the configuration sets to draining. */
auto ApplyDraining(entry_state& state) -> void;

/** Reports to each server's batch admitter how many online requests of this
 * host run on the server. Thread-safe. */
class online_reporter {
 public:
  explicit online_reporter(entry_state& state);

  /** Records that the number of online requests on `server` has changed, and
   * schedules a report. */
  auto RecordChange(const server_id& server) -> void;
  /** Starts the full reports: once a second every server in use is reported
   * again, which repairs lost messages and informs new admitters. */
  auto Start() -> void;

 private:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;
  /** Unsent changes for one batch daemon. At most one message to it is in
   * flight, because calls on a link are handled concurrently and could be
   * applied out of order. */
  struct admitter {
    std::set<server_id> changed;  ///< Servers to report.
    bool sending = false;         ///< A message is in flight.
  };

  auto Run() -> boost::asio::awaitable<void>;
  auto MarkChanged(const server_id& server) -> void;
  auto SendAfterDelay() -> boost::asio::awaitable<void>;
  auto SendAll() -> void;
  auto Send(std::string address) -> boost::asio::awaitable<void>;

  entry_state& state_;
  strand_type strand_;                         // Guards all members below.
  bool send_scheduled_ = false;                // SendAfterDelay() is running.
  std::map<std::string, admitter> admitters_;  // By link address.
  std::map<server_id, time_point> in_use_until_;  // Reported until then.
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_FLEET_H_
