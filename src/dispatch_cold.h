/** How many requests cold servers get. */
#ifndef SRC_DISPATCH_COLD_H_
#define SRC_DISPATCH_COLD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "src/deployment_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Time for which a server counts as cold without a statement of its own, from
 * the first request after it could not be reached, from a new start, or from
 * the end of an evacuation. Its registration is written every 1.2 s and listed
 * up to 0.8 s later, and takes up to a second to reach all hosts. */
inline constexpr std::chrono::milliseconds kSuspicionTime{3500};

/** Time for which a host tells new dispatchers that it could not reach a
 * server. Former dispatchers may have tried it last 3 s ago, the longest
 * backoff, and it may have come back just after that. */
inline constexpr std::chrono::milliseconds kUnreachableTtl{7000};

/** Length of the window in which starts on a cold server are counted. */
inline constexpr std::chrono::seconds kColdWindow{1};

/** Why a server counts as cold. */
enum class cold_reason : std::uint8_t {
  kRegistered,   ///< Its registration says so.
  kReported,     ///< It said so in an answer.
  kUnreachable,  ///< It could not be reached, or broke off a request.
  kRestarted,    ///< It has a new start.
  kEvacuated,    ///< The evacuation of its data centre has ended.
};

/** Returns the name of a reason for logs. */
auto NameOf(cold_reason reason) -> const char*;

/** State of a server that counts as cold. */
struct cold_state {
  cold_reason reason = cold_reason::kRegistered;
  /** End of that state; time_point::max() until the next request reaches it. */
  time_point until;
};

/** A server that counts as cold. */
struct cold_server {
  server_id server;
  cold_state state;
};

/** What a host has seen of a server that may be cold. */
struct cold_report {
  server_id server;
  time_point until;        ///< It counts as cold until then.
  bool is_stated = false;  ///< It said so in an answer.
};

/** Declared request rates of cold servers, by service; services without one are
 * not listed. */
using cold_rates = std::map<service_id, double>;

/** Returns the requests that one dispatcher starts on a cold server in a
 * sliding second, at most. Two dispatchers may decide for the same server for a
 * while, and together they must stay below 1.5 times the declared rate: 0.7 of
 * it each. At least 1, since a server that gets nothing would never be seen to
 * be back. */
auto ColdStartsPerSecond(double declared_per_s) -> std::uint32_t;

/** Returns until when a server counts as cold. `stated` is what its newest
 * registration says, counted from its arrival (the epoch: it is warm), and
 * `known` what was decided from the former ones. Registrations arrive with
 * varying delays, so their statements differ while they mean the same; `known`
 * is kept if it covers `stated` and is not much later. Servers that stay warm
 * always keep theirs. */
auto ColdEnd(time_point known, time_point stated, time_point now) -> time_point;

/** Decides how many requests a dispatcher starts on cold servers. Only servers
 * of services with a declared rate are ever cold. Has no clock and no I/O. Not
 * thread-safe. */
class cold_starts {
 public:
  // Commands.

  /** Replaces the declared rates. */
  auto SetRates(cold_rates rates) -> void { rates_ = std::move(rates); }
  /** Starts nothing on cold servers before then, since another dispatcher may
   * have started the full rate on them in the second before. */
  auto HoldUntil(time_point until) -> void { held_until_ = until; }
  /** Records a request that is sent to a server. */
  auto RecordStart(const registered_server& server, time_point now) -> void;
  /** Records that a server could not be reached or broke off. It counts as cold
   * until kSuspicionTime after the next request that is sent to it: that may be
   * long after it was last tried, and just after it has come back. */
  auto RecordUnreachable(const registered_server& server) -> void;
  /** Records that a server has a new start; it counts as cold from the next
   * Advance() on. */
  auto RecordRestart(const registered_server& server) -> void;
  /** Counts a server as cold until then. */
  auto Suspect(const registered_server& server,
               cold_reason reason,
               time_point until) -> void;
  /** Records that a server is not registered any more; another process of that
   * id states by itself how long it is cold. */
  auto Forget(const server_id& server) -> void;
  /** Drops what does not matter any more. */
  auto Advance(time_point now) -> void;

  // Queries.

  /** Whether any service declares a rate of cold servers. */
  auto IsActive() const -> bool { return !rates_.empty(); }
  /** Returns why and until when a server is cold; nullopt if it is warm. */
  auto StateOf(const registered_server& server, time_point now) const
      -> std::optional<cold_state>;
  /** Whether a request may be sent to a server: it is warm, or has not had its
   * share of the last second. */
  auto MayStart(const registered_server& server, time_point now) const -> bool;
  /** Returns the starts in a second on a cold server of a service. */
  auto StartsPerSecond(const service_id& service) const -> std::uint32_t;
  /** When cold servers get their first requests. */
  auto HeldUntil() const -> time_point { return held_until_; }

 private:
  struct record {
    std::deque<time_point> starts;  ///< In the last kColdWindow, oldest first.
    bool is_unreachable = false;    ///< Since the latest start of a request.
    bool has_restarted = false;     ///< Since the latest Advance().
    cold_reason reason = cold_reason::kUnreachable;  ///< Of the suspicion.
    time_point suspected_until;
  };

  auto HasRate(const registered_server& server) const -> bool {
    return IsActive() && rates_.contains(server.service);
  }

  cold_rates rates_;
  time_point held_until_;
  std::unordered_map<server_id, record> records_;
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_COLD_H_
