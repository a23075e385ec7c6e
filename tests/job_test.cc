/** Property test of batch jobs: owners that crash, pause and race over a log
 * that loses answers, delays appends and forgets old records. */
#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "src/core.h"
#include "src/job.h"
#include "tests/job_world.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using namespace dogwood;
using job_world::world;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kWorlds = 40;
constexpr int kSteps = 10000;

/** Runs all worlds; the text of the broken rule, empty if none. */
auto RunWorlds() -> std::string {
  const auto begin = std::chrono::steady_clock::now();
  std::size_t records = 0;
  std::size_t accepted = 0;
  std::size_t dropped = 0;
  std::size_t bases = 0;
  std::uint64_t forgotten = 0;
  for (int w = 0; w < kWorlds; ++w) {
    world sim(kSeed + static_cast<std::uint64_t>(w));
    int step = 0;
    try {
      for (; step < kSteps; ++step) {
        sim.Step();
      }
      sim.Finish();
    } catch (const std::exception& e) {
      return "seed " + std::to_string(kSeed + static_cast<std::uint64_t>(w)) +
             " step " + std::to_string(step) + ": " + e.what();
    }
    records += sim.records();
    accepted += sim.accepted();
    dropped += sim.dropped();
    bases += sim.bases();
    forgotten += sim.first();
  }
  const auto steps = static_cast<double>(kWorlds) * kSteps;
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begin;
  std::printf(
      "seed %llu: %.0f steps, %.0f steps/s, %zu records of which %llu "
      "forgotten, %zu jobs accepted, %zu dropped, %zu bases\n",
      static_cast<unsigned long long>(kSeed), steps, steps / took.count(),
      records, static_cast<unsigned long long>(forgotten), accepted, dropped,
      bases);
  // A run in which one of these never happened would prove nothing.
  return accepted > 0 && dropped > 0 && bases > 0 && forgotten > 0
             ? ""
             : "the run did not reach every kind of record";
}

/** Message of the refusal of a batch body, empty if it is accepted. */
auto RefusalOf(const std::string& body) -> std::string {
  const auto items = ToOutcome([&] { return ParseItems(body, job_limits()); });
  return items ? "" : items.error().message;
}

}  // namespace

// Guards against lost, doubled or changed results, against work after a
// cancel, and against a replay that differs from the state it rebuilds.
Test(job, random_owners_over_a_faulty_log_keep_every_rule) {
  const auto broken = RunWorlds();
  cr_assert(broken.empty(), "%s", broken.c_str());
}

// Guards against part of a bad batch being accepted, and against refusals
// that do not say which lines are bad.
Test(job, bad_lines_are_named) {
  const std::string good =
      R"({"custom_id":"a","method":"POST","url":"/v1/completions",)"
      R"("body":{"model":"m"}})";
  cr_assert_eq(RefusalOf(good + "\n"), "");
  const auto refusal = RefusalOf(good + "\n{\n" + good + "\n");
  cr_assert(refusal.find("line 2: not valid JSON") != std::string::npos);
  cr_assert(refusal.find("line 3: custom_id \"a\"") != std::string::npos);
  cr_assert(!RefusalOf("\n").empty());
}

// Guards against an answer that makes the log refuse every later append: it is
// not JSON, or not even text.
Test(job, any_answer_gives_a_valid_line) {
  for (const std::string body :
       {"{\"a\":1}", "plain \"text\"\n", "", "\xc7\x01 not UTF-8", "\\\xff"}) {
    const auto line = AnswerLine("c", 200, body);
    boost::json::error_code ec;
    const auto value = boost::json::parse(line, ec);
    cr_assert(!ec, "%s", line.c_str());
    cr_assert(line.find('\n') == std::string::npos);
    cr_assert(value.at("custom_id").as_string() == "c");
  }
  cr_assert(AnswerLine("c", 200, "\xc7").find("\"body_hex\":\"c7\"") !=
            std::string::npos);
}

// Guards against results that are lost or doubled where they are read in parts.
Test(job, results_in_parts_are_the_whole) {
  job_state job;
  for (int i = 0; i < 10; ++i) {
    job_item item;
    item.text = "line " + std::to_string(i);
    item.state = item_state::kCompleted;
    job.items.push_back(std::move(item));
  }
  job.completed = job.items.size();
  std::string parts;
  for (std::size_t first = 0; first < job.items.size();) {
    const auto part = job_partition::Results(job, first, 20);
    first +=
        static_cast<std::size_t>(std::count(part.begin(), part.end(), '\n'));
    parts += part;
  }
  cr_assert(parts == job_partition::Results(job));
  job.completed = 9;
  cr_assert(job_partition::Results(job).empty());
}

// Guards against ids that point to another partition.
Test(job, ids_round_trip) {
  const auto id = FormatJobId(partition_id(12), log_offset(345));
  const auto address = ParseJobId(id.value);
  cr_assert(address.has_value());
  cr_assert_eq(address->partition.value, 12);
  cr_assert_eq(address->job.value, 345);
  cr_assert(!ParseJobId("batch-1").has_value());
  cr_assert(!ParseJobId("batch-1-x").has_value());
}

// Guards against an idle partition whose last records are never written again,
// so that retention takes results that callers may still read: the records of
// a short burst carried one time mark, at the first of them.
Test(job, an_idle_partition_is_written_again_before_retention) {
  auto policy = job_world::Policy();
  policy.rewrite_after = milliseconds(60000);
  policy.result_retention = std::chrono::hours(24);
  partition_owner owner(partition_id(0), host_id("h"), incarnation(1), policy);
  std::uint64_t next = 0;
  unix_ms now(1000000);
  const auto settle = [&] {
    for (auto records = owner.StartAppend(now); !records.empty();
         records = owner.StartAppend(now)) {
      owner.HandleAppendOutcome(append_outcome::kAppended);
      for (const auto& record : records) {
        owner.Apply(log_offset(next++), record);
      }
    }
  };
  owner.Claim(log_offset(0), now);
  settle();
  owner.Submit({workspace_id("w"),
                "key",
                std::string(64, 'a'),
                {{"i", "POST", "/v1/completions", "model/a", "{}"}}},
               now);
  settle();
  const auto burst_end = next;
  now.value += 60001;
  for (int round = 0; round < 10; ++round) {
    now.value += 1000;
    settle();
  }
  cr_assert_geq(owner.projection().base_from().value, burst_end);
}
