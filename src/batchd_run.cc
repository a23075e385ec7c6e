#include "src/batchd_run.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "src/job.h"
#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** An ended run is remembered this long, for repeated asks. */
constexpr std::chrono::seconds kAnswerLife{30};

/** Reads an object. */
auto ParseObject(std::string_view text) -> std::optional<json::object> {
  json::error_code ec;
  auto value = json::parse(text, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

/** Whether a field is true. */
auto Flag(const json::object& object, std::string_view name) -> bool {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

}  // namespace

auto NameOf(run_outcome outcome) -> std::string_view {
  constexpr std::array<std::string_view, 8> kNames{
      "answer",      "failed",       "no room", "preempted",
      "unreachable", "not admitter", "lost",    "running"};
  return kNames[static_cast<std::size_t>(outcome)];
}

auto ToJson(const run_ask& ask) -> std::string {
  return json::serialize(json::object{{"request_id", ask.request_id},
                                      {"server", ask.server},
                                      {"method", ask.method},
                                      {"path", ask.path},
                                      {"body", ask.body},
                                      {"repeatable", ask.repeatable},
                                      {"is_first", ask.is_first}});
}

auto ParseRunAsk(std::string_view text) -> std::optional<run_ask> {
  const auto object = ParseObject(text);
  if (!object) {
    return std::nullopt;
  }
  run_ask ask;
  ask.request_id = TextField(*object, "request_id");
  ask.server = TextField(*object, "server");
  ask.method = TextField(*object, "method");
  ask.path = TextField(*object, "path");
  ask.body = TextField(*object, "body");
  ask.repeatable = Flag(*object, "repeatable");
  ask.is_first = Flag(*object, "is_first");
  return ask.request_id.empty() ? std::nullopt : std::optional(std::move(ask));
}

auto ToJson(const run_answer& answer) -> std::string {
  return json::serialize(
      json::object{{"outcome", static_cast<unsigned>(answer.outcome)},
                   {"status", answer.status},
                   {"body", answer.body}});
}

auto ParseRunAnswer(std::string_view text) -> std::optional<run_answer> {
  const auto object = ParseObject(text);
  const auto last = static_cast<std::uint64_t>(run_outcome::kRunning);
  if (!object || !object->contains("outcome") ||
      NumberField(*object, "outcome") > last) {
    return std::nullopt;
  }
  run_answer answer;
  answer.outcome = static_cast<run_outcome>(NumberField(*object, "outcome"));
  answer.status = static_cast<unsigned>(NumberField(*object, "status"));
  answer.body = TextField(*object, "body");
  return answer;
}

auto run_table::Find(const run_ask& ask, time_point lease_until, bool& is_new)
    -> std::shared_ptr<run_entry> {
  const std::lock_guard lock(mutex_);
  auto found = entries_.find(ask.request_id);
  is_new = found == entries_.end() && ask.is_first;
  if (is_new) {
    auto entry = std::make_shared<run_entry>();
    entry->ask = ask;
    found = entries_.emplace(ask.request_id, std::move(entry)).first;
  }
  if (found == entries_.end()) {
    return nullptr;
  }
  found->second->lease_until =
      std::max(found->second->lease_until, lease_until);
  return found->second;
}

auto run_table::Admit(const std::shared_ptr<run_entry>& entry, time_point now)
    -> bool {
  const std::lock_guard lock(mutex_);
  const auto run = admission_.Begin(server_id(entry->ask.server), now);
  entry->is_admitted = run.has_value();
  entry->run = run.value_or(run_id());
  return entry->is_admitted;
}

auto run_table::SetConnection(const std::shared_ptr<run_entry>& entry,
                              std::shared_ptr<http_connection> connection)
    -> bool {
  const std::lock_guard lock(mutex_);
  entry->connection = std::move(connection);
  return !entry->is_aborted && !entry->is_preempted;
}

auto run_table::IsAborted(const std::shared_ptr<run_entry>& entry) const
    -> bool {
  const std::lock_guard lock(mutex_);
  return entry->is_aborted;
}

auto run_table::IsInterrupted(const std::shared_ptr<run_entry>& entry) const
    -> bool {
  const std::lock_guard lock(mutex_);
  return entry->is_aborted || entry->is_preempted;
}

auto run_table::Finish(const std::shared_ptr<run_entry>& entry,
                       run_answer answer) -> void {
  const std::lock_guard lock(mutex_);
  if (entry->is_admitted) {
    admission_.End(server_id(entry->ask.server), entry->run);
    entry->is_admitted = false;
  }
  entry->connection.reset();
  entry->ask.body.clear();
  entry->answer = std::move(answer);
  for (const auto& waiter : entry->waiters) {
    waiter.Notify();
  }
  entry->waiters.clear();
}

auto run_table::AnswerOrWait(const std::shared_ptr<run_entry>& entry,
                             const wake_signal& waiter)
    -> std::optional<run_answer> {
  const std::lock_guard lock(mutex_);
  if (!entry->answer) {
    entry->waiters.push_back(waiter);
  }
  return entry->answer;
}

auto run_table::Release(const std::shared_ptr<run_entry>& entry) -> void {
  const std::lock_guard lock(mutex_);
  if (entry->is_admitted) {
    admission_.End(server_id(entry->ask.server), entry->run);
    entry->is_admitted = false;
  }
  entry->connection.reset();
  entry->is_preempted = false;
}

auto run_table::Interrupt(run_entry& entry, bool for_good) -> bool {
  // A call that may not be repeated runs to its end: cutting it would leave
  // its outcome unknown.
  const bool was = for_good ? entry.is_aborted : entry.is_preempted;
  if (entry.answer || was || !entry.ask.repeatable) {
    return false;
  }
  (for_good ? entry.is_aborted : entry.is_preempted) = true;
  if (entry.connection) {
    entry.connection->Abort();
  }
  return true;
}

auto run_table::Preempt(const server_id& server, time_point now)
    -> std::size_t {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto run : admission_.DrainCancellations(server, now)) {
    for (auto& [id, entry] : entries_) {
      if (entry->is_admitted && entry->run == run) {
        count += Interrupt(*entry, false) ? 1 : 0;
      }
    }
  }
  return count;
}

auto run_table::Abort(const std::string& request_id) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(request_id);
  if (found != entries_.end()) {
    Interrupt(*found->second, true);
  }
}

auto run_table::AbortAll() -> void {
  const std::lock_guard lock(mutex_);
  for (auto& [id, entry] : entries_) {
    Interrupt(*entry, true);
  }
}

auto run_table::Sweep(time_point now) -> void {
  const std::lock_guard lock(mutex_);
  std::erase_if(entries_, [now](const auto& entry) {
    return entry.second->answer &&
           entry.second->lease_until + kAnswerLife < now;
  });
  for (auto& [id, entry] : entries_) {
    if (entry->lease_until < now) {
      Interrupt(*entry, true);
    }
  }
}

auto run_table::Running() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return !entry.second->answer; }));
}

}  // namespace dogwood
