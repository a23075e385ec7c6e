/** Types of freshness: proofs, vouches, positions in the tree of hosts. */
#ifndef SRC_FRESHNESS_TYPE_H_
#define SRC_FRESHNESS_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Children of one host within its region. */
constexpr std::size_t kTreeFanOut = 6;

/** Lengthens a wait so that it outlasts, in real time, the same length measured
 * by any other host. Clock rates may be off by 5% either way, and 1.05 / 0.95
 * is 1.1053. */
constexpr double kDriftFactor = 1.11;

/** `length` lengthened by kDriftFactor. */
constexpr auto WithDrift(duration length) -> duration {
  return std::chrono::duration_cast<duration>(length * kDriftFactor);
}

/** When a proof or vouch of a reply was true, in the clock of the host that
 * sent the request at `sent`: the replying host held it for `held` and its
 * proof was `age` old when it replied. Both are lengths in the replying host's
 * clock. */
constexpr auto ReplyAsOf(time_point sent, duration held, duration age)
    -> time_point {
  return sent + std::chrono::duration_cast<duration>(held / kDriftFactor) - age;
}

/** No record at or beyond `next` was acknowledged before `as_of`. It holds for
 * every larger `next` too. */
struct freshness_proof {
  log_offset next;                       ///< End of the proven prefix.
  time_point as_of = time_point::min();  ///< In the local clock.
};

/** Set of members by their rank in member order. */
class rank_set {
 public:
  rank_set() = default;
  /** From the words of a message; word 0 holds ranks 0 to 63. */
  explicit rank_set(std::vector<std::uint64_t> words)
      : words_(std::move(words)) {}

  /** Adds one rank. */
  auto Add(std::size_t rank) -> void;
  /** Adds all of `other`. */
  auto Unite(const rank_set& other) -> void;
  /** Whether `rank` is in the set. */
  auto Has(std::size_t rank) const -> bool;
  /** Whether every rank of `other` is in the set. */
  auto HasAll(const rank_set& other) const -> bool;
  /** Whether the ranks 0 to `count` - 1 are in the set. */
  auto Covers(std::size_t count) const -> bool;
  auto words() const -> const std::vector<std::uint64_t>& { return words_; }

 private:
  std::vector<std::uint64_t> words_;
};

/** At `as_of` or later, each covered member knew exactly the records before
 * `known_offset` and had no append of its own acknowledged at or beyond it.
 * The daemons to which it gave a proof that is still valid had applied these
 * records too, also those of other hosts. */
struct attestation {
  log_offset known_offset;               ///< End of what they knew.
  rank_set covered;                      ///< Ranks at `known_offset`.
  time_point as_of = time_point::min();  ///< In the local clock.
};

/** Whose daemon pulls from a controld. */
enum class daemon_place {
  kOwnHost,    ///< That of the same host.
  kOtherHost,  ///< That of a host whose own controld does not answer.
};

/** Proof that a request was sent after a certain reply: the reply's start and
 * stamp, and how long after its arrival the request was sent. */
struct reply_echo {
  incarnation start;   ///< Incarnation of the replying host, 0 if no reply.
  time_point stamp;    ///< Clock of the replying host when it replied.
  duration elapsed{};  ///< From arrival of the reply to the request.
};

/** Where a host stands in the tree. */
struct tree_position {
  std::vector<host_id> ancestors;  ///< Parent first, root last; empty at root.
  std::vector<host_id> children;   ///< In member order.
};

}  // namespace dogwood

#endif  // SRC_FRESHNESS_TYPE_H_
