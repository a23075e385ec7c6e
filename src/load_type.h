/** Types of dogwood_load: what to send, and what came of it. */
#ifndef SRC_LOAD_TYPE_H_
#define SRC_LOAD_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/core.h"

namespace dogwood {

/** Time since the start of a run. */
using run_time = std::chrono::duration<double>;

/** A window in which a workspace sends at another rate. */
struct load_window {
  run_time from{};    ///< Start.
  run_time to{};      ///< End.
  double factor = 1;  ///< Of the rate; 0 is an idle window.
};

/** Online traffic of one workspace. */
struct load_workspace {
  workspace_id workspace;            ///< Name in the report.
  std::string key;                   ///< Caller key.
  double rate_per_s = 1;             ///< Mean arrivals.
  std::vector<load_window> windows;  ///< Bursts and idle windows.
  double limit_per_s = 0;      ///< Configured rate, to judge refusals; 0 none.
  double limit_burst = 0;      ///< Configured burst.
  unsigned prefixes = 4;       ///< Distinct prompt prefixes.
  unsigned prefix_words = 32;  ///< Length of a prefix.
  unsigned prompt_words = 48;  ///< Length of a whole prompt.
  unsigned max_tokens = 16;    ///< Tokens asked for.
  double first_address_share = 0;  ///< Share sent to the first address only.
};

/** Batch jobs of one workspace. */
struct load_batch {
  workspace_id workspace;      ///< Name in the report.
  std::string key;             ///< Caller key.
  unsigned jobs = 1;           ///< Number of jobs.
  unsigned items = 100;        ///< Items in each.
  run_time start{};            ///< When they are submitted.
  unsigned prompt_words = 48;  ///< Length of a prompt.
  unsigned max_tokens = 16;    ///< Tokens asked for.
};

/** A whole run. */
struct load_plan {
  std::uint64_t seed = 1;                  ///< Fixes arrivals and choices.
  run_time length{10};                     ///< Time of arrivals.
  run_time settle{30};                     ///< Longest wait after it.
  std::string model;                       ///< Model asked for.
  std::vector<std::string> addresses;      ///< Where to ask for addresses.
  std::vector<load_workspace> workspaces;  ///< Online traffic.
  std::vector<load_batch> batches;         ///< Jobs beside it.
};

/** One online request to send. */
struct load_arrival {
  run_time at{};               ///< When.
  std::size_t workspace = 0;   ///< Index in the plan.
  std::uint64_t number = 0;    ///< Counts the workspace's requests from 0.
  bool first_address = false;  ///< To the first address of the answer.
};

/** What came of one request. */
enum class load_result {
  kCompleted,  ///< Whole answer to this request.
  kRefused,    ///< An error status before any answer.
  kBroken,     ///< The answer began and did not end whole.
  kWrong,      ///< A whole answer to another request.
};

}  // namespace dogwood

#endif  // SRC_LOAD_TYPE_H_
