/** Batch jobs whose results are read by position. */
#ifndef SRC_BATCH_TYPE_H_
#define SRC_BATCH_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/http_type.h"
#include "src/job_type.h"
#include "src/unit_type.h"

namespace dogwood {

using batch_id = strong<struct batch_tag, std::string>;
using batch_item_id = strong<struct batch_item_tag, std::string>;

/** One item as submitted. */
struct batch_item {
  batch_item_id id;      ///< Unique in its job.
  std::string path;      ///< Path of the request that runs it.
  http_headers headers;  ///< Fields of that request.
  std::string body;      ///< Decoded body.
};

/** A job as submitted. */
struct batch_submission {
  batch_id id;                    ///< Caller's name; the same in each resend.
  workspace_id workspace;         ///< Whose it is.
  std::string host;               ///< Host name of its route.
  std::string path;               ///< Path that it was submitted to.
  unix_ms submitted;              ///< When it first arrived.
  std::vector<batch_item> items;  ///< In order.
};

/** How an item ended. */
enum class batch_item_outcome {
  kDone,       ///< Its whole output is kept.
  kAbandoned,  ///< It is given up.
};

/** What the runs of an item have brought so far. */
struct batch_progress {
  std::uint64_t last_event = 0;  ///< Last event that came; 0: none.
  std::string output;            ///< Data of its events, split by '\n'.
};

/** One result; its position in the job never changes. */
struct batch_result {
  batch_item_id item;                                  ///< Which item.
  batch_item_outcome end = batch_item_outcome::kDone;  ///< How it ended.
  std::string output;  ///< Data of all events, split by '\n'.
};

}  // namespace dogwood

#endif  // SRC_BATCH_TYPE_H_
