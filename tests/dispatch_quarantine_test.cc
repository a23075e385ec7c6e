/** Tests of the search for prompts that crash servers, with the load of a part
 * that crashes each server that begins to answer it. */
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>
#include <vector>

#include "tests/dispatch_fixture.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr prompt_part_id kSystem{1};
constexpr prompt_part_id kHarmful{666};
/** `stableWindowMs` of the users' sheets. */
constexpr seconds kStableWindow{4};

/** A prompt of the given shared parts that no other request has. */
auto Prompt(std::vector<prompt_part_id> shared, std::uint64_t own)
    -> prompt_parts {
  return {.shared = std::move(shared), .own = prompt_part_id(own)};
}

auto Server(unsigned number) -> server_id {
  return server_id("s" + std::to_string(number));
}

/** A server with the prompts that it is answering. */
struct busy_server {
  std::vector<prompt_parts> running;
  time_point back;  ///< When it is up again after a crash.
};

/** Load of sound requests with a few harmful ones, on servers that crash. */
class crash_simulation {
 public:
  explicit crash_simulation(std::uint64_t seed) : random_(seed) {}

  /** Sends one request in each of `steps` steps of 10 ms, each twentieth of
   * them harmful. */
  auto Run(int steps) -> void {
    for (int i = 0; i < steps; ++i) {
      now_ += milliseconds(10);
      quarantine_.Decide(now_);
      FinishSome();
      const bool is_harmful = random_() % 20 == 0;
      auto prompt = Prompt({kSystem, prompt_part_id(10 + random_() % 30)},
                           1000 + static_cast<std::uint64_t>(i));
      if (is_harmful) {
        prompt.shared.push_back(kHarmful);
      }
      // A request that broke off goes on at another server.
      for (int attempt = 0; attempt < 3 && !Send(prompt, is_harmful);
           ++attempt) {
      }
    }
  }

  /** Harmful requests that reached servers later than kStableWindow after the
   * fifth crash. */
  int late_harmful = 0;
  int crashes = 0;
  int sound_refused = 0;

 private:
  /** Returns whether the request needs no other server. */
  auto Send(const prompt_parts& prompt, bool is_harmful) -> bool {
    if (quarantine_.Contains(prompt, now_)) {
      sound_refused += is_harmful ? 0 : 1;
      return true;
    }
    const auto number = random_() % servers_.size();
    auto& server = servers_[number];
    if (now_ < server.back) {
      return false;
    }
    if (!is_harmful) {
      server.running.push_back(prompt);
      return true;
    }
    late_harmful += crashes >= 5 && now_ > fifth_crash_ + kStableWindow ? 1 : 0;
    if (++crashes == 5) {
      fifth_crash_ = now_;
    }
    server.running.push_back(prompt);
    for (const auto& broken : server.running) {
      quarantine_.RecordCrash(broken, Server(static_cast<unsigned>(number)),
                              now_);
    }
    server.running.clear();
    server.back = now_ + seconds(4);
    return false;
  }

  /** Completes the oldest request of each server. */
  auto FinishSome() -> void {
    for (auto& server : servers_) {
      if (!server.running.empty() && random_() % 20 == 0) {
        quarantine_.RecordAnswer(server.running.front(), now_);
        server.running.erase(server.running.begin());
      }
    }
  }

  std::mt19937_64 random_;
  prompt_quarantine quarantine_;
  std::vector<busy_server> servers_{18};
  time_point now_ = Begin();
  time_point fifth_crash_;
};

/** Load of sound requests with one that crashes each server and comes again, at
 * a dispatcher and servers that are down for a while after a crash. */
class repeated_crash_simulation {
 public:
  explicit repeated_crash_simulation(std::uint64_t seed)
      : random_(seed), dispatcher_({}, seed) {
    dispatcher_.SetServers(Servers(18), Regions());
    dispatcher_.Start(now_ - seconds(1));
  }

  /** Sends one request in each of `steps` steps of 10 ms, each twentieth of
   * them the harmful one. */
  auto Run(int steps) -> void {
    for (int i = 0; i < steps; ++i) {
      now_ += milliseconds(10);
      dispatcher_.ReconcileHeldSlots(host_id("h"), Held(), now_);
      EndRuns();
      dispatcher_.Advance(now_);
      const bool is_harmful = random_() % 20 == 0;
      Send(is_harmful ? kHarmfulContent : request_hash(1000 + random_()));
      TakeNotices();
    }
  }

  int harmful_runs = 0;
  int late_harmful = 0;  ///< Later than kStableWindow after the third crash.
  std::set<request_hash> refused_sound;

 private:
  static constexpr request_hash kHarmfulContent{1};
  struct run {
    request_hash content;
    server_id server;
    time_point end;
  };

  auto Held() const -> std::vector<held_slot> {
    std::vector<held_slot> held;
    for (const auto& [ticket, running] : runs_) {
      held.push_back({ticket, running.server, work_class::kOnline});
    }
    return held;
  }

  auto Send(request_hash content) -> void {
    const auto number = next_ticket_++;
    auto request = MakeRequest(number, work_class::kOnline, now_);
    request.content = content;
    asked_[ticket_id(number)] = content;
    dispatcher_.RequestSlot(request, {}, now_);
  }

  auto TakeNotices() -> void {
    for (const auto& notice : dispatcher_.DrainNotices()) {
      const auto content = asked_.at(notice.ticket);
      if (notice.answer.verdict == placement_verdict::kQuarantined &&
          content != kHarmfulContent) {
        refused_sound.insert(content);
      }
      if (notice.answer.verdict == placement_verdict::kGranted) {
        Start(notice.ticket, content, notice.answer.server);
      }
    }
  }

  auto Start(ticket_id ticket, request_hash content, const server_id& server)
      -> void {
    if (now_ < down_until_[server]) {
      dispatcher_.End(host_id("h"), {ticket, run_outcome::kUnreachable}, now_);
      return;
    }
    const bool is_harmful = content == kHarmfulContent;
    if (is_harmful) {
      late_harmful += harmful_runs >= 3 && now_ > third_crash_ + kStableWindow;
      if (++harmful_runs == 3) {
        third_crash_ = now_;
      }
    }
    const auto length = milliseconds(is_harmful ? 50 : 100 + random_() % 400);
    runs_[ticket] = {content, server, now_ + length};
  }

  /** Ends the runs that are due; a harmful one ends all of its server. */
  auto EndRuns() -> void {
    for (const auto& [ticket, running] : runs_) {
      if (running.content == kHarmfulContent && now_ >= running.end) {
        down_until_[running.server] = now_ + seconds(3);
      }
    }
    std::vector<request_hash> again;
    std::erase_if(runs_, [&](const auto& entry) {
      const auto& [ticket, running] = entry;
      if (now_ < down_until_[running.server]) {
        dispatcher_.End(host_id("h"), {ticket, run_outcome::kFailed, true},
                        now_);
        again.push_back(running.content);
        return true;
      }
      if (now_ >= running.end) {
        dispatcher_.End(host_id("h"), {ticket, run_outcome::kComplete}, now_);
        return true;
      }
      return false;
    });
    for (const auto content : again) {
      Send(content);
    }
  }

  std::mt19937_64 random_;
  dispatcher dispatcher_;
  std::uint64_t next_ticket_ = 0;
  std::map<ticket_id, request_hash> asked_;
  std::map<ticket_id, run> runs_;
  std::map<server_id, time_point> down_until_;
  time_point now_ = Begin();
  time_point third_crash_;
};

/** Puts a request under quarantine by crashes of different servers. */
auto Quarantined(request_hash content) -> request_quarantine {
  request_quarantine quarantine;
  for (unsigned i = 0; i < 3; ++i) {
    quarantine.RecordCrash(content, Server(i), Begin());
  }
  return quarantine;
}

}  // namespace

// Guards against requests of one kind that crash servers one after the other,
// and against sound requests that are refused with them.
Test(dispatch_quarantine, a_harmful_part_is_found_within_five_crashes) {
  const bool ok = rc::check("few harmful requests reach servers", [] {
    crash_simulation load(*rc::gen::arbitrary<std::uint64_t>());
    load.Run(2000);
    RC_ASSERT(load.late_harmful <= 3);
    RC_ASSERT(load.sound_refused == 0);
  });
  cr_assert(ok);
}

// Guards against one request that comes again and crashes server after server,
// and against sound requests that are refused because they were there.
Test(dispatch_quarantine, a_harmful_request_is_kept_away) {
  const bool ok = rc::check("the harmful request reaches few servers", [] {
    repeated_crash_simulation load(*rc::gen::arbitrary<std::uint64_t>());
    load.Run(2000);
    RC_ASSERT(load.harmful_runs >= 3);
    RC_ASSERT(load.late_harmful <= 3);
    RC_ASSERT(load.refused_sound.empty());
  });
  cr_assert(ok);
}

// Guards against a request that is refused for long although it is sound: it
// was there when several servers were lost at once.
Test(dispatch_quarantine, an_answer_frees_a_request) {
  const request_hash content(7);
  auto first = Quarantined(content);
  auto second = first;
  cr_assert(first.Contains(content, Begin()));
  first.RecordAnswer(content, Begin());
  cr_assert_not(first.Contains(content, Begin()));
  first.Merge(second.Entries(Begin()), Begin() + seconds(1));
  cr_assert_not(first.Contains(content, Begin() + seconds(1)));
  for (unsigned i = 0; i < 2; ++i) {
    first.RecordCrash(content, Server(i), Begin() + seconds(60));
  }
  cr_assert_not(first.Contains(content, Begin() + seconds(60)));
}

// Guards against a request that reaches many servers at the end of its
// quarantine: it is tried by one run, and kept away for longer if that crashes.
Test(dispatch_quarantine, a_request_is_tried_again_by_one_run) {
  const request_hash content(7);
  auto quarantine = Quarantined(content);
  auto now = Begin() + std::chrono::minutes(1);
  cr_assert_not(quarantine.Contains(content, now));
  quarantine.RecordStart(content, now);
  cr_assert(quarantine.Contains(content, now + seconds(1)));
  quarantine.RecordCrash(content, Server(9), now + seconds(1));
  cr_assert(quarantine.Contains(content, now + std::chrono::minutes(9)));
  now += std::chrono::minutes(11);
  quarantine.RecordStart(content, now);
  quarantine.RecordCrash(content, Server(9), now);
  cr_assert(quarantine.Contains(content, now + std::chrono::hours(23)));
  quarantine.RecordStart(request_hash(8), now);
  cr_assert_not(quarantine.Contains(request_hash(8), now));
}

// One request alone may crash servers by what no other request holds.
Test(dispatch_quarantine, one_request_condemns_no_shared_part) {
  prompt_quarantine quarantine;
  for (unsigned i = 0; i < 5; ++i) {
    quarantine.RecordCrash(Prompt({kSystem}, 7), Server(i),
                           Begin() + seconds(2 * i));
  }
  quarantine.Decide(Begin() + seconds(20));
  cr_assert_not(quarantine.Contains(Prompt({kSystem}, 8), Begin()));
}

// Guards against a part of every prompt that is condemned while many servers
// are lost at once.
Test(dispatch_quarantine, an_answered_part_is_beyond_suspicion) {
  prompt_quarantine quarantine;
  quarantine.RecordAnswer(Prompt({kSystem}, 1), Begin());
  for (unsigned i = 0; i < 9; ++i) {
    quarantine.RecordCrash(Prompt({kSystem}, i), Server(i), Begin());
  }
  quarantine.Decide(Begin() + seconds(1));
  cr_assert_not(quarantine.Contains(Prompt({kSystem}, 99), Begin()));
}

// A new dispatcher knows what the former one has found, from the other hosts,
// unless it knows better.
Test(dispatch_quarantine, hosts_share_what_was_found) {
  prompt_quarantine first;
  for (unsigned i = 0; i < 3; ++i) {
    first.RecordCrash(Prompt({kHarmful}, i), Server(i), Begin());
  }
  cr_assert(first.Decide(Begin() + seconds(1)));
  cr_assert(first.Contains(Prompt({kSystem, kHarmful}, 9), Begin()));
  prompt_quarantine second;
  second.Merge(first.Entries(Begin()), Begin());
  cr_assert(second.Contains(Prompt({kHarmful}, 9), Begin()));
  second.RecordAnswer(Prompt({kHarmful}, 9), Begin());
  second.Merge(first.Entries(Begin()), Begin());
  cr_assert_not(second.Contains(Prompt({kHarmful}, 9), Begin()));
}

// A part that is let out and crashes a server goes back at once.
Test(dispatch_quarantine, a_relapse_needs_one_crash) {
  prompt_quarantine quarantine;
  for (unsigned i = 0; i < 3; ++i) {
    quarantine.RecordCrash(Prompt({kHarmful}, i), Server(i), Begin());
  }
  cr_assert(quarantine.Decide(Begin() + seconds(1)));
  const auto later = Begin() + std::chrono::hours(1);
  cr_assert_not(quarantine.Contains(Prompt({kHarmful}, 9), later));
  quarantine.RecordCrash(Prompt({kHarmful}, 9), Server(5), later);
  cr_assert(quarantine.Contains(Prompt({kHarmful}, 10), later));
}

// Guards against a dispatcher that goes on placing, or keeps waiting, requests
// with a part that is known to crash servers.
Test(dispatch_quarantine, the_dispatcher_refuses_at_once) {
  dispatcher d({}, 7);
  d.SetServers(Servers(6), Regions());
  d.Start(Begin() - seconds(1));
  d.ReconcileHeldSlots(host_id("h"), {}, Begin());
  const auto place = [&d](unsigned number, time_point now) {
    auto request = MakeRequest(number, work_class::kOnline, now);
    request.prompt = Prompt({kHarmful}, number);
    d.RequestSlot(request, {}, now);
    return d.DrainNotices().front().answer.verdict;
  };
  for (unsigned i = 0; i < 3; ++i) {
    cr_assert(place(i, Begin()) == placement_verdict::kGranted);
    d.End(host_id("h"), {ticket_id(i), run_outcome::kFailed, true}, Begin());
  }
  d.Advance(Begin() + milliseconds(200));
  cr_assert(place(3, Begin() + milliseconds(201)) ==
            placement_verdict::kQuarantined);
}

// Guards against a part that is condemned although the harmful one of the same
// requests explains all crashes.
Test(dispatch_quarantine, a_part_beside_the_harmful_one_is_spared) {
  prompt_quarantine quarantine;
  constexpr prompt_part_id kBeside{5};
  for (unsigned i = 0; i < 3; ++i) {
    quarantine.RecordCrash(Prompt({kBeside, kHarmful}, i), Server(i), Begin());
  }
  quarantine.RecordCrash(Prompt({kHarmful}, 4), Server(4), Begin());
  cr_assert(quarantine.Decide(Begin() + seconds(1)));
  const auto now = Begin() + seconds(1);
  cr_assert(quarantine.Contains(Prompt({kHarmful}, 9), now));
  cr_assert_not(quarantine.Contains(Prompt({kBeside}, 9), now));
}

}  // namespace dogwood::testing
