/** Types of a log store with conditional appends, keyed topics and consumer
 * groups. */
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
  std::string topic;
  std::uint32_t number = 0;  ///< Partition number, from 0.
  // clang-tidy 14 takes the comparison with 0 in the default for a pointer.
  auto operator<=>(const log_partition&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/** Result of an append. */
struct store_append {
  log_offset first;  ///< Offset of the first record appended.
  log_offset end;    ///< End offset of the partition after the append.
};

/** Result of a read. */
struct store_page {
  log_offset end;                    ///< End offset of the partition.
  log_offset first;                  ///< Oldest retained offset.
  std::vector<std::string> records;  ///< Records from the requested offset on.
};

/** A record of a keyed topic. */
struct keyed_record {
  std::string key;                   ///< Key of the record.
  std::optional<std::string> value;  ///< Nullopt: the key is removed.
};

/** The newest record of every key of a keyed topic. */
struct store_snapshot {
  std::vector<keyed_record> records;  ///< In any order.
  log_offset end;                     ///< Offset from which reading continues.
};

/** A member of a group of hosts. */
struct group_member {
  std::string group;
  std::string name;  ///< Member name; unique in the group.
};

/** Assignment of a member after joining. */
struct group_share {
  std::uint64_t generation = 0;           ///< Increases with each change.
  std::vector<log_partition> partitions;  ///< Assigned to the member.
};

/** Owner of one partition in a group. */
struct partition_owner_row {
  log_partition partition;
  std::string member;  ///< Name of the owner.
};

}  // namespace dogwood

#endif  // SRC_STORE_TYPE_H_
