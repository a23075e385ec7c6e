/** Strong types for ids and units, shared by all libraries. */
#ifndef SRC_UNIT_TYPE_H_
#define SRC_UNIT_TYPE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dogwood {

/** A value without implicit conversion from or to its representation. Values
 * with different tags are different types. */
template <typename Tag, typename Rep>
struct strong {
  Rep value{};

  constexpr strong() = default;
  constexpr explicit strong(Rep v) : value(std::move(v)) {}
  // clang-tidy 14 mistakes the comparison with 0 in the default for one with a
  // null pointer.
  auto operator<=>(const strong&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

using host_id = strong<struct host_tag, std::string>;
using workspace_id = strong<struct workspace_tag, std::string>;
using server_id = strong<struct server_tag, std::string>;
using model_id = strong<struct model_tag, std::string>;
using route_id = strong<struct route_tag, std::string>;
using key_id = strong<struct key_tag, std::string>;
using job_id = strong<struct job_tag, std::string>;
using data_centre_id = strong<struct data_centre_tag, std::string>;
using region_id = strong<struct region_tag, std::string>;

/** Position of a record in one stream of the log, counted from 0. */
using log_offset = strong<struct log_offset_tag, std::uint64_t>;
/** Offset of the claim record that opened an ownership. */
using epoch = strong<struct epoch_tag, std::uint64_t>;
/** Number of a start of a host's daemons; later starts have larger numbers. */
using incarnation = strong<struct incarnation_tag, std::uint64_t>;
/** Index of a partition of the batch jobs. */
using partition_id = strong<struct partition_tag, std::uint32_t>;

/** Clock of all deadlines. Libraries without a clock get time points passed in.
 */
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

}  // namespace dogwood

/** Hashes a strong type as its representation. */
template <typename Tag, typename Rep>
struct std::hash<dogwood::strong<Tag, Rep>> {
  auto operator()(const dogwood::strong<Tag, Rep>& v) const -> std::size_t {
    return std::hash<Rep>{}(v.value);
  }
};

#endif  // SRC_UNIT_TYPE_H_
