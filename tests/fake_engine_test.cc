/** Tests of the batch model behind fake_engine. */
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "tests/fakes/engine_model.h"
#include "tests/fakes/engine_state.h"

// Included last: macros of Criterion break Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using dogwood::fakes::batch_engine;
using dogwood::fakes::engine_costs;
using dogwood::fakes::sequence;
using dogwood::fakes::sequence_ptr;

/** Creates a sequence that generates `tokens` tokens. */
auto MakeSequence(std::uint64_t tokens) -> sequence_ptr {
  auto seq = std::make_shared<sequence>();
  seq->prompt = dogwood::fakes::SplitWords("a prompt of five words");
  seq->max_tokens = tokens;
  return seq;
}

/** Runs steps until no sequence is running. Checks the slot limit and that
 * sequences get their first token in the order of submission. */
auto RunAll(batch_engine& engine,
            const std::vector<sequence_ptr>& all,
            std::size_t slots) -> void {
  while (engine.BeginStep() > 0) {
    RC_ASSERT(engine.Running() <= slots);
    engine.EndStep();
    const auto first_idle = std::find_if(
        all.begin(), all.end(), [](const auto& s) { return s->produced == 0; });
    RC_ASSERT(std::all_of(first_idle, all.end(),
                          [](const auto& s) { return s->produced == 0; }));
  }
}

}  // namespace

// Guards against a stand-in that exceeds its slots, reorders sequences or loses
// them, which would invalidate every test that uses it.
Test(fake_engine, runs_in_order_within_its_slots) {
  rc::check([] {
    const auto slots = *rc::gen::inRange(1U, 6U);
    const auto lengths = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 20));
    batch_engine engine(engine_costs{.slots = slots});
    std::vector<sequence_ptr> all;
    for (const auto tokens : lengths) {
      all.push_back(MakeSequence(tokens));
      engine.Submit(all.back());
    }
    RunAll(engine, all, slots);
    for (const auto& s : all) {
      RC_ASSERT(s->produced == s->max_tokens);
    }
  });
}

// Guards against a cancelled sequence that keeps occupying its slot.
Test(fake_engine, cancelled_sequences_free_their_slots) {
  batch_engine engine(engine_costs{.slots = 1});
  const auto first = MakeSequence(1000);
  const auto second = MakeSequence(2);
  engine.Submit(first);
  engine.Submit(second);
  engine.BeginStep();
  engine.EndStep();
  engine.Cancel(first);
  engine.BeginStep();
  engine.EndStep();
  cr_assert_eq(first->produced, 1);
  cr_assert_eq(second->produced, 1);
}

// Guards against a prefix cache without a bound, and against cached prefixes
// that cost as much as new ones.
Test(fake_engine, prefix_cache_is_bounded_and_saves_prefill) {
  batch_engine engine(engine_costs{.slots = 1, .cached_prefixes = 2});
  std::string text;
  for (int i = 0; i < 64; ++i) {
    text += "word" + std::to_string(i) + " ";
  }
  double times[2] = {0, 0};
  for (auto& time : times) {
    auto s = MakeSequence(1);
    s->prompt = dogwood::fakes::SplitWords(text.substr(0, 210));
    engine.Submit(s);
    time = engine.BeginStep();
    engine.EndStep();
  }
  cr_assert(times[1] < times[0]);
  cr_assert(engine.Cache().Size() <= 2);
}

// Guards against orders with old fencing numbers that are accepted although
// fencing is checked.
Test(fake_engine, old_fencing_numbers_are_refused_if_checked) {
  dogwood::fakes::order_log orders;
  std::set<std::string> models;
  const boost::json::object newer{{"fencing", 5}, {"order", "load_model"}};
  const boost::json::object older{{"fencing", 4}, {"order", "load_model"}};
  cr_assert(orders.Apply(newer, true, models).has_value());
  cr_assert(!orders.Apply(older, true, models).has_value());
  cr_assert(orders.Apply(older, false, models).has_value());
}
