/** Tests of the parts of dogwood_controld that need no network. */
#include <string>
#include <vector>

#include "src/controld_append.h"
#include "src/controld_metric.h"
#include "src/controld_setting.h"
#include "src/controld_store.h"
#include "src/core.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

using dogwood::log_offset;

namespace {

/** A settings file with every required setting and `more`. */
auto SettingsWith(const std::string& more) -> std::string {
  return R"({"host":"a","data_centre":"d","region":"r","log_region":"r",
    "platform_address":"127.0.0.1:1","operator_address":"127.0.0.1:2",
    "control_link":"127.0.0.1:3","entry_address":"127.0.0.1:4",
    "entry_link":"127.0.0.1:5","batch_link":"127.0.0.1:6",)" +
         more + "}";
}

/** Message of the refusal of these settings, empty if they are accepted. */
auto RefusalOf(const std::string& more) -> std::string {
  const auto values = dogwood::ToOutcome([&] {
    return dogwood::ParseSettings(dogwood::ControldSettingTable(),
                                  SettingsWith(more), "file.json");
  });
  if (!values) {
    return values.error().message;
  }
  const auto settings = dogwood::ToControldSettings(values.value());
  return settings ? "" : settings.error().message;
}

/** Whether the refusal names the setting. */
auto Refuses(const std::string& more, const std::string& name) -> bool {
  return RefusalOf(more).find(name) != std::string::npos;
}

}  // namespace

// Guards against a gap or a repeated record being served to other hosts.
Test(control, store_keeps_records_without_gap) {
  dogwood::record_store store(3);
  store.Reset(log_offset(10));
  store.Add(log_offset(10), {"a", "b"});
  store.Add(log_offset(11), {"b", "c"});
  store.Add(log_offset(15), {"x"});
  cr_assert_eq(store.Next().value, 13);
  const auto run = store.Read(log_offset(11), 10, 1000);
  cr_assert(run.has_value());
  cr_assert(run->records == std::vector<std::string>({"b", "c"}));
  cr_assert(store.Read(log_offset(13), 10, 1000)->records.empty());
}

// Guards against memory that grows with the log, and against records being
// passed off as older ones once those are gone.
Test(control, store_is_bounded) {
  dogwood::record_store store(3);
  store.Add(log_offset(0), {"a", "b", "c", "d", "e"});
  cr_assert_eq(store.First().value, 2);
  cr_assert_not(store.Read(log_offset(1), 10, 1000).has_value());
  cr_assert_eq(store.Read(log_offset(2), 2, 1000)->records.size(), 2);
  cr_assert_eq(store.Read(log_offset(2), 10, 1)->records.size(), 1);
}

// Guards against the second copy of a record that was appended again giving
// the verdict "duplicate" for a change that took effect.
Test(control, first_copy_of_a_record_gives_its_verdict) {
  dogwood::seen_table seen;
  const auto now = dogwood::clock::now();
  seen.Note("r", {log_offset(1), dogwood::apply_status::kApplied, now});
  cr_assert_not(seen.Find("r").has_value());
  seen.Watch("r");
  seen.Note("r", {log_offset(4), dogwood::apply_status::kApplied, now});
  seen.Note("r", {log_offset(7), dogwood::apply_status::kDuplicate, now});
  cr_assert_eq(seen.Find("r")->offset.value, 4);
  cr_assert(seen.Find("r")->verdict == dogwood::apply_status::kApplied);
  seen.Forget("r");
  cr_assert_not(seen.IsWatched("r"));
}

// Guards against a daemon that starts without a secret or with an operator
// whose token can never match.
Test(control, bad_settings_are_refused_by_name) {
  const std::string hash(64, 'a');
  cr_assert_eq(
      RefusalOf(R"("secret":"s","operator_tokens":["ann:)" + hash + R"("])"),
      "");
  cr_assert(Refuses(R"("worker_threads":1)", "secret"));
  cr_assert(Refuses(R"("secret_file":"/nowhere/at/all")", "secret_file"));
  cr_assert(Refuses(R"("secret":"s","operator_tokens":["ann:abc"])", "tokens"));
  cr_assert(Refuses(R"("secret":"s","operator_tokens":[":)" + hash + R"("])",
                    "tokens"));
  cr_assert(Refuses(R"("secret":"s","freshness_limit_ms":1)", "freshness"));
}

// Guards against a host declared lost while its daemons may still serve.
Test(control, losses_wait_at_least_for_the_freshness_limit) {
  const auto values = dogwood::ToOutcome([] {
    return dogwood::ParseSettings(
        dogwood::ControldSettingTable(),
        SettingsWith(R"("secret":"s","loss_after_ms":500)"), "file.json");
  });
  const auto settings = dogwood::ToControldSettings(values.value());
  cr_assert(settings->loss_after >= std::chrono::milliseconds(5550));
}

// Guards against buckets that are not cumulative, which Prometheus rejects.
Test(control, histogram_prints_cumulative_buckets) {
  dogwood::time_histogram histogram;
  histogram.Observe(std::chrono::milliseconds(3));
  histogram.Observe(std::chrono::milliseconds(30));
  histogram.Observe(std::chrono::hours(1));
  const auto text = histogram.Print("x", "Help.");
  cr_assert(text.find("x_bucket{le=\"0.002\"} 0\n") != std::string::npos);
  cr_assert(text.find("x_bucket{le=\"0.005\"} 1\n") != std::string::npos);
  cr_assert(text.find("x_bucket{le=\"60\"} 2\n") != std::string::npos);
  cr_assert(text.find("x_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  cr_assert(text.find("x_count 3\n") != std::string::npos);
}
