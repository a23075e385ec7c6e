/** Arrivals and prompts of a load run; pure functions of the plan. */
#ifndef SRC_LOAD_FUNC_H_
#define SRC_LOAD_FUNC_H_

#include <string>
#include <string_view>
#include <vector>

#include "src/load_type.h"

namespace dogwood {

/** Reads a plan from JSON. Fails with kBadRequest naming the field. */
auto ParseLoadPlan(std::string_view json) -> outcome<load_plan>;

/** Poisson arrivals of all workspaces, in order of time. The same for the same
 * plan on every machine. */
auto ArrivalsOf(const load_plan& plan) -> std::vector<load_arrival>;

/** Prompt of a workspace's request `number`. */
auto PromptOf(const load_workspace& workspace, std::uint64_t number)
    -> std::string;

/** Body of a completion request. */
auto CompletionBody(const load_plan& plan,
                    const std::string& prompt,
                    unsigned max_tokens,
                    bool stream) -> std::string;

/** The JSONL body of job `job`. */
auto BatchBody(const load_plan& plan, const load_batch& batch, unsigned job)
    -> std::string;

/** Start of the text that an answer to `prompt` must have; see fake_engine. */
auto ExpectedText(const std::string& prompt) -> std::string;

/** Tells which of a workspace's requests were within its rate and burst as the
 * callers sent them. */
class rate_judge {
 public:
  rate_judge(double per_s, double burst)
      : per_s_(per_s), burst_(burst), tokens_(burst) {}
  /** Notes a request; true if it was within the rate. */
  auto Note(run_time at) -> bool;

 private:
  double per_s_;
  double burst_;
  double tokens_;
  run_time filled_{};
};

}  // namespace dogwood

#endif  // SRC_LOAD_FUNC_H_
