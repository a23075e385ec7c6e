/** Types that tell what requests have in common: their contents and the parts
 * of their prompts. */
#ifndef SRC_PROMPT_TYPE_H_
#define SRC_PROMPT_TYPE_H_

#include <cstdint>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Hash of the name of a part of a prompt. */
using prompt_part_id = strong<struct prompt_part_tag, std::uint64_t>;

/** Hash of the workspace, path and body of a request: the same whenever the
 * same request comes again, from whatever connection and at any host. */
using request_hash = strong<struct request_hash_tag, std::uint64_t>;

/** Parts of the prompt of a request. */
struct prompt_parts {
  /** Parts that other requests have too, in order. */
  std::vector<prompt_part_id> shared;
  /** The last part, which belongs to the request or its session. */
  prompt_part_id own;

  auto operator==(const prompt_parts&) const -> bool = default;
};

/** A part that has crashed servers. */
struct quarantined_part {
  prompt_part_id part;
  time_point until;  ///< Requests with it are refused until then.
};

/** A request that has crashed servers. */
struct quarantined_request {
  request_hash content;
  time_point until;  ///< It is refused until then.
};

}  // namespace dogwood

#endif  // SRC_PROMPT_TYPE_H_
