/** Unit tests of dogwood_batchd: streams, runs and windows. */
#include <boost/json.hpp>
#include <chrono>
#include <string>

#include "src/batchd_run.h"
#include "src/batchd_stream.h"
#include "src/batchd_table.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using namespace dogwood;

const server_id kServer("s");

/** Returns one event of a completion's stream. */
auto Event(const std::string& text) -> std::string {
  return R"(data: {"id":"x","model":"m","choices":[{"index":0,"text":")" +
         text + "\"}]}\n\n";
}

/** Returns a request for a run on kServer. */
auto MakeRequest(const std::string& id, bool repeatable) -> run_request {
  run_request request;
  request.request_id = id;
  request.server = kServer.value;
  request.repeatable = repeatable;
  return request;
}

/** Returns a table with one server of two slots. */
auto MakeTable() -> std::unique_ptr<run_table> {
  auto table =
      std::make_unique<run_table>(any_admission_policy(headroom_policy{0}));
  table->WithAdmission(
      [](admission_table& a) { a.SetServer(kServer, 2, true); });
  return table;
}

}  // namespace

// Guards against text that is lost or duplicated when a stream is interrupted
// within an event and resumed, and against an interrupted stream being treated
// as complete.
Test(batchd, an_interrupted_stream_resumes_after_its_last_complete_event) {
  stream_assembler answer;
  answer.Feed(Event("a ") + Event("b "));
  answer.Feed(Event("c ").substr(0, 20));
  cr_assert_eq(answer.tokens(), 2);
  answer.DiscardPartialEvent();
  cr_assert(!answer.IsComplete());
  answer.Feed(Event("c ") + "data: [DO");
  cr_assert(!answer.IsComplete());
  answer.Feed("NE]\n\n");
  cr_assert(answer.IsComplete() && !answer.IsMalformed());
  const auto body = boost::json::parse(answer.ToJson());
  cr_assert(body.at("choices").at(0).at("text").as_string() == "a b c ");
}

// Guards against loss of answer fields that a stream of text does not carry.
Test(batchd, only_plain_completions_are_streamed) {
  cr_assert(ToStreamingBody(R"({"model":"m","prompt":"p"})").has_value());
  cr_assert(
      !ToStreamingBody(R"({"model":"m","prompt":"p","n":2})").has_value());
  cr_assert(!ToStreamingBody(R"({"model":"m","tools":[]})").has_value());
  cr_assert(!ToStreamingBody("[]").has_value());
}

// Guards against an item that runs twice because its request is repeated after
// a lost answer, also when the daemon has restarted before the repeat.
Test(batchd, a_repeated_request_finds_its_run) {
  const auto table = MakeTable();
  const auto lease = clock::now() + std::chrono::seconds(10);
  bool is_new = false;
  auto request = MakeRequest("r1", true);
  const auto entry = table->Find(request, lease, is_new);
  cr_assert(is_new);
  cr_assert(table->Find(request, lease, is_new) == entry);
  cr_assert(!is_new);
  request.is_first = false;
  request.request_id = "r2";
  cr_assert(table->Find(request, lease, is_new) == nullptr);
}

// Guards against interrupting a request that may not be repeated for online
// requests, and against a slot that is not released after an interruption.
Test(batchd, online_requests_interrupt_repeatable_runs_only) {
  const auto table = MakeTable();
  const auto now = clock::now();
  const auto lease = now + std::chrono::seconds(10);
  bool is_new = false;
  const auto once = table->Find(MakeRequest("r1", false), lease, is_new);
  const auto often = table->Find(MakeRequest("r2", true), lease, is_new);
  cr_assert(table->Admit(often, now));
  cr_assert(table->Admit(once, now));
  table->WithAdmission([&](admission_table& a) {
    a.RecordOnlineCount(host_id("h"), kServer, 2, lease);
  });
  cr_assert_eq(table->Preempt(kServer, now), 1);
  cr_assert(table->IsInterrupted(often));
  cr_assert(!table->IsAborted(often));
  cr_assert(!table->IsInterrupted(once));
  table->Release(often);
  cr_assert(!table->IsInterrupted(often));
  cr_assert(!table->Admit(often, now));
  table->Finish(once, run_answer());
  table->WithAdmission([](admission_table& a) { a.DropHost(host_id("h")); });
  cr_assert(table->Admit(often, now));
}

// Guards against a request or outcome that is changed by encoding and parsing.
Test(batchd, requests_and_answers_round_trip) {
  auto request = MakeRequest("r1", false);
  request.body = "{\"a\":\"\\n\"}";
  request.is_first = false;
  const auto read = ParseRunRequest(ToJson(request));
  cr_assert(read && read->body == request.body && !read->repeatable &&
            !read->is_first);
  run_answer answer;
  answer.outcome = run_outcome::kNoCapacity;
  cr_assert(ParseRunAnswer(ToJson(answer))->outcome ==
            run_outcome::kNoCapacity);
  cr_assert(!ParseRunAnswer("{}").has_value());
  cr_assert(!ParseRunAnswer("{\"outcome\":99}").has_value());
}

// Guards against many items being sent at once to a server without free slots,
// and against free slots that are not found while long items run.
Test(batchd, windows_shrink_without_room_grow_and_probe) {
  window_table windows;
  const auto now = clock::now();
  const auto later = now + std::chrono::seconds(1);
  cr_assert(windows.Begin(kServer, 3, now));
  windows.Grow(kServer, 3);
  cr_assert(windows.Begin(kServer, 3, now));
  windows.End(kServer, false, 3, now);
  cr_assert(!windows.Begin(kServer, 3, now));
  cr_assert(windows.Begin(kServer, 3, later));
  cr_assert(!windows.Begin(kServer, 3, later));
  windows.End(kServer, true, 3, later);
  cr_assert(windows.Begin(kServer, 3, later));
  cr_assert(!windows.Begin(kServer, 2, later + std::chrono::seconds(1)));
}
