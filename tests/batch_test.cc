/** Tests of batch jobs whose results are read by position. */
#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include "src/batch.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

using std::chrono::seconds;

constexpr std::size_t kRecordBytes = 8192;

/** Returns a submission of `count` items with bodies of `bytes` each. */
auto Submission(const std::string& name, std::size_t count, std::size_t bytes)
    -> batch_submission {
  batch_submission submission{.id = batch_id(name),
                              .workspace = workspace_id("w"),
                              .host = "h",
                              .path = "/p/",
                              .submitted = unix_ms(1000),
                              .accepted_under = state_version(7),
                              .items = {}};
  for (std::size_t i = 0; i < count; ++i) {
    batch_item item{.id = batch_item_id(name + "-" + std::to_string(i)),
                    .path = "/p/" + std::to_string(i),
                    .headers = {{{"X-One", "1"}, {"X-Two", "a\"b"}}},
                    .body = std::string(bytes, static_cast<char>(i))};
    submission.items.push_back(std::move(item));
  }
  return submission;
}

/** Applies all records. */
auto ApplyAll(batch_partition& partition,
              const std::vector<std::string>& records) -> void {
  for (const auto& record : records) {
    partition.Apply(record);
  }
}

/** Returns a completed result of an item. */
auto Result(const std::string& item, const std::string& output)
    -> batch_result {
  return {batch_item_id(item), batch_item_outcome::kDone, output};
}

/** Property: for any order of duplicate and malformed records, each item has
 * one result and its position never changes. */
auto PositionsNeverChange() -> bool {
  return rc::check("a result keeps its position and content", [] {
    batch_partition partition;
    const auto submitted = Submission("j", 6, 20);
    ApplyAll(partition, SubmissionRecords(submitted, kRecordBytes));
    std::vector<std::string> seen;
    const auto steps =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 12));
    int count = 0;
    for (const auto step : steps) {
      if (step == 10) {
        ApplyAll(partition, SubmissionRecords(submitted, kRecordBytes));
      } else if (step == 11) {
        partition.Apply("no record");
      } else {
        partition.Apply(ResultRecord(batch_id("j"),
                                     Result("j-" + std::to_string(step),
                                            "run " + std::to_string(count++))));
      }
      const auto* job = partition.Find(batch_id("j"));
      RC_ASSERT(job != nullptr);
      RC_ASSERT(job->results.size() <= 6U);
      for (std::size_t i = 0; i < seen.size(); ++i) {
        RC_ASSERT(job->results[i].item.value + job->results[i].output ==
                  seen[i]);
      }
      seen.clear();
      std::set<std::string> items;
      for (const auto& result : job->results) {
        seen.push_back(result.item.value + result.output);
        RC_ASSERT(items.insert(result.item.value).second);
      }
    }
  });
}

/** Property: whatever progress two owners record for an item, the recorded
 * output has every event once, in order. */
auto ProgressHasEveryEventOnce() -> bool {
  return rc::check("recorded progress has every event once", [] {
    batch_partition partition;
    ApplyAll(partition,
             SubmissionRecords(Submission("j", 1, 10), kRecordBytes));
    const batch_item_id item("j-0");
    // Progress of each owner's run, and the progress it last read from the log.
    std::array<batch_progress, 2> run;
    std::array<batch_progress, 2> known;
    const auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
    for (const auto step : steps) {
      const auto owner = static_cast<std::size_t>(step % 2);
      if (step < 2) {
        ++run[owner].last_event;
        run[owner].output += std::to_string(run[owner].last_event) + " ";
      } else if (step < 4) {
        if (run[owner].last_event > known[owner].last_event) {
          partition.Apply(
              ProgressRecord(batch_id("j"), item, known[owner], run[owner]));
        }
      } else {
        known[owner] = partition.Find(batch_id("j"))->ProgressOf(item);
        run[owner] = known[owner];
      }
      const auto& recorded = partition.Find(batch_id("j"))->ProgressOf(item);
      std::string wanted;
      for (std::uint64_t event = 1; event <= recorded.last_event; ++event) {
        wanted += std::to_string(event) + " ";
      }
      RC_ASSERT(recorded.output == wanted);
    }
    partition.Apply(ResultRecord(batch_id("j"), Result("j-0", "all")));
    partition.Apply(ProgressRecord(batch_id("j"), item, {}, {1, "1 "}));
    RC_ASSERT(partition.Find(batch_id("j"))->progress.empty());
  });
}

/** Property: bytes that are not a record change nothing and do not crash. */
auto MalformedRecordsChangeNothing() -> bool {
  return rc::check("malformed records change no job", [] {
    batch_partition partition;
    ApplyAll(partition,
             SubmissionRecords(Submission("j", 2, 10), kRecordBytes));
    partition.Apply(*rc::gen::string<std::string>());
    RC_ASSERT(partition.Jobs().size() == 1U);
    RC_ASSERT(partition.Find(batch_id("j"))->results.empty());
  });
}

/** Returns a queue entry that is due after `due` seconds. */
auto Item(time_point now, int due) -> queued_item {
  queued_item item;
  item.due = now + seconds(due);
  item.expires = now + seconds(60);
  item.max_attempts = 3;
  return item;
}

/** Returns a reference to an item of job j. */
auto Ref(const std::string& item) -> batch_item_ref {
  return {partition_id(1), batch_id("j"), batch_item_id(item)};
}

}  // namespace

// Guards against a submission that is changed by encoding and replay, also when
// it takes several records.
Test(batch, submission_round_trips_through_records) {
  for (const std::size_t bytes : {0UL, 10UL, 9000UL}) {
    batch_partition partition;
    const auto submitted = Submission("j", 5, bytes);
    const auto records = SubmissionRecords(submitted, kRecordBytes);
    for (const auto& record : records) {
      cr_assert_leq(record.size(), kRecordBytes);
    }
    ApplyAll(partition, records);
    const auto* job = partition.Find(batch_id("j"));
    cr_assert_not_null(job);
    cr_assert_eq(job->submission.items.size(), 5);
    for (std::size_t i = 0; i < 5; ++i) {
      const auto& item = job->submission.items[i];
      cr_assert_eq(item.body, submitted.items[i].body);
      cr_assert_eq(item.headers.Get("X-Two"), "a\"b");
    }
  }
}

// Guards against a job that is accepted although the store cannot take it.
Test(batch, submission_that_no_append_can_hold_is_found) {
  const auto submission = Submission("j", 10, 3000);
  const auto records = SubmissionRecords(submission, kRecordBytes);
  std::size_t bytes = 0;
  for (const auto& record : records) {
    bytes += record.size() + 4;
  }
  cr_assert(FitAppend(records, {kRecordBytes, bytes}));
  cr_assert_not(FitAppend(records, {kRecordBytes, bytes - 1}));
  // A job's name is in the first line of each of its records.
  const auto named =
      SubmissionRecords(Submission(std::string(9000, 'n'), 1, 1), kRecordBytes);
  cr_assert_not(FitAppend(named, {kRecordBytes, 1UL << 20}));
}

// Guards against results and progress that the store refuses because they are
// larger than a record, which blocks their partition.
Test(batch, large_records_are_stored_in_sections) {
  cr_assert(rc::check("a record in sections is the same as a whole one", [] {
    batch_partition partition;
    ApplyAll(partition,
             SubmissionRecords(Submission("j", 2, 10), kRecordBytes));
    const std::string output(*rc::gen::inRange<std::size_t>(0, 40000), 'x');
    const auto whole = ResultRecord(batch_id("j"), Result("j-1", output));
    const auto sections = SplitRecordToFit(whole, kRecordBytes);
    RC_ASSERT(FitAppend(sections, {kRecordBytes, 1UL << 20}));
    RC_ASSERT(sections.size() > 1 || sections[0] == whole);
    const auto torn = *rc::gen::inRange<std::size_t>(0, sections.size());
    for (std::size_t i = 0; i < torn; ++i) {
      partition.Apply(sections[i]);  // Sections without their end.
    }
    RC_ASSERT(partition.Find(batch_id("j"))->results.empty());
    ApplyAll(partition, sections);
    const auto& results = partition.Find(batch_id("j"))->results;
    RC_ASSERT(results.size() == 1U);
    RC_ASSERT(results[0].output == output);
  }));
}

// Guards against a job that is accepted before all parts of its submission were
// read.
Test(batch, submission_counts_only_when_complete) {
  batch_partition partition;
  auto records = SubmissionRecords(Submission("j", 4, 9000), kRecordBytes);
  cr_assert_gt(records.size(), 2);
  const auto last = records.back();
  records.pop_back();
  ApplyAll(partition, records);
  cr_assert_null(partition.Find(batch_id("j")));
  partition.Apply(last);
  cr_assert_not_null(partition.Find(batch_id("j")));
}

Test(batch, positions_never_change) {
  cr_assert(PositionsNeverChange());
}

// Guards against output in which events are missing or repeated after a change
// of owner.
Test(batch, progress_has_every_event_once) {
  cr_assert(ProgressHasEveryEventOnce());
}

Test(batch, malformed_records_change_nothing) {
  cr_assert(MalformedRecordsChangeNothing());
}

// Guards against results that are lost when a job ends, and against a job that
// is removed while callers may still read it.
Test(batch, ended_job_keeps_its_results_until_removed) {
  batch_partition partition;
  ApplyAll(partition, SubmissionRecords(Submission("j", 2, 1), kRecordBytes));
  ApplyAll(partition,
           SubmissionRecords(Submission("open", 2, 1), kRecordBytes));
  partition.Apply(ResultRecord(batch_id("j"), Result("j-0", "out")));
  partition.Apply(EndRecord(batch_id("j")));
  cr_assert(partition.Find(batch_id("j"))->IsClosed());
  cr_assert_eq(partition.Find(batch_id("j"))->results.size(), 1);
  partition.Forget(unix_ms(1000));
  cr_assert_not_null(partition.Find(batch_id("j")));
  partition.Forget(unix_ms(1001));
  cr_assert_null(partition.Find(batch_id("j")));
  cr_assert_not_null(partition.Find(batch_id("open")));
}

// Guards against a page without results although one exists, and against pages
// that exceed the size limit.
Test(batch, results_are_returned_in_bounded_parts) {
  batch_partition partition;
  ApplyAll(partition, SubmissionRecords(Submission("j", 3, 1), kRecordBytes));
  for (int i = 0; i < 3; ++i) {
    partition.Apply(ResultRecord(batch_id("j"), Result("j-" + std::to_string(i),
                                                       std::string(100, 'x'))));
  }
  const auto* job = partition.Find(batch_id("j"));
  cr_assert_eq(batch_partition::Results(*job, 0, 250).size(), 2);
  cr_assert_eq(batch_partition::Results(*job, 0, 10).size(), 1);
  cr_assert_eq(batch_partition::Results(*job, 2, 250).size(), 1);
  cr_assert_eq(batch_partition::Results(*job, 3, 250).size(), 0);
  cr_assert_eq(batch_partition::Results(*job, 9, 250).size(), 0);
}

// Load: more items than can meet their objective. Guards against items that are
// late already making all others late under overload.
Test(batch, items_that_can_still_be_on_time_come_first) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("late"), Item(now, 2));
  queue.Add(Ref("soon"), Item(now, 6));
  queue.Add(Ref("later"), Item(now, 9));
  const auto run = seconds(4);
  cr_assert_eq(queue.StartNext(now, run)->item.value, "soon");
  cr_assert_eq(queue.StartNext(now, run)->item.value, "later");
  cr_assert_eq(queue.StartNext(now, run)->item.value, "late");
  cr_assert_not(queue.StartNext(now, run).has_value());
}

// Guards against an item that is dispatched twice at once, or not again after a
// pause.
Test(batch, returned_item_waits_for_its_pause) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("a"), Item(now, 10));
  cr_assert(queue.StartNext(now, seconds(1)).has_value());
  cr_assert_not(queue.StartNext(now, seconds(1)).has_value());
  queue.Find(Ref("a"))->progress.last_event = 7;
  queue.Requeue(Ref("a"), now + seconds(2));
  cr_assert_not(queue.StartNext(now + seconds(1), seconds(1)).has_value());
  cr_assert(queue.StartNext(now + seconds(2), seconds(1)).has_value());
  cr_assert_eq(queue.Find(Ref("a"))->progress.last_event, 7);
}

// Guards against an item that is abandoned too early or retried without end.
Test(batch, item_is_abandoned_after_its_attempts) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("a"), Item(now, 10));
  cr_assert_not(queue.CountFailure(Ref("a")));
  cr_assert_not(queue.CountFailure(Ref("a")));
  cr_assert(queue.CountFailure(Ref("a")));
  cr_assert(queue.Expired(now + seconds(59)).empty());
  cr_assert_eq(queue.Expired(now + seconds(60)).size(), 1);
}

namespace {

const batch_quota_key kQuotaKey{workspace_id("w"), route_id("r")};

/** Returns a host's report of `tokens` that include the grants up to `grant`.
 */
auto Waiting(std::uint64_t tokens, std::uint64_t grant) -> waiting_report {
  return {.rows = {{kQuotaKey, tokens}}, .last_grant = grant};
}

}  // namespace

// Guards against a workspace that submits many jobs at once to several hosts
// and gets more tokens waiting than its limit: between two reports of a host
// only the grants tell what it has accepted.
Test(batch, jobs_submitted_at_once_stay_within_the_limit) {
  batch_quota quota;
  const time_point now{seconds(100)};
  const auto until = now + seconds(4);
  quota.Report(host_id("a"), Waiting(300, 0), until);
  quota.Report(host_id("b"), Waiting(200, 0), until);
  std::uint64_t granted = 0;
  for (int i = 0; i < 20; ++i) {
    const host_id host(i % 2 == 0 ? "a" : "b");
    granted += quota.Request(host, kQuotaKey, 100, 1000, now).granted ? 100 : 0;
  }
  cr_assert_eq(granted, 500);
  // The report of the first host includes its three grants.
  quota.Report(host_id("a"), Waiting(600, 3), until);
  cr_assert_eq(quota.Waiting(kQuotaKey, now), 1000);
  // Finished items make room, for this workspace and route only.
  quota.Report(host_id("a"), Waiting(100, 3), until);
  cr_assert(quota.Request(host_id("b"), kQuotaKey, 100, 1000, now).granted);
  const batch_quota_key other{workspace_id("v"), route_id("r")};
  cr_assert_eq(quota.Waiting(other, now), 0);
}

// Guards against tokens of a lost host, or of a submission that was given up,
// that count forever.
Test(batch, tokens_of_lost_hosts_do_not_count_forever) {
  batch_quota quota;
  const time_point now{seconds(100)};
  quota.Report(host_id("a"), Waiting(900, 0), now + seconds(4));
  cr_assert(quota.Request(host_id("b"), kQuotaKey, 100, 1000, now).granted);
  cr_assert_not(quota.Request(host_id("b"), kQuotaKey, 1, 1000, now).granted);
  const auto later = now + seconds(6);
  cr_assert_eq(quota.Waiting(kQuotaKey, later), 0);
}

// Property: whatever order requests and reports come in, the hosts together
// accept no more than the limit, also when a new dispatcher takes over.
Test(batch, hosts_never_accept_more_than_the_limit) {
  cr_assert(rc::check("accepted tokens stay within the limit", [] {
    constexpr std::uint64_t kLimit = 1000;
    batch_quota quota;
    const time_point now{seconds(100)};
    std::array<waiting_report, 3> hosts;
    const auto steps =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 7U),
                          rc::gen::inRange(1U, 400U)));
    for (const auto& [step, tokens] : steps) {
      auto& host = hosts[step % hosts.size()];
      const host_id name(std::to_string(step % hosts.size()));
      if (step == 6) {
        quota.Clear();
        for (std::size_t i = 0; i < hosts.size(); ++i) {
          quota.Report(host_id(std::to_string(i)), hosts[i], now + seconds(4));
        }
      } else if (step >= hosts.size()) {
        quota.Report(name, host, now + seconds(4));
      } else {
        const auto grant = quota.Request(name, kQuotaKey, tokens, kLimit, now);
        if (grant.granted) {
          host.rows.push_back({kQuotaKey, tokens});
          host.last_grant = grant.number;
        }
      }
      std::uint64_t accepted = 0;
      for (const auto& report : hosts) {
        for (const auto& row : report.rows) {
          accepted += row.tokens;
        }
      }
      RC_ASSERT(accepted <= kLimit);
    }
  }));
}

// Guards against hosts without a dispatcher that together exceed the limit.
Test(batch, hosts_alone_share_the_limit) {
  cr_assert_eq(10 * LocalQuota(1000, 10), 1000);
  cr_assert_eq(LocalQuota(1000, 0), 1000);
}

// Guards against a takeover that forgets how many tokens wait.
Test(batch, open_tokens_survive_the_log) {
  auto submission = Submission("j", 3, 10);
  for (auto& item : submission.items) {
    item.tokens = 100;
  }
  batch_partition partition;
  ApplyAll(partition, SubmissionRecords(submission, kRecordBytes));
  cr_assert_eq(partition.Find(batch_id("j"))->OpenTokens(), 300);
  partition.Apply(ResultRecord(batch_id("j"), Result("j-1", "x")));
  cr_assert_eq(partition.Find(batch_id("j"))->OpenTokens(), 200);
  partition.Apply(EndRecord(batch_id("j")));
  cr_assert_eq(partition.Find(batch_id("j"))->OpenTokens(), 0);
}

namespace {

/** Property: whatever the errors of the two clocks, an item is kept for its
 * retention, and not much longer. */
auto ItemsAreKeptForTheirRetention() -> bool {
  return rc::check("items are kept for their retention", [] {
    using std::chrono::milliseconds;
    constexpr std::int64_t kEpoch = 1700000000000;
    const auto most = kMaxClockError.count();
    const auto clock_error = [most] {
      return *rc::gen::inRange<std::int64_t>(-most, most + 1);
    };
    const milliseconds age(*rc::gen::inRange<std::int64_t>(0, 300000));
    const milliseconds retention(*rc::gen::inRange<std::int64_t>(0, 300000));
    const auto now = clock::now();
    const unix_ms submitted(
        static_cast<std::uint64_t>(kEpoch - age.count() + clock_error()));
    const unix_ms wall_now(static_cast<std::uint64_t>(kEpoch + clock_error()));
    const auto estimate = EstimateSubmission(submitted, wall_now, now);
    RC_ASSERT(estimate <= now);
    const auto expires = ExpiryOf(estimate, retention);
    const auto earliest = now - age + retention;
    RC_ASSERT(expires >= earliest);
    RC_ASSERT(expires <= earliest + 4 * kMaxClockError);
  });
}

}  // namespace

// Guards against items that are given up too early, because the clocks of two
// hosts differ.
Test(batch, items_are_kept_for_their_retention) {
  cr_assert(ItemsAreKeptForTheirRetention());
}

}  // namespace dogwood::testing
