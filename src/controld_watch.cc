#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <utility>

#include "src/controld_member.h"
#include "src/core.h"
#include "src/http.h"

namespace dogwood {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Between two looks at the watched hosts. */
constexpr std::chrono::milliseconds kWatchPeriod{500};
/** Longest wait for a connection to a watched host. */
constexpr std::chrono::milliseconds kProbeLimit{1000};

/** What a try to connect to a control link shows. */
enum class probe_result {
  kAccepts,  ///< A process listens there.
  kRefused,  ///< Its host answers that no process listens there.
  kSilent,   ///< No answer: paused, cut off or gone.
};

/** Tries to connect to `address`. */
auto Probe(std::string address) -> asio::awaitable<probe_result> {
  auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return probe_result::kSilent;
  }
  auto executor = co_await asio::this_coro::executor;
  auto socket = std::make_shared<tcp::socket>(executor);
  asio::steady_timer limit(executor, kProbeLimit);
  limit.async_wait([socket](boost::system::error_code ec) {
    if (!ec) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  auto [ec] = co_await socket->async_connect(
      endpoint.value(), asio::as_tuple(asio::use_awaitable));
  if (!ec) {
    co_return probe_result::kAccepts;
  }
  co_return ec == asio::error::connection_refused ? probe_result::kRefused
                                                  : probe_result::kSilent;
}

/** Watches hosts. A host counts as gone only on evidence that its controld has
 * ended, never on silence alone: a host that is cut off may still serve. */
class watcher {
 public:
  explicit watcher(controld& c) : c_(c) {}

  /** Looks at each watched host once. */
  auto Round() -> asio::awaitable<void> {
    const auto watched = Watched();
    std::erase_if(gone_since_, [&watched](const auto& entry) {
      return std::none_of(watched.begin(), watched.end(),
                          [&entry](const member& m) {
                            return std::pair(m.host, m.start) == entry.first;
                          });
    });
    for (const auto& m : watched) {
      co_await Look(m);
    }
  }

 private:
  /** Children; for the root's second, the root; while this host's join is not
   * confirmed, all that joined earlier. */
  auto Watched() const -> std::vector<member> {
    auto members = MembersOf(c_);
    const auto& self = c_.settings.self.host;
    const auto position = TreePosition(members, self, c_.settings.log_region);
    const auto own =
        std::find_if(members.begin(), members.end(),
                     [&self](const member& m) { return m.host == self; });
    if (own == members.end()) {
      return {};
    }
    const bool confirmed = c_.tracker.IsConfirmed();
    const bool is_second = IsSecond(members, position);
    const auto joined = own->joined;
    std::erase_if(members, [&](const member& m) {
      const bool is_child =
          std::find(position.children.begin(), position.children.end(),
                    m.host) != position.children.end();
      const bool is_root = is_second && m.host == position.ancestors.back();
      const bool is_older = !confirmed && m.joined < joined;
      return !is_child && !is_root && !is_older;
    });
    return members;
  }

  /** Whether this host is the first in member order after the root. */
  auto IsSecond(const std::vector<member>& members,
                const tree_position& position) const -> bool {
    if (position.ancestors.empty()) {
      return false;
    }
    const auto& root = position.ancestors.back();
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&root](const member& m) { return m.host != root; });
    return found != members.end() && found->host == c_.settings.self.host;
  }

  /** Looks at one host and declares it lost when it has been gone for long
   * enough. */
  auto Look(member m) -> asio::awaitable<void> {
    const auto key = std::pair(m.host, m.start);
    const auto now = clock::now();
    const auto quiet_since = now - 2 * c_.settings.pull_interval - kWatchPeriod;
    const auto heard = std::max(c_.pulls.LastPull(m.host),
                                c_.replies.LastAnswer(m.control_link));
    if (heard > quiet_since || !co_await IsGone(m)) {
      gone_since_.erase(key);
      co_return;
    }
    const auto since = gone_since_.try_emplace(key, now).first->second;
    if (clock::now() < since + c_.settings.loss_after) {
      co_return;
    }
    Log(log_level::kWarning, log_category::kMember,
        {"the host is gone and is declared lost", "watch", m.host.value});
    const auto deadline = clock::now() + c_.settings.change_timeout;
    auto appended = co_await AppendMemberRecord(c_, "member_lost", m.host,
                                                m.start, deadline);
    if (!appended) {
      LogFailure(log_level::kError, log_category::kMember, appended.error());
    }
    gone_since_.erase(key);
  }

  /** Whether there is evidence that the host's controld has ended. */
  auto IsGone(const member& m) -> asio::awaitable<bool> {
    const auto found = co_await Probe(m.control_link);
    if (found != probe_result::kSilent) {
      co_return found == probe_result::kRefused;
    }
    auto hosts = co_await c_.platform.Hosts(clock::now() + kProbeLimit);
    if (!hosts) {
      co_return false;
    }
    co_return std::none_of(
        hosts->begin(), hosts->end(),
        [&m](const listed_host& h) { return h.id == m.host.value; });
  }

  controld& c_;
  std::map<std::pair<host_id, incarnation>, time_point> gone_since_;
};

}  // namespace

auto WatchMembers(controld& c) -> asio::awaitable<void> {
  watcher watching(c);
  while (true) {
    co_await Sleep(kWatchPeriod);
    co_await watching.Round();
  }
}

}  // namespace dogwood
