/** What a log store with conditional appends, keyed topics and groups gives. */
#ifndef SRC_STORE_TYPE_H_
#define SRC_STORE_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** One partition of a topic. */
struct log_partition {
  std::string topic;         ///< Name of the topic.
  std::uint32_t number = 0;  ///< From 0.
  // clang-tidy 14 takes the comparison with 0 in the default for a pointer.
  auto operator<=>(const log_partition&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/** Answer of an append. */
struct store_append {
  log_offset first;  ///< Offset of the first record appended.
  log_offset end;    ///< End of the partition after it.
};

/** Answer of a read. */
struct store_page {
  log_offset end;                    ///< End of the partition.
  log_offset first;                  ///< Oldest retained offset.
  std::vector<std::string> records;  ///< From the offset asked for on.
};

/** A record of a keyed topic. */
struct keyed_record {
  std::string key;                   ///< What it is about.
  std::optional<std::string> value;  ///< Nothing: the key is dropped.
};

/** Newest record of every key. */
struct store_snapshot {
  std::vector<keyed_record> records;  ///< Any order.
  log_offset end;                     ///< Reading goes on from here.
};

/** A member of a group of hosts. */
struct group_member {
  std::string group;  ///< Name of the group.
  std::string name;   ///< Name of the member; unique in the group.
};

/** What a member holds after joining. */
struct group_share {
  std::uint64_t generation = 0;           ///< Rises with each change.
  std::vector<log_partition> partitions;  ///< Held by the member.
};

/** Owner of one partition of a group. */
struct partition_owner_row {
  log_partition partition;  ///< Which.
  std::string member;       ///< Name of the member that holds it.
};

}  // namespace dogwood

#endif  // SRC_STORE_TYPE_H_
