/** Types of freshness: proofs, attestations, and positions in the tree of
 * hosts. */
#ifndef SRC_FRESHNESS_TYPE_H_
#define SRC_FRESHNESS_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Maximum number of children of a host within its region. */
constexpr std::size_t kTreeFanOut = 6;

/** Factor that makes a wait by the local clock outlast the same wait by the
 * clock of any other host. Clock rates may be off by 5% either way, and
 * 1.05 / 0.95 is 1.1053. */
constexpr double kDriftFactor = 1.11;

/** Returns `length` multiplied by kDriftFactor. */
constexpr auto WithDrift(duration length) -> duration {
  return std::chrono::duration_cast<duration>(length * kDriftFactor);
}

/** Returns when a proof or attestation in a reply was true, in the clock of the
 * host that sent the request at `sent`. The replying host held the request for
 * `held`, and its proof was `age` old when it replied; both were measured by
 * its clock. */
constexpr auto ReplyAsOf(time_point sent, duration held, duration age)
    -> time_point {
  return sent + std::chrono::duration_cast<duration>(held / kDriftFactor) - age;
}

/** Proof that no record at or beyond `next` was acknowledged before `as_of`. It
 * also holds for every larger `next`. */
struct freshness_proof {
  log_offset next;                       ///< End of the proven prefix.
  time_point as_of = time_point::min();  ///< In the local clock.
};

/** Set of members, identified by their rank in member order. */
class rank_set {
 public:
  rank_set() = default;
  /** Creates a set from the words of a message; word 0 holds ranks 0 to 63. */
  explicit rank_set(std::vector<std::uint64_t> words)
      : words_(std::move(words)) {}

  auto Add(std::size_t rank) -> void;
  /** Adds all ranks of `other`. */
  auto AddAll(const rank_set& other) -> void;
  /** Whether `rank` is in the set. */
  auto Contains(std::size_t rank) const -> bool;
  /** Whether every rank of `other` is in the set. */
  auto ContainsAll(const rank_set& other) const -> bool;
  /** Whether the ranks 0 to `count` - 1 are in the set. */
  auto Covers(std::size_t count) const -> bool;
  auto words() const -> const std::vector<std::uint64_t>& { return words_; }

 private:
  std::vector<std::uint64_t> words_;
};

/** Attestation that at `as_of` or later each covered member knew exactly the
 * records before `known_offset` and had no own append acknowledged at or beyond
 * it. The daemons that still had a valid proof from it, also daemons of other
 * hosts, had applied these records too. */
struct attestation {
  log_offset known_offset;               ///< End of the known records.
  rank_set covered;                      ///< Ranks as of `known_offset`.
  time_point as_of = time_point::min();  ///< In the local clock.
};

/** Origin of a daemon that pulls from a controld. */
enum class daemon_place {
  kOwnHost,    ///< A daemon of the same host.
  kOtherHost,  ///< A daemon of a host whose own controld does not answer.
};

/** Proof that a request was sent after a certain reply: the reply's incarnation
 * and timestamp, and the time from its arrival to sending the request. */
struct reply_echo {
  incarnation start;   ///< Incarnation of the replying host, 0 if no reply.
  time_point stamp;    ///< Clock of the replying host when it replied.
  duration elapsed{};  ///< From arrival of the reply to sending the request.
};

/** Position of a host in the tree. */
struct tree_position {
  std::vector<host_id> ancestors;  ///< Parent first, root last; empty at root.
  std::vector<host_id> children;   ///< In member order.
};

}  // namespace dogwood

#endif  // SRC_FRESHNESS_TYPE_H_
