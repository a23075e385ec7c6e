/** Model check of what hosts know: random steps of one log with deletions, and
 * of hosts that read it, ask each other, and restart. */
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "src/core.h"
#include "src/hostd_base.h"
#include "src/hostd_feed.h"
#include "src/hostd_follow.h"
#include "src/hostd_setting.h"
#include "src/hostd_state.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kHosts = 4;
constexpr int kKeys = 5;
/** Steps of a case, at most. */
constexpr int kMaxSteps = 400;

/** A log of the store. */
class model_log {
 public:
  auto Append(std::string key, std::optional<std::string> text) -> void {
    records_.push_back({std::move(key), std::move(text)});
  }
  auto DeleteBefore(std::uint64_t offset) -> void {
    first_ = std::max(first_, offset);
  }
  auto End() const -> std::uint64_t { return records_.size(); }

  /** Returns up to `count` records from `from` on. */
  auto Read(log_offset from, std::size_t count) const -> store_page {
    store_page page{
        .end = log_offset(End()), .first = log_offset(first_), .records = {}};
    if (from.value < first_) {
      return page;
    }
    for (auto i = from.value; i < End() && page.records.size() < count; ++i) {
      const auto& [key, text] = records_[i];
      page.records.push_back(std::string(1, static_cast<char>(key.size())) +
                             key + text.value_or(""));
    }
    return page;
  }

  /** Returns the newest text of each key before `end`. */
  auto NewestBefore(std::uint64_t end) const
      -> std::map<std::string, std::string> {
    std::map<std::string, std::string> newest;
    for (std::uint64_t i = 0; i < end; ++i) {
      const auto& [key, text] = records_[i];
      if (text) {
        newest[key] = *text;
      } else {
        newest.erase(key);
      }
    }
    return newest;
  }

  auto Snapshot() const -> store_snapshot {
    return CutSnapshot(End(), End(), "");
  }

  /** Returns a snapshot of two pages: the keys before `pivot` as of offset
   * `first_end`, which is where reading continues, and the others as of
   * `second_end`. */
  auto CutSnapshot(std::uint64_t first_end,
                   std::uint64_t second_end,
                   const std::string& pivot) const -> store_snapshot {
    store_snapshot snapshot{.records = {}, .end = log_offset(first_end)};
    for (const auto& [key, text] : NewestBefore(first_end)) {
      if (key < pivot) {
        snapshot.records.push_back({key, text});
      }
    }
    for (const auto& [key, text] : NewestBefore(second_end)) {
      if (key >= pivot) {
        snapshot.records.push_back({key, text});
      }
    }
    return snapshot;
  }

 private:
  std::vector<std::pair<std::string, std::optional<std::string>>> records_;
  std::uint64_t first_ = 0;
};

/** One process of a host. */
struct model_host {
  model_host() : host(io, hostd_options()), servers(host), state(host) {}

  asio::io_context io;
  host_state host;
  server_follower servers;
  state_follower state;
  feed_cursor cursor;
  std::uint64_t version = 0;  ///< Of the state at the last check.
};

class model {
 public:
  explicit model(std::uint64_t seed)
      : random_(seed), cuts_snapshots_(Below(2) == 0) {
    for (auto& host : hosts_) {
      host = std::make_unique<model_host>();
    }
  }

  /** Takes one step and checks the host that it concerns. */
  auto Step() -> void {
    const auto number = Below(kHosts);
    auto& chosen = hosts_[number];
    trace_ += "\nhost " + std::to_string(number) + " ";
    switch (Below(12)) {
      case 0:
      case 1:
      case 2:
        AppendServer();
        return;
      case 3:
        if (Below(2) == 0) {
          AppendEvacuation();
        } else {
          AppendState();
        }
        return;
      case 4:
        (Below(2) == 0 ? servers_ : states_)
            .DeleteBefore(Below(servers_.End() + 1));
        states_.DeleteBefore(Below(states_.End() + 1));
        return;
      case 5:
        if (Below(5) == 0) {
          chosen = std::make_unique<model_host>();
          trace_ += "restarts";
        }
        break;
      case 6:
      case 7:
      case 8:
        ReadLog(servers_, chosen->servers);
        break;
      case 9:
        ReadStates(*chosen);
        break;
      default:
        Ask(*chosen, *hosts_[Below(kHosts)]);
    }
    Check(*chosen);
  }

  /** After some reads each host must know all. */
  auto Settle() -> void {
    PutState(R"({"routes":[],"services":[],"version":)" +
             std::to_string(++version_) + "}");
    for (auto& host : hosts_) {
      for (std::uint64_t i = 0; i < servers_.End() + 3; ++i) {
        ReadLog(servers_, host->servers);
      }
      for (std::uint64_t i = 0; i < states_.End() + 3; ++i) {
        ReadLog(states_, host->state);
      }
      Check(*host);
      RC_ASSERT(host->host.state_feed.reached.value == states_.End());
      RC_ASSERT(host->host.server_feed.reached.value == servers_.End());
      RC_ASSERT(VersionOf(host->host) == version_);
      RC_ASSERT(host->host.evacuations.All() == evacuated_.back());
    }
  }

 private:
  auto Below(std::uint64_t limit) -> std::uint64_t { return random_() % limit; }

  auto AppendServer() -> void {
    const auto key = "s" + std::to_string(Below(kKeys));
    std::optional<std::string> text;
    if (Below(4) != 0) {
      text = R"({"service":"llm","address":"127.0.0.1:1","slots":8,"state":")" +
             std::string(Below(3) == 0 ? "draining" : "ready") +
             R"(","born":)" + std::to_string(Below(3)) + "}";
    }
    if (text && Below(6) == 0) {
      text = "{";  // Unreadable: names no server.
    }
    trace_ += "append " + key + " " + text.value_or("-");
    servers_.Append(key, text);
  }

  auto AppendState() -> void {
    const auto text = R"({"routes":[],"services":[],"version":)" +
                      std::to_string(++version_) + "}";
    PutState(Below(4) == 0 ? "{" : text);
  }

  auto PutState(const std::string& text) -> void {
    states_.Append("config", text);
    evacuated_.push_back(evacuated_.back());
  }

  auto AppendEvacuation() -> void {
    const auto name = "d" + std::to_string(Below(kKeys));
    const bool begins = Below(2) == 0;
    trace_ += (begins ? "evacuate " : "end evacuation of ") + name;
    states_.Append("evacuate/" + name,
                   begins ? std::optional<std::string>("x") : std::nullopt);
    auto evacuated = evacuated_.back();
    if (begins) {
      evacuated.insert(data_centre_id(name));
    } else {
      evacuated.erase(data_centre_id(name));
    }
    evacuated_.push_back(std::move(evacuated));
  }

  /** Reads a snapshot of the states. */
  auto ReadStates(model_host& reading) -> void {
    const auto& position = reading.host.state_feed;
    if (!cuts_snapshots_ || position.next) {
      ReadLog(states_, reading.state);
      return;
    }
    // The first page is read after the host has lost its position.
    const auto end = states_.End();
    const auto reached = std::min(position.reached.value, end);
    const auto first = reached + Below(end - reached + 1);
    const auto second = first + Below(end - first + 1);
    const auto pivot = "evacuate/d" + std::to_string(Below(kKeys));
    trace_ += "snapshot cut at " + pivot + " from " + std::to_string(first) +
              " to " + std::to_string(second);
    ApplySnapshot(reading.state, states_.CutSnapshot(first, second, pivot));
  }

  template <log_follower T>
  auto ReadLog(const model_log& log, T& follower) -> void {
    const auto from = follower.Position().next;
    trace_ += from ? "reads from " + std::to_string(from->value) : "snapshot";
    if (from) {
      ApplyPage(follower, *from, log.Read(*from, 1 + Below(4)));
    } else {
      ApplySnapshot(follower, log.Snapshot());
    }
  }

  auto Ask(model_host& asking, model_host& asked) -> void {
    if (&asking == &asked) {
      return;
    }
    const auto request = MakeViewRequest(asking.host, asking.cursor);
    auto answer = asio::co_spawn(asked.io, AnswerView(asked.host, request),
                                 asio::use_future);
    asked.io.restart();
    asked.io.poll();
    const auto reply = answer.get();
    trace_ += "asks: next " + std::to_string(reply.servers_next) +
              (reply.is_complete ? " all" : " changes") + " present " +
              std::to_string(reply.servers.size()) + " removed " +
              std::to_string(reply.removed.size()) + " revision " +
              std::to_string(request.revision) + " to " +
              std::to_string(reply.revision);
    ApplyPeerView(asking.host, reply, asking.cursor);
  }

  /** What a host knows is the log up to its position, not more and not less. */
  auto Check(model_host& checked) const -> void {
    const auto& host = checked.host;
    const auto reached = host.server_feed.reached.value;
    RC_ASSERT(!host.server_feed.next ||
              host.server_feed.next->value == reached);
    if (host.servers_known && reached > 0) {
      std::map<server_id, registered_server> expected;
      for (const auto& [key, text] : servers_.NewestBefore(reached)) {
        if (auto server = adapter::DecodeServer(key, text, time_point())) {
          expected[server->id] = std::move(server.value());
        }
      }
      if (host.servers != expected) {
        RC_LOG() << trace_ << "\nreached " << reached;
      }
      RC_ASSERT(host.servers == expected);
    }
    CheckEvacuations(host);
    const auto version = VersionOf(host);
    RC_ASSERT(version >= checked.version);
    RC_ASSERT(version <= version_);
    checked.version = version;
  }

  /** What a host knows of evacuations is the log up to its position. After a
   * cut snapshot a part of it may be newer. */
  auto CheckEvacuations(const host_state& host) const -> void {
    const auto reached = host.state_feed.reached.value;
    const auto known = host.evacuations.All();
    const auto last = cuts_snapshots_ ? states_.End() : reached;
    auto always = evacuated_.at(reached);
    auto ever = always;
    for (auto at = reached; at <= last; ++at) {
      const auto& set = evacuated_.at(at);
      std::erase_if(always, [&](const auto& id) { return !set.contains(id); });
      ever.insert(set.begin(), set.end());
    }
    const bool is_known = std::ranges::includes(known, always);
    const bool is_true = std::ranges::includes(ever, known);
    // A host without a position may have asked one that has lost its own.
    if (reached > 0 && !(is_known && is_true)) {
      RC_LOG() << trace_ << "\nreached " << reached;
    }
    RC_ASSERT(reached == 0 || is_known);
    RC_ASSERT(reached == 0 || is_true);
  }

  static auto VersionOf(const host_state& host) -> std::uint64_t {
    return host.deployment == nullptr ? 0
                                      : host.deployment->state().version.value;
  }

  std::mt19937_64 random_;
  bool cuts_snapshots_;  ///< Changes come between the pages of a snapshot.
  std::string trace_;    // Steps so far.
  model_log servers_;
  model_log states_;
  std::uint64_t version_ = 0;
  /** Evacuated data centres before each offset of `states_`. */
  std::vector<data_centre_set> evacuated_{data_centre_set()};
  std::array<std::unique_ptr<model_host>, kHosts> hosts_;
};

}  // namespace

// Guards against changes that are lost, or taken back, on the way from the
// store over other hosts.
Test(feed_model, hosts_know_the_log_up_to_their_position) {
  StartLog("model", "test", "fatal");
  const bool ok = rc::check("what a host knows equals the log", [] {
    model world(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(1, kMaxSteps);
    for (int i = 0; i < steps; ++i) {
      world.Step();
    }
    world.Settle();
  });
  cr_assert(ok);
}

}  // namespace dogwood::testing
