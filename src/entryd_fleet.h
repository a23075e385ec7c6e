/** The backend servers: host list, load, and reports to batch admitters. */
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

/** Polls the platform's host list for ever. */
auto PollHosts(entry_state& state) -> boost::asio::awaitable<void>;

/** Polls the load of the nearest backend servers for ever. */
auto PollLoads(entry_state& state) -> boost::asio::awaitable<void>;

/** Applies the servers that the configuration drains. */
auto ApplyDraining(entry_state& state) -> void;

/** Tells each server's batch admitter how many online requests run here.
 * Thread-safe. */
class online_reporter {
 public:
  explicit online_reporter(entry_state& state);

  /** The number of online requests on `server` has changed. */
  auto NoteChange(const server_id& server) -> void;
  /** Begins to report every server in use once a second for ever, so that a
   * lost message or a new admitter is made up for. */
  auto Start() -> void;

 private:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;
  /** One batch daemon. Messages to it go one after the other, because calls
   * on a link are answered concurrently. */
  struct admitter {
    std::set<server_id> changed;  ///< Servers to report.
    bool sending = false;         ///< A message waits for its answer.
  };

  auto Run() -> boost::asio::awaitable<void>;
  auto MarkChanged(const server_id& server) -> void;
  auto SendLater() -> boost::asio::awaitable<void>;
  auto SendAll() -> void;
  auto Send(std::string address) -> boost::asio::awaitable<void>;

  entry_state& state_;
  strand_type strand_;                            // Of all members.
  bool send_is_due_ = false;                      // SendLater() is running.
  std::map<std::string, admitter> admitters_;     // By link address.
  std::map<server_id, time_point> in_use_until_;  // Reported until then.
};

}  // namespace dogwood

#endif  // SRC_ENTRYD_FLEET_H_
