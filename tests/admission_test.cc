/** Property test of batch admission. */
#include <rapidcheck.h>
#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "src/admission.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using namespace dogwood;
using std::chrono::milliseconds;

const server_id kServer("s");

/** What the test knows of one entry host. */
struct known_host {
  unsigned in_flight = 0;
  time_point deadline;
};

/** Runs random steps under the headroom policy and checks each dispatch and
 * each cancel against counts that the test keeps itself. */
auto CheckHeadroom() -> void {
  const auto slots = *rc::gen::inRange(1U, 12U);
  const auto reserve = *rc::gen::inRange(0U, 3U);
  admission_table table(headroom_policy{reserve});
  table.SetServer(kServer, slots, true);
  std::map<unsigned, known_host> hosts;
  std::set<run_id> runs;
  std::set<run_id> cancelling;
  time_point now{};
  const auto steps = *rc::gen::container<std::vector<unsigned>>(
      200, rc::gen::inRange(0U, 10000U));
  for (const auto dice : steps) {
    now += milliseconds(1);
    const auto host = dice / 10 % 3;
    const host_id name("h" + std::to_string(host));
    const auto count = dice / 30 % 5;
    switch (dice % 10) {
      case 0:
      case 1:
        hosts[host] = {count, now + milliseconds(20)};
        table.RecordOnlineCount(name, kServer, count, hosts[host].deadline);
        break;
      case 2:
        hosts.erase(host);
        table.DropHost(name);
        break;
      case 3:
      case 4:
        if (!runs.empty()) {
          cancelling.erase(*runs.begin());
          table.End(kServer, *runs.begin());
          runs.erase(runs.begin());
        }
        break;
      default:
        break;
    }
    unsigned online = 0;
    for (const auto& [id, known] : hosts) {
      online += now < known.deadline ? known.in_flight : 0;
    }
    const auto taken = reserve + online;
    const auto allowed = slots > taken ? slots - taken : 0;
    const auto cancelled = table.DrainCancellations(kServer, now);
    // Newest first, and no more and no fewer than the excess.
    for (const auto run : cancelled) {
      std::set<run_id> active;
      std::set_difference(runs.begin(), runs.end(), cancelling.begin(),
                          cancelling.end(),
                          std::inserter(active, active.begin()));
      RC_ASSERT(run == *active.rbegin());
      cancelling.insert(run);
    }
    const auto active = runs.size() - cancelling.size();
    RC_ASSERT(active <= allowed);
    RC_ASSERT(cancelled.empty() || active == allowed);
    if (dice % 10 >= 5) {
      const auto run = table.Begin(kServer, now);
      RC_ASSERT(run.has_value() == (runs.size() < allowed));
      if (run) {
        runs.insert(*run);
      }
    }
  }
}

}  // namespace

// Guards against batch in slots that online requests need, and against batch
// that stays after online requests came.
Test(admission, headroom_never_exceeds_what_online_leaves) {
  cr_assert(rc::check("headroom", CheckHeadroom));
}

// Guards against batch beside an online request under idle_only, and against
// the baseline being anything but the slots.
Test(admission, idle_only_and_mixed) {
  const time_point now{};
  const host_id host("h");
  admission_table idle{any_admission_policy(idle_only_policy())};
  admission_table mixed{any_admission_policy(mixed_policy())};
  for (auto* table : {&idle, &mixed}) {
    table->SetServer(kServer, 2, true);
    cr_assert_eq(table->Headroom(kServer, now), 2);
    cr_assert(table->Begin(kServer, now).has_value());
    table->RecordOnlineCount(host, kServer, 1, now + milliseconds(5));
  }
  cr_assert_eq(idle.DrainCancellations(kServer, now).size(), 1);
  cr_assert_eq(idle.Headroom(kServer, now), 0);
  cr_assert_eq(mixed.DrainCancellations(kServer, now).size(), 0);
  cr_assert_eq(mixed.Headroom(kServer, now), 1);
}

// Guards against load that only the server knows of being ignored, and
// against batch of our own being taken for such load.
Test(admission, reports_count_only_what_is_not_known) {
  const time_point now{};
  admission_table table{any_admission_policy(headroom_policy{0})};
  table.SetServer(kServer, 4, true);
  const auto run = table.Begin(kServer, now);
  table.RecordLoadReport(kServer, load_report{1, 0, 4}, now);
  cr_assert_eq(table.Headroom(kServer, now), 3);
  table.RecordLoadReport(kServer, load_report{3, 0, 4}, now);
  cr_assert_eq(table.Headroom(kServer, now), 1);
  table.End(kServer, *run);
  cr_assert_eq(table.Headroom(kServer, now), 2);
}
