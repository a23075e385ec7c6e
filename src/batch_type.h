/** Types of batch jobs whose results are read by position. */
#ifndef SRC_BATCH_TYPE_H_
#define SRC_BATCH_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/deployment_type.h"
#include "src/http_type.h"
#include "src/job_type.h"
#include "src/unit_type.h"

namespace dogwood {

using batch_id = strong<struct batch_tag, std::string>;
using batch_item_id = strong<struct batch_item_tag, std::string>;
/** One run of an item; random, so that runs of different hosts differ. */
using batch_run_id = strong<struct batch_run_tag, std::uint64_t>;

/** One item as submitted. */
struct batch_item {
  batch_item_id id;          ///< Unique in its job.
  std::string path;          ///< Path of the request that runs it.
  http_headers headers;      ///< Header fields of that request.
  std::string body;          ///< Body, decoded.
  std::uint64_t tokens = 0;  ///< Tokens of the prompt and the longest output.
};

/** A job as submitted. */
struct batch_submission {
  batch_id id;  ///< Chosen by the caller; the same in each resend.
  workspace_id workspace;
  std::string host;   ///< Host name of the route.
  std::string path;   ///< Path that the job was submitted to.
  unix_ms submitted;  ///< Time of the first arrival.
  /** Version of the declared state whose route accepted the job; 0 if it was
   * not recorded. */
  state_version accepted_under;
  std::vector<batch_item> items;  ///< In order of submission.
};

/** Final outcome of an item. */
enum class batch_item_outcome {
  kDone,       ///< The complete output is stored.
  kAbandoned,  ///< No output: expired, rejected or failed too often.
};

/** Progress of an item over all its runs. */
struct batch_progress {
  std::uint64_t last_event =
      0;               ///< Number of the last event received; 0 if none.
  std::string output;  ///< Data of the events, separated by '\n'.
};

/** Result of one item. Its position in the job never changes. */
struct batch_result {
  batch_item_id item;
  batch_item_outcome end = batch_item_outcome::kDone;
  std::string output;  ///< Data of all events, separated by '\n'.
};

}  // namespace dogwood

#endif  // SRC_BATCH_TYPE_H_
