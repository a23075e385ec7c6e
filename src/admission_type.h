/** Types and policies of batch admission on backend servers. */
#ifndef SRC_ADMISSION_TYPE_H_
#define SRC_ADMISSION_TYPE_H_

#include <concepts>
#include <cstdint>
#include <variant>

#include "src/unit_type.h"

namespace dogwood {

/** One run of one batch item on a server. */
using run_id = strong<struct run_tag, std::uint64_t>;

/** Load of a server, the input of an admission policy. */
struct server_view {
  unsigned slots = 0;     ///< Maximum concurrent requests.
  unsigned online = 0;    ///< Online requests in flight by the hosts' counts.
  unsigned external = 0;  ///< Load reported by the server beyond all counts.
};

/** Decides how many batch items may be in flight on a server. */
template <typename P>
concept admission_policy = requires(const P& policy, const server_view& view) {
  { policy.Allowed(view) } -> std::same_as<unsigned>;
};

/** Admits batch items up to the number of slots, regardless of online requests
 * (baseline). */
struct mixed_policy {
  /** Batch items that may be in flight. */
  static auto Allowed(const server_view& view) -> unsigned {
    return view.slots;
  }
};

/** Admits batch items in the slots that online requests and a reserve leave
 * free. */
struct headroom_policy {
  unsigned reserve = 1;  ///< Slots kept free for the next online requests.

  /** Batch items that may be in flight. */
  auto Allowed(const server_view& view) const -> unsigned {
    const auto taken = reserve + view.online + view.external;
    return view.slots > taken ? view.slots - taken : 0;
  }
};

/** Admits batch items only on servers without online requests. */
struct idle_only_policy {
  /** Batch items that may be in flight. */
  static auto Allowed(const server_view& view) -> unsigned {
    return view.online + view.external == 0 ? view.slots : 0;
  }
};

static_assert(admission_policy<mixed_policy>);
static_assert(admission_policy<headroom_policy>);
static_assert(admission_policy<idle_only_policy>);

/** The policy that a deployment uses. */
using any_admission_policy =
    std::variant<mixed_policy, headroom_policy, idle_only_policy>;

/** Load reported by a server. Reports are delayed. */
struct load_report {
  unsigned running = 0;  ///< Running requests.
  unsigned waiting = 0;  ///< Requests in the server's queue.
  unsigned slots = 0;    ///< Maximum concurrent requests; 0 if not reported.
};

}  // namespace dogwood

#endif  // SRC_ADMISSION_TYPE_H_
