#include "src/load_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <random>
#include <utility>

namespace dogwood {
namespace json = boost::json;
namespace {

/** Hex digits of the prompt's hash with which the fake engine starts each token
 * of its response. */
constexpr std::size_t kHashPrefixDigits = 8;

/** Reads fields of a JSON object. Absent fields leave the target unchanged. */
class field_reader {
 public:
  explicit field_reader(const json::object& object) : object_(object) {}

  /** Reads a number. */
  template <typename T>
  auto Number(std::string_view name, T& to) const -> void {
    if (const auto* value = object_.if_contains(name)) {
      to = value->to_number<T>();
    }
  }
  /** Reads a time in seconds. */
  auto Time(std::string_view name, run_time& to) const -> void {
    double seconds = to.count();
    Number(name, seconds);
    to = run_time(seconds);
  }
  /** Reads a string. */
  auto Text(std::string_view name, std::string& to) const -> void {
    if (const auto* value = object_.if_contains(name)) {
      to = value->as_string();
    }
  }
  /** Returns the elements of a list; empty if the field is absent. */
  auto List(std::string_view name) const -> json::array {
    const auto* value = object_.if_contains(name);
    return value != nullptr ? value->as_array() : json::array();
  }

 private:
  const json::object& object_;
};

/** Reads one element of "workspaces". */
auto ReadWorkspace(const json::object& object) -> load_workspace {
  const field_reader read(object);
  load_workspace w;
  read.Text("name", w.workspace.value);
  read.Text("key", w.key);
  read.Number("rate_per_s", w.rate_per_s);
  read.Number("limit_per_s", w.limit_per_s);
  read.Number("limit_burst", w.limit_burst);
  read.Number("prefixes", w.prefixes);
  read.Number("prefix_words", w.prefix_words);
  read.Number("prompt_words", w.prompt_words);
  read.Number("max_tokens", w.max_tokens);
  read.Number("first_address_share", w.first_address_share);
  for (const auto& element : read.List("windows")) {
    const field_reader window(element.as_object());
    load_window added;
    window.Time("from_s", added.from);
    window.Time("to_s", added.to);
    window.Number("factor", added.factor);
    w.windows.push_back(added);
  }
  return w;
}

/** Reads one element of "batches". */
auto ReadBatch(const json::object& object) -> load_batch {
  const field_reader read(object);
  load_batch b;
  read.Text("workspace", b.workspace.value);
  read.Text("key", b.key);
  read.Number("jobs", b.jobs);
  read.Number("items", b.items);
  read.Time("start_s", b.start);
  read.Number("prompt_words", b.prompt_words);
  read.Number("max_tokens", b.max_tokens);
  return b;
}

/** Reads a load plan. Throws the exceptions of Boost.JSON on invalid fields. */
auto ReadPlan(const json::object& object) -> load_plan {
  const field_reader read(object);
  load_plan plan;
  read.Number("seed", plan.seed);
  read.Time("length_s", plan.length);
  read.Time("settle_s", plan.settle);
  read.Text("model", plan.model);
  for (const auto& element : read.List("addresses")) {
    plan.addresses.emplace_back(element.as_string());
  }
  for (const auto& element : read.List("workspaces")) {
    plan.workspaces.push_back(ReadWorkspace(element.as_object()));
  }
  for (const auto& element : read.List("batches")) {
    plan.batches.push_back(ReadBatch(element.as_object()));
  }
  return plan;
}

/** Returns the factor of the rate at a time. Overlapping windows multiply. */
auto FactorAt(const load_workspace& workspace, run_time at) -> double {
  double factor = 1;
  for (const auto& window : workspace.windows) {
    if (window.from <= at && at < window.to) {
      factor *= window.factor;
    }
  }
  return factor;
}

/** Returns an upper bound of the rate of a workspace, in requests per second:
 * the rate with all windows that raise it overlapping. */
auto MaxRate(const load_workspace& workspace) -> double {
  double factor = 1;
  for (const auto& window : workspace.windows) {
    factor *= std::max(1.0, window.factor);
  }
  return workspace.rate_per_s * factor;
}

/** Returns a random number in [0, 1). Implemented here because the results of
 * std::uniform_real_distribution differ between standard libraries, and a seed
 * must give the same load on every machine. */
auto Uniform(std::mt19937_64& random) -> double {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random() >> 11U) * kScale;
}

/** Generates the arrivals of one workspace: a Poisson process at the maximum
 * rate, thinned to the rate at each time. */
auto AddArrivals(const load_plan& plan,
                 std::size_t index,
                 std::vector<load_arrival>& arrivals) -> void {
  const auto& workspace = plan.workspaces[index];
  const auto max_rate = MaxRate(workspace);
  if (max_rate <= 0) {
    return;
  }
  std::mt19937_64 random(
      plan.seed ^ StableHash("arrivals of " + workspace.workspace.value));
  std::uint64_t number = 0;
  run_time at{};
  while (true) {
    at += run_time(-std::log(1 - Uniform(random)) / max_rate);
    if (at >= plan.length) {
      return;
    }
    const auto share =
        workspace.rate_per_s * FactorAt(workspace, at) / max_rate;
    const bool arrives = Uniform(random) < share;
    const bool first = Uniform(random) < workspace.first_address_share;
    if (arrives) {
      arrivals.push_back({at, index, number++, first});
    }
  }
}

}  // namespace

auto ParseLoadPlan(std::string_view text) -> outcome<load_plan> {
  failure error{.code = error_code::kBadRequest,
                .message = "",
                .step = "read load plan",
                .peer = ""};
  try {
    auto plan = ReadPlan(json::parse(text).as_object());
    if (!plan.addresses.empty()) {
      return plan;
    }
    error.message = "\"addresses\" must contain at least one entry host";
  } catch (const std::exception& e) {
    error.message = e.what();
  }
  return error;
}

auto ArrivalsOf(const load_plan& plan) -> std::vector<load_arrival> {
  std::vector<load_arrival> arrivals;
  for (std::size_t i = 0; i < plan.workspaces.size(); ++i) {
    AddArrivals(plan, i, arrivals);
  }
  std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) {
    return std::pair(a.at, a.workspace) < std::pair(b.at, b.workspace);
  });
  return arrivals;
}

auto PromptOf(const load_workspace& workspace, std::uint64_t number)
    -> std::string {
  const auto prefix = number % std::max(1U, workspace.prefixes);
  std::string prompt;
  for (unsigned i = 0; i < workspace.prompt_words; ++i) {
    prompt += workspace.workspace.value;
    prompt += i < workspace.prefix_words
                  ? "-p" + std::to_string(prefix) + "-" + std::to_string(i)
                  : "-r" + std::to_string(number) + "-" + std::to_string(i);
    prompt += ' ';
  }
  return prompt + "request " + std::to_string(number);
}

auto CompletionBody(const load_plan& plan,
                    const std::string& prompt,
                    unsigned max_tokens,
                    bool stream) -> std::string {
  const json::object body{{"model", plan.model},
                          {"prompt", prompt},
                          {"max_tokens", max_tokens},
                          {"stream", stream}};
  return json::serialize(body);
}

auto BatchBody(const load_plan& plan, const load_batch& batch, unsigned job)
    -> std::string {
  load_workspace shape;
  shape.workspace.value = batch.workspace.value + "-batch";
  shape.prompt_words = batch.prompt_words;
  std::string lines;
  for (unsigned i = 0; i < batch.items; ++i) {
    const auto number = std::uint64_t{job} * batch.items + i;
    const auto body =
        CompletionBody(plan, PromptOf(shape, number), batch.max_tokens, false);
    const json::object line{{"custom_id", "item-" + std::to_string(i)},
                            {"method", "POST"},
                            {"url", "/v1/completions"},
                            {"body", json::parse(body)}};
    lines += json::serialize(line) + "\n";
  }
  return lines;
}

auto ExpectedText(const std::string& prompt) -> std::string {
  return Sha256Hex(prompt).substr(0, kHashPrefixDigits);
}

auto rate_checker::RecordRequest(run_time at) -> bool {
  tokens_ = std::min(burst_, tokens_ + (at - refilled_).count() * per_s_);
  refilled_ = at;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace dogwood
