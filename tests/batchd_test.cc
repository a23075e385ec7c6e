/** Tests of dogwood_batchd's parts: streams, runs, windows. */
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

/** One event of a completion's stream. */
auto Event(const std::string& text) -> std::string {
  return R"(data: {"id":"x","model":"m","choices":[{"index":0,"text":")" +
         text + "\"}]}\n\n";
}

/** An ask for a run on kServer. */
auto Ask(const std::string& id, bool repeatable) -> run_ask {
  run_ask ask;
  ask.request_id = id;
  ask.server = kServer.value;
  ask.repeatable = repeatable;
  return ask;
}

/** A table with one server of two slots. */
auto MakeTable() -> std::unique_ptr<run_table> {
  auto table =
      std::make_unique<run_table>(any_admission_policy(headroom_policy{0}));
  table->WithAdmission(
      [](admission_table& a) { a.SetServer(kServer, 2, true); });
  return table;
}

}  // namespace

// Guards against text that is lost or doubled when a stream is cut within an
// event and resumed, and against a cut stream being taken for a whole one.
Test(batchd, a_cut_stream_goes_on_after_its_last_whole_event) {
  stream_answer answer;
  answer.Feed(Event("a ") + Event("b "));
  answer.Feed(Event("c ").substr(0, 20));
  cr_assert_eq(answer.tokens(), 2);
  answer.CutOff();
  cr_assert(!answer.IsWhole());
  answer.Feed(Event("c ") + "data: [DO");
  cr_assert(!answer.IsWhole());
  answer.Feed("NE]\n\n");
  cr_assert(answer.IsWhole() && !answer.IsMalformed());
  const auto body = boost::json::parse(answer.ToJson());
  cr_assert(body.at("choices").at(0).at("text").as_string() == "a b c ");
}

// Guards against answers that lose what a stream of text cannot hold.
Test(batchd, only_plain_completions_are_streamed) {
  cr_assert(StreamBody(R"({"model":"m","prompt":"p"})").has_value());
  cr_assert(!StreamBody(R"({"model":"m","prompt":"p","n":2})").has_value());
  cr_assert(!StreamBody(R"({"model":"m","tools":[]})").has_value());
  cr_assert(!StreamBody("[]").has_value());
}

// Guards against an ask that is repeated after a lost answer running its item
// again, and against a repeat starting it on a daemon that was restarted.
Test(batchd, a_repeated_ask_finds_its_run) {
  const auto table = MakeTable();
  const auto lease = clock::now() + std::chrono::seconds(10);
  bool is_new = false;
  auto ask = Ask("r1", true);
  const auto entry = table->Find(ask, lease, is_new);
  cr_assert(is_new);
  cr_assert(table->Find(ask, lease, is_new) == entry);
  cr_assert(!is_new);
  ask.is_first = false;
  ask.request_id = "r2";
  cr_assert(table->Find(ask, lease, is_new) == nullptr);
}

// Guards against a call that may not be repeated being cut for online requests,
// and against a slot that stays taken after its run was interrupted.
Test(batchd, online_requests_interrupt_repeatable_runs_only) {
  const auto table = MakeTable();
  const auto now = clock::now();
  const auto lease = now + std::chrono::seconds(10);
  bool is_new = false;
  const auto once = table->Find(Ask("r1", false), lease, is_new);
  const auto often = table->Find(Ask("r2", true), lease, is_new);
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

// Guards against a message that turns into another run or outcome on its way.
Test(batchd, asks_and_answers_round_trip) {
  auto ask = Ask("r1", false);
  ask.body = "{\"a\":\"\\n\"}";
  ask.is_first = false;
  const auto read = ParseRunAsk(ToJson(ask));
  cr_assert(read && read->body == ask.body && !read->repeatable &&
            !read->is_first);
  run_answer answer;
  answer.outcome = run_outcome::kNoCapacity;
  cr_assert(ParseRunAnswer(ToJson(answer))->outcome ==
            run_outcome::kNoCapacity);
  cr_assert(!ParseRunAnswer("{}").has_value());
  cr_assert(!ParseRunAnswer("{\"outcome\":99}").has_value());
}

// Guards against a server without room being asked by many items at once, and
// against room that is never found while long items run.
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
