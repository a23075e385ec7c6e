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

/** What a policy decides on. */
struct server_view {
  unsigned slots = 0;    ///< Requests that the server runs at once.
  unsigned online = 0;   ///< Online requests in flight, as far as known.
  unsigned unknown = 0;  ///< Reported by the server and by nobody else.
};

/** Decides how many batch items may be in flight on a server. */
template <typename P>
concept admission_policy = requires(const P& policy, const server_view& view) {
  { policy.Allowed(view) } -> std::same_as<unsigned>;
};

/** Batch up to the slots, whatever online requests do (baseline). */
struct mixed_policy {
  /** Batch items that may be in flight. */
  static auto Allowed(const server_view& view) -> unsigned {
    return view.slots;
  }
};

/** Batch in what online requests and a reserve leave free. */
struct headroom_policy {
  unsigned reserve = 1;  ///< Slots kept free for the next online requests.

  /** Batch items that may be in flight. */
  auto Allowed(const server_view& view) const -> unsigned {
    const auto taken = reserve + view.online + view.unknown;
    return view.slots > taken ? view.slots - taken : 0;
  }
};

/** Batch only where no online request runs. */
struct idle_only_policy {
  /** Batch items that may be in flight. */
  static auto Allowed(const server_view& view) -> unsigned {
    return view.online + view.unknown == 0 ? view.slots : 0;
  }
};

static_assert(admission_policy<mixed_policy>);
static_assert(admission_policy<headroom_policy>);
static_assert(admission_policy<idle_only_policy>);

/** The policy that a deployment uses. */
using any_admission_policy =
    std::variant<mixed_policy, headroom_policy, idle_only_policy>;

/** What a server reports; it lags behind. */
struct load_report {
  unsigned running = 0;  ///< Requests that it runs.
  unsigned waiting = 0;  ///< Requests that wait in it.
  unsigned slots = 0;    ///< Requests that it runs at once; 0 if not said.
};

}  // namespace dogwood

#endif  // SRC_ADMISSION_TYPE_H_
