/** Arrivals and request bodies of a load run: pure functions of the plan. */
#ifndef SRC_LOAD_FUNC_H_
#define SRC_LOAD_FUNC_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/load_type.h"

namespace dogwood {

/** Parses a load plan from JSON. Fails with kBadRequest if the JSON or a field
 * is invalid, or if there is no address. */
auto ParseLoadPlan(std::string_view json) -> outcome<load_plan>;

/** Returns the Poisson arrivals of all workspaces in order of time. They are
 * identical for the same plan on every machine. */
auto ArrivalsOf(const load_plan& plan) -> std::vector<load_arrival>;

/** Returns the prompt of a workspace's request `number`. Its prefix is one of
 * the workspace's distinct prefixes; the rest is unique to the request. */
auto PromptOf(const load_workspace& workspace, std::uint64_t number)
    -> std::string;

/** Returns the JSON body of a completion request. */
auto CompletionBody(const load_plan& plan,
                    const std::string& prompt,
                    unsigned max_tokens,
                    bool stream) -> std::string;

/** Returns the JSONL body of the `job`-th job of `batch`. */
auto BatchBody(const load_plan& plan, const load_batch& batch, unsigned job)
    -> std::string;

/** Returns the prefix of each token in the response that fake_engine gives to
 * `prompt`. */
auto ExpectedText(const std::string& prompt) -> std::string;

/** Token bucket that decides which requests of a workspace were within its rate
 * and burst at the time they were sent. */
class rate_checker {
 public:
  rate_checker(double per_s, double burst)
      : per_s_(per_s), burst_(burst), tokens_(burst) {}
  /** Notes a request; true if it was within the rate. */
  auto RecordRequest(run_time at) -> bool;

 private:
  double per_s_;
  double burst_;
  double tokens_;
  run_time refilled_{};
};

}  // namespace dogwood

#endif  // SRC_LOAD_FUNC_H_
