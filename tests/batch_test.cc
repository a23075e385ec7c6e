/** Tests of batch jobs with results by position. */
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

/** A submission of `count` items with bodies of `bytes`. */
auto Submission(const std::string& name, std::size_t count, std::size_t bytes)
    -> batch_submission {
  batch_submission submission{.id = batch_id(name),
                              .workspace = workspace_id("w"),
                              .host = "h",
                              .path = "/p/",
                              .submitted = unix_ms(1000),
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
auto ApplyAll(batch_partition& projection,
              const std::vector<std::string>& records) -> void {
  for (const auto& record : records) {
    projection.Apply(record);
  }
}

/** A result of an item. */
auto Result(const std::string& item, const std::string& output)
    -> batch_result {
  return {batch_item_id(item), batch_item_outcome::kDone, output};
}

/** Property: whatever the order of duplicate and foreign records, each item is
 * listed once and a position never changes. */
auto PositionsNeverChange() -> bool {
  return rc::check("a result keeps its position and content", [] {
    batch_partition projection;
    const auto submitted = Submission("j", 6, 20);
    ApplyAll(projection, SubmissionRecords(submitted, kRecordBytes));
    std::vector<std::string> seen;
    const auto steps =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 12));
    int count = 0;
    for (const auto step : steps) {
      if (step == 10) {
        ApplyAll(projection, SubmissionRecords(submitted, kRecordBytes));
      } else if (step == 11) {
        projection.Apply("no record");
      } else {
        projection.Apply(ResultRecord(
            batch_id("j"), Result("j-" + std::to_string(step),
                                  "run " + std::to_string(count++))));
      }
      const auto* job = projection.Find(batch_id("j"));
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

/** Property: whatever two owners record of an item's runs, the text recorded
 * has every event once and in order. */
auto ProgressHasEveryEventOnce() -> bool {
  return rc::check("recorded progress has every event once", [] {
    batch_partition projection;
    ApplyAll(projection,
             SubmissionRecords(Submission("j", 1, 10), kRecordBytes));
    const batch_item_id item("j-0");
    // What each owner has run, and what it last read of the log.
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
          projection.Apply(
              ProgressRecord(batch_id("j"), item, known[owner], run[owner]));
        }
      } else {
        known[owner] = projection.Find(batch_id("j"))->ProgressOf(item);
        run[owner] = known[owner];
      }
      const auto& recorded = projection.Find(batch_id("j"))->ProgressOf(item);
      std::string wanted;
      for (std::uint64_t event = 1; event <= recorded.last_event; ++event) {
        wanted += std::to_string(event) + " ";
      }
      RC_ASSERT(recorded.output == wanted);
    }
    projection.Apply(ResultRecord(batch_id("j"), Result("j-0", "all")));
    projection.Apply(ProgressRecord(batch_id("j"), item, {}, {1, "1 "}));
    RC_ASSERT(projection.Find(batch_id("j"))->progress.empty());
  });
}

/** Property: bytes that are no record change nothing and do not crash. */
auto NoiseIsHarmless() -> bool {
  return rc::check("noise changes no job", [] {
    batch_partition projection;
    ApplyAll(projection,
             SubmissionRecords(Submission("j", 2, 10), kRecordBytes));
    projection.Apply(*rc::gen::string<std::string>());
    RC_ASSERT(projection.Jobs().size() == 1U);
    RC_ASSERT(projection.Find(batch_id("j"))->results.empty());
  });
}

/** A queued item that is due after `due` seconds. */
auto Item(time_point now, int due) -> queued_item {
  queued_item item;
  item.due = now + seconds(due);
  item.expires = now + seconds(60);
  item.max_attempts = 3;
  return item;
}

/** Name of an item. */
auto Ref(const std::string& item) -> batch_item_ref {
  return {partition_id(1), batch_id("j"), batch_item_id(item)};
}

}  // namespace

// Guards against a submission that comes out of the log otherwise than it went
// in, also when it takes several records.
Test(batch, submission_survives_the_log) {
  for (const std::size_t bytes : {0UL, 10UL, 9000UL}) {
    batch_partition projection;
    const auto submitted = Submission("j", 5, bytes);
    const auto records = SubmissionRecords(submitted, kRecordBytes);
    for (const auto& record : records) {
      cr_assert_leq(record.size(), kRecordBytes);
    }
    ApplyAll(projection, records);
    const auto* job = projection.Find(batch_id("j"));
    cr_assert_not_null(job);
    cr_assert_eq(job->submission.items.size(), 5);
    for (std::size_t i = 0; i < 5; ++i) {
      const auto& item = job->submission.items[i];
      cr_assert_eq(item.body, submitted.items[i].body);
      cr_assert_eq(item.headers.Get("X-Two"), "a\"b");
    }
  }
}

// Guards against a job that is accepted from a part of its submission.
Test(batch, submission_counts_only_when_it_is_whole) {
  batch_partition projection;
  auto records = SubmissionRecords(Submission("j", 4, 9000), kRecordBytes);
  cr_assert_gt(records.size(), 2);
  const auto last = records.back();
  records.pop_back();
  ApplyAll(projection, records);
  cr_assert_null(projection.Find(batch_id("j")));
  projection.Apply(last);
  cr_assert_not_null(projection.Find(batch_id("j")));
}

Test(batch, positions_never_change) {
  cr_assert(PositionsNeverChange());
}

// Guards against a text in which events are missing or stand twice after a
// change of owners.
Test(batch, progress_has_every_event_once) {
  cr_assert(ProgressHasEveryEventOnce());
}

Test(batch, noise_is_harmless) {
  cr_assert(NoiseIsHarmless());
}

// Guards against results lost by the end of a job, and against one that is
// forgotten while callers may read it.
Test(batch, ended_job_keeps_its_results_until_it_is_forgotten) {
  batch_partition projection;
  ApplyAll(projection, SubmissionRecords(Submission("j", 2, 1), kRecordBytes));
  ApplyAll(projection,
           SubmissionRecords(Submission("open", 2, 1), kRecordBytes));
  projection.Apply(ResultRecord(batch_id("j"), Result("j-0", "out")));
  projection.Apply(EndRecord(batch_id("j")));
  cr_assert(projection.Find(batch_id("j"))->IsClosed());
  cr_assert_eq(projection.Find(batch_id("j"))->results.size(), 1);
  projection.Forget(unix_ms(1000));
  cr_assert_not_null(projection.Find(batch_id("j")));
  projection.Forget(unix_ms(1001));
  cr_assert_null(projection.Find(batch_id("j")));
  cr_assert_not_null(projection.Find(batch_id("open")));
}

// Guards against answers without a result although one exists, and against
// answers beyond their size.
Test(batch, results_come_in_bounded_answers) {
  batch_partition projection;
  ApplyAll(projection, SubmissionRecords(Submission("j", 3, 1), kRecordBytes));
  for (int i = 0; i < 3; ++i) {
    projection.Apply(
        ResultRecord(batch_id("j"),
                     Result("j-" + std::to_string(i), std::string(100, 'x'))));
  }
  const auto* job = projection.Find(batch_id("j"));
  cr_assert_eq(batch_partition::Results(*job, 0, 250).size(), 2);
  cr_assert_eq(batch_partition::Results(*job, 0, 10).size(), 1);
  cr_assert_eq(batch_partition::Results(*job, 2, 250).size(), 1);
  cr_assert_eq(batch_partition::Results(*job, 3, 250).size(), 0);
  cr_assert_eq(batch_partition::Results(*job, 9, 250).size(), 0);
}

// Load: more items than can meet their objective. Guards against an overload
// in which items that are late already make all others late.
Test(batch, items_that_can_still_be_on_time_come_first) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("late"), Item(now, 2));
  queue.Add(Ref("soon"), Item(now, 6));
  queue.Add(Ref("later"), Item(now, 9));
  const auto run = seconds(4);
  cr_assert_eq(queue.Take(now, run)->item.value, "soon");
  cr_assert_eq(queue.Take(now, run)->item.value, "later");
  cr_assert_eq(queue.Take(now, run)->item.value, "late");
  cr_assert_not(queue.Take(now, run).has_value());
}

// Guards against an item that is handed out twice, or not again after a pause.
Test(batch, returned_item_waits_for_its_pause) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("a"), Item(now, 10));
  cr_assert(queue.Take(now, seconds(1)).has_value());
  cr_assert_not(queue.Take(now, seconds(1)).has_value());
  queue.Find(Ref("a"))->progress.last_event = 7;
  queue.Requeue(Ref("a"), now + seconds(2));
  cr_assert_not(queue.Take(now + seconds(1), seconds(1)).has_value());
  cr_assert(queue.Take(now + seconds(2), seconds(1)).has_value());
  cr_assert_eq(queue.Find(Ref("a"))->progress.last_event, 7);
}

// Guards against an item that is given up too early, or sent without end.
Test(batch, item_is_given_up_after_its_attempts) {
  const auto now = time_point() + seconds(1000);
  batch_queue queue;
  queue.Add(Ref("a"), Item(now, 10));
  cr_assert_not(queue.CountFailure(Ref("a")));
  cr_assert_not(queue.CountFailure(Ref("a")));
  cr_assert(queue.CountFailure(Ref("a")));
  cr_assert(queue.Expired(now + seconds(59)).empty());
  cr_assert_eq(queue.Expired(now + seconds(60)).size(), 1);
}

}  // namespace dogwood::testing
