/** Tests of batch jobs whose results are read by position. */
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

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

/** A host that runs the item "a" of job j, which always fails, as the owner of
 * its partition or as a former one that does not know it yet. */
class item_owner {
 public:
  /** Replays the log from its beginning. */
  explicit item_owner(const std::vector<std::string>& log) {
    ReadToEnd(log);
    queue_.Add(Ref("a"), Item(kNow, 10));
    Count();
  }

  auto ReadToEnd(const std::vector<std::string>& log) -> void {
    for (; read_ < log.size(); ++read_) {
      partition_.Apply(log[read_]);
    }
    Count();
  }

  auto Start() -> void {
    is_running_ = is_running_ || queue_.StartNext(kNow, seconds(1)).has_value();
  }

  /** The server answers 500. Returns whether it had run the item. */
  auto Fail(batch_run_id run) -> bool {
    if (!std::exchange(is_running_, false)) {
      return false;
    }
    pending_ =
        queue_.NoteFailure(Ref("a"), run, kNow)
            ? ResultRecord(batch_id("j"), {batch_item_id("a"),
                                           batch_item_outcome::kAbandoned, ""})
            : FailureRecord(batch_id("j"), batch_item_id("a"), run);
    return true;
  }

  /** Appends what is pending, if the log ends where this host has read to. An
   * answer that is lost makes the host repeat the record. */
  auto Append(std::vector<std::string>& log, bool is_answered) -> void {
    if (pending_.empty() || read_ != log.size()) {
      ReadToEnd(log);
      return;
    }
    log.push_back(pending_);
    if (is_answered) {
      pending_.clear();
      ReadToEnd(log);
    }
  }

 private:
  static constexpr time_point kNow = time_point() + seconds(1000);

  auto Count() -> void {
    if (const auto* job = partition_.Find(batch_id("j"))) {
      queue_.CountFailures(Ref("a"), job->FailedRunsOf(batch_item_id("a")));
      if (job->listed.contains(batch_item_id("a"))) {
        queue_.Remove(Ref("a"));
      }
    }
  }

  batch_partition partition_;
  batch_queue queue_;
  std::size_t read_ = 0;
  bool is_running_ = false;
  std::string pending_;
};

/** Property: whenever owners are killed, or paused and back, an item that
 * always fails gets at most `max_attempts` failures and one for each run whose
 * owner never recorded its end, and it is given up after `max_attempts` of them
 * at the earliest. */
auto FailuresSurviveChangesOfOwner() -> bool {
  return rc::check("failures survive changes of owner", [] {
    auto submission = Submission("j", 1, 1);
    submission.items[0].id = batch_item_id("a");
    auto log = SubmissionRecords(submission, kRecordBytes);
    std::vector<item_owner> owners(2, item_owner(log));
    std::size_t failures = 0;
    std::size_t killed = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 12));
    for (const auto step : steps) {
      auto& owner = owners[static_cast<std::size_t>(step % 2)];
      if (step < 4) {
        owner.Start();
      } else if (step < 8) {
        failures += owner.Fail(batch_run_id(failures + 1)) ? 1 : 0;
      } else if (step < 10) {
        owner.Append(log, step == 8 || *rc::gen::arbitrary<bool>());
      } else if (step == 10 && *rc::gen::inRange(0, 4) == 0) {
        ++killed;
        owner = item_owner(log);
      } else {
        owner.ReadToEnd(log);
      }
      batch_partition replayed;
      ApplyAll(replayed, log);
      const auto* job = replayed.Find(batch_id("j"));
      RC_ASSERT(job->results.empty() || failures >= 3U);
      // Both hosts may be within a run when the last record comes.
      RC_ASSERT(failures <= 3U + 1U + killed);
    }
  });
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
  std::set<batch_run_id> recorded;
  for (std::uint64_t run = 1; run <= 2; ++run) {
    cr_assert(queue.StartNext(now, seconds(1)).has_value());
    cr_assert_not(queue.NoteFailure(Ref("a"), batch_run_id(run), now));
    recorded.insert(batch_run_id(run));
    queue.CountFailures(Ref("a"), recorded);
  }
  cr_assert(queue.StartNext(now, seconds(1)).has_value());
  cr_assert(queue.NoteFailure(Ref("a"), batch_run_id(3), now));
  queue.Requeue(Ref("a"), now);
  cr_assert(queue.Hopeless(now + seconds(59)).empty());
  cr_assert_eq(queue.Hopeless(now + seconds(60)).size(), 1);
}

// Guards against a failed item that runs again before its failure is in the
// log, so that a new owner does not know of it.
Test(batch, failed_item_waits_for_its_record) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("a"), Item(now, 10));
  queue.StartNext(now, seconds(1));
  queue.NoteFailure(Ref("a"), batch_run_id(7), now + seconds(2));
  queue.CountFailures(Ref("a"), {batch_run_id(6)});  // Of another owner.
  cr_assert_not(queue.StartNext(now + seconds(5), seconds(1)).has_value());
  queue.CountFailures(Ref("a"), {batch_run_id(6), batch_run_id(7)});
  cr_assert_not(queue.StartNext(now + seconds(1), seconds(1)).has_value());
  cr_assert(queue.StartNext(now + seconds(2), seconds(1)).has_value());
}

// Guards against items given up by a host that does not know their route.
Test(batch, failures_do_not_end_an_item_whose_route_is_unknown) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("a"), {});
  queue.CountFailures(Ref("a"), {batch_run_id(1), batch_run_id(2)});
  cr_assert(queue.Hopeless(now).empty());
  queue.Find(Ref("a"))->max_attempts = 2;
  cr_assert_eq(queue.Hopeless(now).size(), 1);
  cr_assert_not(queue.StartNext(now, seconds(1)).has_value());
}

// Guards against items that always fail and run more often than their route
// allows, or are given up too early, after changes of their owner.
Test(batch, failures_survive_changes_of_owner) {
  cr_assert(FailuresSurviveChangesOfOwner());
}

// Guards against records that another version cannot read.
Test(batch, records_of_other_versions_are_understood_or_skipped) {
  batch_partition partition;
  ApplyAll(partition, SubmissionRecords(Submission("j", 2, 1), kRecordBytes));
  const batch_item_id item("j-0");
  const std::string failure =
      R"({"kind":"failure","job":"j","item":"j-0","run":18446744073709551615})";
  cr_assert_eq(
      FailureRecord(batch_id("j"), item, batch_run_id(~std::uint64_t{0})),
      failure + "\n");
  partition.Apply(failure + "\n");
  const auto next = partition.next();
  const auto change =
      partition.Apply(R"({"kind":"unknown","job":"j","item":"j-1"})"
                      "\n");
  cr_assert_not(change.opened || change.ended || change.listed ||
                change.progressed || change.failed);
  cr_assert_eq(partition.next().value, next.value + 1);
  partition.Apply(
      R"({"kind":"progress","job":"j","item":"j-0","after":0,"last":1})"
      "\none");
  const auto* job = partition.Find(batch_id("j"));
  cr_assert_eq(job->FailedRunsOf(item).size(), 1);
  cr_assert_eq(job->ProgressOf(item).output, "one");
  partition.Apply(R"({"kind":"result","job":"j","item":"j-0","done":false})"
                  "\n");
  partition.Apply(failure + "\n");
  cr_assert_eq(job->results.size(), 1);
  cr_assert(job->failed_runs.empty());
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
