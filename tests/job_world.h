/** Owners of one partition that crash, pause and race over a log that loses
 * answers, delays appends and forgets old records. */
#ifndef TESTS_JOB_WORLD_H_
#define TESTS_JOB_WORLD_H_

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "src/job.h"

namespace dogwood::job_world {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 3;
constexpr std::array<const char*, 3> kTargets{"model/a", "model/b", "route/s"};

/** Stops the test with the rule that was broken. */
inline auto Require(bool condition, const std::string& rule) -> void {
  if (!condition) {
    throw std::runtime_error(rule);
  }
}

inline auto Policy() -> owner_policy {
  owner_policy policy;
  policy.max_attempts = 3;
  policy.initial_backoff = milliseconds(200);
  policy.max_backoff = milliseconds(1000);
  policy.result_retention = milliseconds(100000);
  policy.rewrite_after = milliseconds(5000);
  policy.append_bytes = 3000;
  return policy;
}

/** Items of a route may not be repeated. */
inline auto MayRepeat(const item_request& item) -> bool {
  return !item.target.starts_with("route/");
}

/** A host: its owner logic and what it has outside. */
struct sim_host {
  std::unique_ptr<partition_owner> owner;
  std::uint64_t start = 0;
  int paused_steps = 0;
  std::vector<std::string> in_flight;  ///< Records of the append in flight.
  /** End of the log when an append first had no answer; it is sent again. */
  std::uint64_t resends_from = UINT64_MAX;
};

/** An item on a server. */
struct sim_run {
  std::size_t host;
  std::uint64_t start;
  item_run run;
};

/** Everything, with the rules that are checked at each step. */
class world {
 public:
  explicit world(std::uint64_t seed) : random_(seed) {
    for (std::size_t h = 0; h < kHosts; ++h) {
      Restart(h);
    }
  }

  /** One random step. */
  auto Step() -> void {
    now_ += milliseconds(Below(300));
    // The last owner is the busiest, so that rewriting gets to its end.
    const auto h = Below(2) == 0 ? last_owner_ : Below(kHosts);
    auto& host = hosts_[h];
    if (host.paused_steps > 0) {
      --host.paused_steps;
      return;
    }
    switch (Below(100)) {
      case 0:
        host.paused_steps = Below(3) == 0 ? static_cast<int>(Below(200)) : 0;
        return;
      case 1:
        return Below(12) == 0 ? Restart(h) : void();
      case 2:
        return Below(4) == 0 ? Takeover(h) : void();
      case 3:
        return CompareReplay();
      case 4:
        return Retain();
      case 5:
      case 6:
        return Cancel(h);
      case 7:
      case 8:
      case 9:
      case 10:
        return Submit(h);
      case 11:
      case 12:
        return DeliverLate();
      case 13:
        return WriteSecondResult();
      default:
        break;
    }
    switch (Below(4)) {
      case 0:
        return Append(h);
      case 1:
        return Read(h, 1 + Below(30));
      case 2:
        return Dispatch(h);
      default:
        return EndRun();
    }
  }

  /** Lets one owner finish everything and checks what callers can read. */
  auto Finish() -> void {
    late_.clear();
    running_.clear();
    finishing_ = true;
    Restart(0);
    hosts_[0].paused_steps = 0;
    Takeover(0);
    for (int i = 0; i < 200000 && !AllEnded(); ++i) {
      now_ += milliseconds(20);
      Append(0);
      Read(0, 100);
      Dispatch(0);
      EndRun();
    }
    Require(AllEnded(), "an accepted item has no result");
    for (const auto& [id, job] : reference_.Jobs()) {
      CheckResults(job);
    }
    CompareReplay();
  }

  auto records() const -> std::size_t { return log_.size(); }
  auto accepted() const -> std::size_t { return accepted_; }
  auto dropped() const -> std::size_t { return dropped_; }
  auto bases() const -> std::size_t { return bases_; }
  auto first() const -> std::uint64_t { return first_; }

 private:
  auto Below(std::uint64_t n) -> std::uint64_t { return random_() % n; }
  auto Unix() const -> unix_ms {
    return unix_ms(1000000 + static_cast<std::uint64_t>(
                                 std::chrono::duration_cast<milliseconds>(
                                     now_.time_since_epoch())
                                     .count()));
  }

  /** A crash: items in flight and queued records are lost. */
  auto Restart(std::size_t h) -> void {
    auto& host = hosts_[h];
    if (!host.in_flight.empty() && Below(2) == 0) {
      late_.push_back(std::move(host.in_flight));
    }
    host.in_flight.clear();
    host.resends_from = UINT64_MAX;
    host.start += 1;
    host.owner = std::make_unique<partition_owner>(
        partition_id(0), host_id("h" + std::to_string(h)),
        incarnation(host.start), Policy());
    std::erase_if(running_, [&](const auto& r) { return r.host == h; });
  }

  auto Takeover(std::size_t h) -> void {
    // A healthy owner does not claim again, except rarely by mistake.
    if (hosts_[h].owner->stage() == owner_stage::kOwning && Below(8) != 0) {
      return;
    }
    last_owner_ = h;
    hosts_[h].owner->Claim(log_offset(first_), Unix());
    std::erase_if(running_, [&](const auto& r) { return r.host == h; });
  }

  /** Puts records into the log and checks the rules on the whole fold. */
  auto AddToLog(const std::vector<std::string>& records) -> void {
    for (const auto& record : records) {
      const auto before = reference_.Jobs().size();
      const log_offset offset(log_.size());
      log_.push_back(record);
      const auto report = reference_.Apply(offset, record);
      const auto& w = report.writer;
      const auto sent = std::tuple(w.host, w.start, w.seq);
      const auto original = originals_.emplace(sent, offset.value);
      if (!original.second) {
        resent_.emplace_back(original.first->second, offset.value);
      }
      if (report.verdict != apply_status::kApplied) {
        continue;
      }
      CheckRecord(report, before);
    }
  }

  auto CheckRecord(const fold_report& report, std::size_t before) -> void {
    const auto after = reference_.Jobs().size();
    switch (report.kind) {
      case job_record_kind::kCommit:
        ++accepted_;
        break;
      case job_record_kind::kDrop:
        ++dropped_;
        Require(ended_.contains(*report.job) || after == before,
                "a job was dropped before it ended");
        break;
      case job_record_kind::kBase:
        ++bases_;
        Require(after == before, "a base record removed a job");
        break;
      default:
        Require(after == before, "a job appeared or vanished");
        break;
    }
    if (report.job) {
      CheckEnded(*report.job);
    }
    for (const auto& ref : report.items) {
      CheckEnded(ref.job);
      CheckItem(ref);
    }
  }

  /** What callers read of a job that has ended never changes. */
  auto CheckEnded(log_offset id) -> void {
    const auto* job = reference_.Find(id);
    if (job != nullptr && job->HasEnded()) {
      const auto text = job_partition::Results(*job);
      Require(ended_.emplace(id, text).first->second == text,
              "the results of an ended job changed");
    }
  }

  /** Results never change. */
  auto CheckItem(const item_ref& ref) -> void {
    const auto* job = reference_.Find(ref.job);
    if (job == nullptr ||
        job->items[ref.index].state != item_state::kCompleted) {
      return;
    }
    const auto& line = job->items[ref.index].text;
    const auto added = results_.emplace(ref, line);
    Require(added.first->second == line, "a result changed");
  }

  /** Begins or ends an append, with every outcome a network can give. */
  auto Append(std::size_t h) -> void {
    auto& host = hosts_[h];
    if (host.in_flight.empty()) {
      host.in_flight = host.owner->StartAppend(Unix());
      return;
    }
    auto records = std::exchange(host.in_flight, {});
    const auto end = static_cast<std::uint64_t>(log_.size());
    host.resends_from = std::min(host.resends_from, end);
    switch (finishing_ ? 9 : Below(10)) {
      case 0:
        host.owner->HandleAppendOutcome(append_outcome::kNotAppended);
        return;
      case 1:
        host.owner->HandleAppendOutcome(append_outcome::kUnknown);
        return;
      case 2:
        host.owner->HandleAppendOutcome(append_outcome::kUnknown);
        late_.push_back(std::move(records));
        return;
      case 3:
        AddToLog(records);
        host.owner->HandleAppendOutcome(append_outcome::kUnknown);
        return;
      default:
        AddToLog(records);
        host.owner->HandleAppendOutcome(append_outcome::kAppended);
        host.resends_from = UINT64_MAX;
        return;
    }
  }

  /** An append that had no answer takes effect now, or never. */
  auto DeliverLate() -> void {
    if (late_.empty()) {
      return;
    }
    const auto records = std::move(late_.front());
    late_.erase(late_.begin());
    if (Below(4) != 0) {
      AddToLog(records);
    }
  }

  /** A second result under the current epoch, as a host with a fault would
   * write it, for an item that is completed or cancelled. */
  auto WriteSecondResult() -> void {
    if (results_.empty() || !reference_.current_epoch()) {
      return;
    }
    const auto at = std::next(
        results_.begin(), static_cast<std::ptrdiff_t>(Below(results_.size())));
    record_writer writer;
    writer.host = host_id("faulty");
    writer.seq = ++faulty_seq_;
    const std::vector<item_result> second{
        item_result{at->first, true, R"({"custom_id":"second"})"}};
    AddToLog({FormatRecord(
        job_record_kind::kDone, writer,
        DoneFields(*reference_.current_epoch(), Unix(), unix_ms(0), second))});
  }

  auto Read(std::size_t h, std::size_t count) -> void {
    auto& owner = *hosts_[h].owner;
    while (count-- > 0 && owner.stage() != owner_stage::kIdle &&
           owner.projection().next_offset().value < log_.size()) {
      const auto offset = owner.projection().next_offset();
      if (offset.value < first_) {
        owner.Resign();
        break;
      }
      owner.Apply(offset, log_[offset.value]);
    }
    for (const auto& item : owner.TakeAborts()) {
      std::erase_if(running_, [&](const auto& r) {
        return r.host == h && r.run.item == item;
      });
    }
  }

  auto Submit(std::size_t h) -> void {
    auto& owner = *hosts_[h].owner;
    if (owner.stage() == owner_stage::kIdle) {
      return;
    }
    job_submission submission;
    submission.workspace = workspace_id("w" + std::to_string(Below(3)));
    submission.key = "k" + std::to_string(Below(8));
    const auto variant = Below(5) == 0 ? 1 : 0;
    submission.digest = "d" + std::to_string(variant);
    const auto count = 1 + Below(6);
    for (std::uint64_t i = 0; i < count; ++i) {
      item_request item;
      item.custom_id = "c" + std::to_string(i);
      item.method = "POST";
      item.target = kTargets[Below(kTargets.size())];
      item.body = std::string(Below(400), 'x');
      submission.items.push_back(std::move(item));
    }
    const auto seq = owner.Submit(submission, Unix());
    if (Below(3) == 0) {
      // A client that resends through another host.
      auto& other = *hosts_[Below(kHosts)].owner;
      if (other.stage() != owner_stage::kIdle) {
        other.Submit(submission, Unix());
      }
    }
    if (Below(10) == 0) {
      owner.Withdraw(seq);
    }
  }

  auto Cancel(std::size_t h) -> void {
    auto& owner = *hosts_[h].owner;
    const auto& jobs = owner.projection().Jobs();
    if (owner.stage() == owner_stage::kIdle || jobs.empty()) {
      return;
    }
    const auto at = std::next(jobs.begin(),
                              static_cast<std::ptrdiff_t>(Below(jobs.size())));
    if (Below(3) == 0) {
      owner.Cancel(at->first, Unix());
    }
  }

  auto Dispatch(std::size_t h) -> void {
    auto& owner = *hosts_[h].owner;
    const auto* target = kTargets[Below(kTargets.size())];
    const auto run = owner.Next(
        target, now_, [](const auto&) { return 1.0; }, MayRepeat);
    if (!run) {
      return;
    }
    const auto* job = owner.projection().Find(run->item.job);
    Require(job != nullptr && !job->cancelled,
            "an item was sent after its cancel was read");
    Require(job->items[run->item.index].state != item_state::kCompleted,
            "an item was sent after its result was read");
    if (!MayRepeat(run->request)) {
      Require(!run->repeatable, "a not repeatable item is taken for one");
      Require(sent_.insert(run->item).second,
              "an item that may not be repeated was sent twice");
    }
    running_.push_back({h, hosts_[h].start, *run});
  }

  auto EndRun() -> void {
    if (running_.empty()) {
      return;
    }
    const auto at = Below(running_.size());
    const auto entry = running_[at];
    if (hosts_[entry.host].paused_steps > 0) {
      return;
    }
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(at));
    auto& owner = *hosts_[entry.host].owner;
    const auto& item = entry.run.item;
    const auto dice = Below(10);
    if (dice < 5) {
      const auto body = "\"" + std::to_string(++answers_) + "\"";
      owner.End(item, attempt_outcome::kResult,
                AnswerLine(entry.run.request.custom_id, 200, body), false,
                now_);
    } else if (dice < 9) {
      // Certainly not run, so it may be sent again.
      sent_.erase(item);
      const auto end =
          dice < 7 ? attempt_outcome::kFailed : attempt_outcome::kReturned;
      owner.End(item, end, "reason", false, now_);
    } else {
      owner.End(item,
                entry.run.repeatable ? attempt_outcome::kFailed
                                     : attempt_outcome::kUnknown,
                "reason", false, now_);
    }
  }

  /** A point that retention may reach. Retention is far longer than an append
   * is under way, so no record is resent after its first copy is forgotten. */
  auto RetentionPoint() -> std::uint64_t {
    auto from = first_ + Below(reference_.base_from().value - first_ + 1);
    for (const auto& host : hosts_) {
      from = std::min(from, host.resends_from);
    }
    for (auto pair = resent_.rbegin(); pair != resent_.rend(); ++pair) {
      if (pair->first < from && from <= pair->second) {
        from = pair->first;
      }
    }
    return std::max(from, first_);
  }

  /** A fold from any point that retention may reach gives the same state. */
  auto CompareReplay() -> void {
    const auto from = RetentionPoint();
    job_partition replay{partition_id(0)};
    replay.Reset(log_offset(from));
    for (auto offset = from; offset < log_.size(); ++offset) {
      replay.Apply(log_offset(offset), log_[offset]);
    }
    const auto got = replay.StateText();
    const auto expected = reference_.StateText();
    if (got != expected) {
      const auto at = static_cast<std::size_t>(
          std::mismatch(got.begin(), got.end(), expected.begin(),
                        expected.end())
              .first -
          got.begin());
      const auto begin = at < 500 ? 0 : at - 500;
      Require(false, "replay from " + std::to_string(from) + " of " +
                         std::to_string(log_.size()) + " differs:\n" +
                         got.substr(begin, 800) + "\n" +
                         expected.substr(begin, 800));
    }
  }

  /** The log forgets records that the owners have written again. An append
   * without answer is shorter-lived than retention. */
  auto Retain() -> void {
    if (late_.empty()) {
      first_ = RetentionPoint();
    }
  }

  auto AllEnded() const -> bool {
    const auto& jobs = reference_.Jobs();
    return std::all_of(jobs.begin(), jobs.end(),
                       [](const auto& j) { return j.second.HasEnded(); });
  }

  static auto CheckResults(const job_state& job) -> void {
    std::set<std::string> ids;
    std::size_t lines = 0;
    const auto text = job_partition::Results(job);
    for (std::size_t at = 0; at < text.size(); ++lines) {
      const auto end = text.find('\n', at);
      const auto line = boost::json::parse(text.substr(at, end - at));
      ids.emplace(line.at("custom_id").as_string());
      at = end + 1;
    }
    Require(lines == job.items.size() && ids.size() == lines,
            "a job has not exactly one line for each custom_id");
  }

  std::mt19937_64 random_;
  time_point now_{};
  std::vector<std::string> log_;
  std::uint64_t first_ = 0;
  job_partition reference_{partition_id(0)};
  std::array<sim_host, kHosts> hosts_;
  std::vector<std::vector<std::string>> late_;
  std::vector<sim_run> running_;
  std::map<std::tuple<host_id, incarnation, std::uint64_t>, std::uint64_t>
      originals_;  ///< Offset of the first copy of each record.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> resent_;
  std::set<item_ref> sent_;
  std::map<log_offset, std::string> ended_;
  std::map<item_ref, std::string> results_;
  std::size_t last_owner_ = 0;
  std::uint64_t faulty_seq_ = 0;
  std::uint64_t answers_ = 0;
  std::size_t accepted_ = 0;
  std::size_t dropped_ = 0;
  std::size_t bases_ = 0;
  bool finishing_ = false;
};

}  // namespace dogwood::job_world

#endif  // TESTS_JOB_WORLD_H_
