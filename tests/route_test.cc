/** Tests of the choice of servers and of retries. */
#include <rapidcheck.h>

#include <map>
#include <string>

#include "src/core.h"
#include "src/route.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using namespace dogwood;

constexpr std::string_view kModel = "m";
const time_point kStart = time_point() + std::chrono::hours(1);

/** Where the choosing host is. */
auto Here() -> route_place {
  return {data_centre_id("a"), region_id("near")};
}

/** A random server; the data centres "a" and "b" are in region "near". */
auto RandomServer(unsigned number) -> backend_server {
  backend_server server;
  server.server = server_id("s" + std::to_string(number));
  server.address = "127.0.0.1:" + std::to_string(1000 + number);
  const auto place = *rc::gen::inRange(0, 3);
  server.data_centre = data_centre_id(std::string(1, "abc"[place]));
  server.region = region_id(place == 2 ? "far" : "near");
  server.leaving = *rc::gen::inRange(0, 4) == 0;
  server.models = {std::string(kModel)};
  server.slots = *rc::gen::inRange(1U, 4U);
  return server;
}

/** A table of random servers with what the test knows of them. */
struct random_table {
  std::map<server_id, backend_server> servers;   ///< As listed.
  std::map<server_id, std::uint32_t> in_flight;  ///< Counted by the test.
  std::set<server_id> draining;                  ///< By configuration.
  server_table table;                            ///< Under test.

  random_table()
      : table(
            Here(),
            MakeRoutePolicy(*rc::gen::element<std::string>("affinity",
                                                           "round_robin",
                                                           "least_connections"),
                            2),
            route_limits()) {
    std::vector<backend_server> list;
    const auto count = *rc::gen::inRange(1U, 8U);
    for (unsigned i = 0; i < count; ++i) {
      auto server = RandomServer(i);
      servers[server.server] = server;
      list.push_back(server);
      if (*rc::gen::inRange(0, 5) == 0) {
        draining.insert(server.server);
      }
    }
    table.SetServers(list);
    table.SetDraining(draining);
  }

  /** Whether a server gets new work. */
  auto IsUsable(const backend_server& server) const -> bool {
    return !server.leaving && !draining.contains(server.server);
  }
  /** Whether a usable server of the own region has room. */
  auto HasLocalRoom() -> bool {
    for (const auto& [id, server] : servers) {
      if (IsUsable(server) && server.region == Here().region &&
          in_flight[id] < server.slots) {
        return true;
      }
    }
    return false;
  }
};

/** Acquires a server for a random prompt. */
auto Choose(server_table& table, time_point now = kStart)
    -> outcome<route_choice> {
  route_request request;
  request.name = kModel;
  request.prefix_hash = PrefixHash(*rc::gen::arbitrary<std::string>(), 256);
  return ToOutcome([&] { return table.Acquire(request, now); });
}

/** Fills the table step by step and checks every choice. */
auto CheckChoices() -> void {
  random_table t;
  for (int step = 0; step < 30; ++step) {
    if (!t.in_flight.empty() && *rc::gen::inRange(0, 3) == 0) {
      auto& [id, count] = *t.in_flight.begin();
      if (count > 0) {
        t.table.Release(id);
        --count;
      }
    }
    const bool local_room = t.HasLocalRoom();
    const auto chosen = Choose(t.table);
    if (!chosen) {
      RC_ASSERT(chosen.error().ran == ran_state::kNo);
      for (const auto& [id, server] : t.servers) {
        RC_ASSERT(!t.IsUsable(server));
      }
      continue;
    }
    const auto& server = t.servers[chosen->server];
    RC_ASSERT(t.IsUsable(server));
    RC_ASSERT(chosen->remote == (server.region != Here().region));
    RC_ASSERT(!(local_room && chosen->remote));
    ++t.in_flight[chosen->server];
    RC_ASSERT(t.table.InFlightOf(chosen->server) ==
              t.in_flight[chosen->server]);
  }
}

/** Sends requests that all fail and counts the attempts. */
auto CheckRetriesUnderFailure() -> void {
  const double capacity = *rc::gen::inRange(1, 20);
  retry_budget budget(0.1, capacity);
  const auto requests = *rc::gen::inRange(1U, 500U);
  unsigned retries = 0;
  for (unsigned i = 0; i < requests; ++i) {
    budget.RecordRequest();
    retry_state question;
    question.idempotent = *rc::gen::arbitrary<bool>();
    question.max_attempts = 4;
    question.deadline = kStart + std::chrono::seconds(1);
    question.ran =
        *rc::gen::arbitrary<bool>() ? ran_state::kNo : ran_state::kMaybe;
    while (budget.TryRetry(question, kStart)) {
      // Guards against a non-idempotent request being sent twice.
      RC_ASSERT(question.idempotent || question.ran == ran_state::kNo);
      ++retries;
      ++question.attempts;
      RC_ASSERT(question.attempts <= question.max_attempts);
    }
  }
  RC_ASSERT(retries <= capacity + requests * 0.1 + 1e-6);
}

/** A table of `count` usable servers with `slots` in the own data centre. */
auto LocalTable(std::string_view policy, unsigned count, unsigned slots)
    -> std::unique_ptr<server_table> {
  auto table = std::make_unique<server_table>(
      Here(), MakeRoutePolicy(policy, 2), route_limits());
  std::vector<backend_server> list;
  for (unsigned i = 0; i < count; ++i) {
    backend_server server;
    server.server = server_id("s" + std::to_string(i));
    server.data_centre = Here().data_centre;
    server.region = Here().region;
    server.models = {std::string(kModel)};
    server.slots = slots;
    list.push_back(server);
  }
  table->SetServers(list);
  return table;
}

/** Chooses for one fixed prompt and fails the test without a server. */
auto ChooseFor(server_table& table, std::string_view prompt, time_point now)
    -> server_id {
  route_request request;
  request.name = kModel;
  request.prefix_hash = PrefixHash(prompt, 256);
  const auto chosen = ToOutcome([&] { return table.Acquire(request, now); });
  cr_assert(chosen.has_value());
  return chosen->server;
}

}  // namespace

// Guards against new work on leaving or draining servers, against traffic on
// the billed link while a local server has room, and against lost counts.
Test(route, choices_respect_state_and_region) {
  cr_assert(rc::check("choices", CheckChoices));
}

// Guards against retries that multiply the load of a failing fleet, and
// against a non-idempotent request that runs twice.
Test(route, retries_stay_within_the_budget) {
  cr_assert(rc::check("retries", CheckRetriesUnderFailure));
}

// Guards against a retry after bytes have gone to the caller or after the
// deadline, which would mix two answers or outlive the caller.
Test(route, no_retry_after_output_or_deadline) {
  retry_state question;
  question.idempotent = true;
  question.ran = ran_state::kNo;
  question.deadline = kStart;
  cr_assert(MayRetry(question, 5, kStart - std::chrono::seconds(1)));
  cr_assert(!MayRetry(question, 5, kStart));
  question.bytes_sent_to_caller = 1;
  cr_assert(!MayRetry(question, 5, kStart - std::chrono::seconds(1)));
}

// Guards against a prefix that moves between servers while they are idle, and
// against one hot prefix that overloads its server while others are idle.
Test(route, affinity_holds_until_the_slack_is_used) {
  auto table = LocalTable("affinity", 5, 8);
  const std::string prompt(300, 'p');
  const auto first = ChooseFor(*table, prompt, kStart);
  const auto same_prefix = prompt.substr(0, 256) + "other end";
  cr_assert(ChooseFor(*table, same_prefix, kStart) == first);
  cr_assert(ChooseFor(*table, prompt, kStart) == first);
  cr_assert(ChooseFor(*table, prompt, kStart) != first);
}

// Guards against a server that refuses connections being chosen again at once,
// and against its exclusion outlasting the stored deadline.
Test(route, failed_server_backs_off_until_its_deadline) {
  auto table = LocalTable("affinity", 2, 8);
  const auto first = ChooseFor(*table, "x", kStart);
  table->Release(first);
  table->RecordConnectFailure(first, kStart);
  const auto second = ChooseFor(*table, "x", kStart);
  cr_assert(second != first);
  table->Release(second);
  const auto later = kStart + route_limits().backoff;
  cr_assert(ChooseFor(*table, "x", later) == first);
}

// Guards against a retry that finds no server when the only one has failed the
// request once, and against a retry at a server that cannot be connected.
Test(route, tried_servers_come_last_and_excluded_ones_never) {
  auto table = LocalTable("affinity", 2, 8);
  route_request request;
  request.name = kModel;
  const auto acquire = [&] {
    return ToOutcome([&] { return table->Acquire(request, kStart); });
  };
  const auto first = acquire()->server;
  request.tried = {first};
  const auto second = acquire()->server;
  cr_assert(second != first);
  request.excluded = {second};
  cr_assert(acquire()->server == first);
  request.excluded = {first, second};
  cr_assert(!acquire().has_value());
}

// Guards against counting own requests twice, once as own and once in the
// server's report, and against using a report past its life.
Test(route, reports_add_only_the_load_of_others) {
  auto table = LocalTable("affinity", 2, 8);
  const auto first = ChooseFor(*table, "x", kStart);
  table->RecordLoadReport(first, {1, 0}, 1, kStart);
  cr_assert(ChooseFor(*table, "x", kStart) == first);
  table->RecordLoadReport(first, {8, 4}, 2, kStart);
  const auto second = ChooseFor(*table, "x", kStart);
  cr_assert(second != first);
  table->Release(second);
  const auto later = kStart + route_limits().report_ttl;
  cr_assert(ChooseFor(*table, "x", later) == first);
}

// Guards against baselines that leave servers unused.
Test(route, baselines_use_every_server) {
  for (const auto* policy : {"round_robin", "least_connections"}) {
    auto table = LocalTable(policy, 4, 8);
    for (int i = 0; i < 8; ++i) {
      ChooseFor(*table, "x", kStart);
    }
    for (const auto& [id, count] : table->InFlight()) {
      cr_assert_eq(count, 2U);
    }
    cr_assert_eq(table->InFlight().size(), 4U);
  }
}

// Guards against counts that vanish, and later underflow, when a server leaves
// the list while requests run on it.
Test(route, unlisted_server_keeps_its_count_but_is_not_chosen) {
  auto table = LocalTable("affinity", 1, 8);
  const auto server = ChooseFor(*table, "x", kStart);
  table->SetServers({});
  cr_assert_eq(table->InFlightOf(server), 1U);
  route_request request;
  request.name = kModel;
  const auto refused =
      ToOutcome([&] { return table->Acquire(request, kStart); });
  cr_assert(!refused.has_value());
  cr_assert(refused.error().code == error_code::kNotFound);
  table->Release(server);
  cr_assert_eq(table->InFlight().size(), 0U);
}
