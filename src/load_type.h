/** Types of dogwood_load: load plan, arrivals and kinds of result. */
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

/** Time window in which a workspace sends at a different rate. */
struct load_window {
  run_time from{};    ///< Inclusive.
  run_time to{};      ///< Exclusive.
  double factor = 1;  ///< Multiplies the rate; 0 for no requests.
};

/** Online load of one workspace. */
struct load_workspace {
  workspace_id workspace;            ///< Name in the report.
  std::string key;                   ///< Caller key.
  double rate_per_s = 1;             ///< Mean rate of arrivals.
  std::vector<load_window> windows;  ///< Bursts and idle times.
  double limit_per_s = 0;  ///< Rate limit, to classify refusals; 0 for none.
  double limit_burst = 0;  ///< Configured burst limit.
  unsigned prefixes = 4;   ///< Distinct prompt prefixes.
  unsigned prefix_words = 32;      ///< Words of a prefix.
  unsigned prompt_words = 48;      ///< Words of a prompt with its prefix.
  unsigned max_tokens = 16;        ///< Tokens requested.
  double first_address_share = 0;  ///< Share sent to the first address.
};

/** Batch load of one workspace. */
struct load_batch {
  workspace_id workspace;      ///< Name in the report.
  std::string key;             ///< Caller key.
  unsigned jobs = 1;           ///< Number of jobs.
  unsigned items = 100;        ///< Items per job.
  run_time start{};            ///< When the jobs are submitted.
  unsigned prompt_words = 48;  ///< Words of a prompt.
  unsigned max_tokens = 16;    ///< Tokens requested.
};

/** Load of a run. */
struct load_plan {
  std::uint64_t seed = 1;                  ///< Of the random arrivals.
  run_time length{10};                     ///< Duration of arrivals.
  run_time settle{30};                     ///< Maximum wait after them.
  std::string model;                       ///< Requested model.
  std::vector<std::string> addresses;      ///< Hosts to query for addresses.
  std::vector<load_workspace> workspaces;  ///< Online load.
  std::vector<load_batch> batches;         ///< Batch load.
};

/** Arrival of one online request. */
struct load_arrival {
  run_time at{};               ///< Time of arrival.
  std::size_t workspace = 0;   ///< Index in the plan.
  std::uint64_t number = 0;    ///< Number within the workspace, from 0.
  bool first_address = false;  ///< Sent to the first address.
};

/** Kinds of result of an online request. */
enum class load_result {
  kCompleted,  ///< Complete response to this request.
  kRefused,    ///< Error status, or no response.
  kBroken,     ///< Truncated response or error event.
  kWrong,      ///< Complete response to another request.
};

}  // namespace dogwood

#endif  // SRC_LOAD_TYPE_H_
