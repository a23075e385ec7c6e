/** Tests of the table of evacuated data centres. */
#include "src/deployment.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

/** Returns a set of data centres. */
auto Set(std::initializer_list<const char*> names) -> data_centre_set {
  data_centre_set all;
  for (const auto* name : names) {
    all.insert(data_centre_id(name));
  }
  return all;
}

/** Returns the time `seconds` after the epoch. */
auto At(int seconds) -> time_point {
  return time_point(std::chrono::seconds(seconds));
}

}  // namespace

// Guards against changes that are missed when several data centres change at
// once, and against an evacuation that remains after its withdrawal.
Test(deployment_evacuation, changes_are_told) {
  evacuation_table table;
  const auto first = table.Replace(Set({"a", "b"}), At(1));
  cr_assert_eq(first.begun.size(), 2);
  cr_assert(first.ended.empty());
  const auto second = table.Replace(Set({"b", "c"}), At(2));
  cr_assert_eq(second.begun.size(), 1);
  cr_assert_eq(second.begun.front().value, "c");
  cr_assert_eq(second.ended.size(), 1);
  cr_assert_eq(second.ended.front().value, "a");
  cr_assert_not(table.Contains(data_centre_id("a")));
  cr_assert(table.Contains(data_centre_id("b")));
  cr_assert(table.All() == Set({"b", "c"}));
  table.Replace({}, At(3));
  cr_assert(table.All().empty());
}

// A snapshot or another host tells the whole set again and again. Guards
// against a time that moves on with each of them.
Test(deployment_evacuation, repeated_evacuations_keep_their_time) {
  evacuation_table table;
  table.Replace(Set({"a"}), At(1));
  table.Replace(Set({"a", "b"}), At(2));
  cr_assert(table.since().at(data_centre_id("a")) == At(1));
  cr_assert(table.since().at(data_centre_id("b")) == At(2));
  table.Replace(Set({"b"}), At(3));
  table.Replace(Set({"a", "b"}), At(4));
  cr_assert(table.since().at(data_centre_id("a")) == At(4));
}

// Guards against queries of other hosts that end although nothing has changed,
// and against a changed set that does not end them.
Test(deployment_evacuation, only_changes_have_a_revision) {
  evacuation_table table;
  cr_assert(table.Replace({}, At(1)).IsEmpty());
  cr_assert_eq(table.revision(), 0);
  table.Replace(Set({"a"}), At(2));
  cr_assert_eq(table.revision(), 1);
  cr_assert(table.Replace(Set({"a"}), At(3)).IsEmpty());
  cr_assert_eq(table.revision(), 1);
  table.Replace(Set({"b"}), At(4));
  cr_assert_eq(table.revision(), 2);
}

}  // namespace dogwood::testing
