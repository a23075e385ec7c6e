/** Freshness of one host: the proof that its configuration is up to date, and
 * the attestations of the hosts below it in the tree.
 *
 * An attestation that covers all members is a proof. Let C be a record at or
 * beyond the attestation's known_offset X whose append was acknowledged at `a`.
 * The host that received the acknowledgement is
 * - a member at X: it attested at or after `as_of` without knowing of the
 *   acknowledgement, so as_of < a; or
 * - a host that joined at J >= X. It appends changes only after a confirmed
 *   member showed that it knows J. The first such member was a member at X and
 *   attested before it knew J, so as_of < a.
 * A host that left or was declared lost stopped before that record was
 * appended. */
#ifndef SRC_FRESHNESS_BASE_H_
#define SRC_FRESHNESS_BASE_H_

#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include "src/config_type.h"
#include "src/freshness_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Returns the position of `self` in the tree of `members`, which are in member
 * order. The root is the first host of `root_region`, or the first of all if
 * that region has none. The first host of each other region is a child of the
 * root; within a region the hosts form a heap of arity kTreeFanOut. Both lists
 * are empty if `self` is not a member. */
auto TreePosition(std::span<const member> members,
                  const host_id& self,
                  const region_id& root_region) -> tree_position;

/** Attestations of the subtrees of other hosts; each expires `limit` after its
 * as_of. Not thread-safe. */
class attestation_table {
 public:
  explicit attestation_table(duration limit) : limit_(limit) {}

  /** Stores the attestation of `child` in place of its former one. */
  auto Store(const host_id& child, attestation child_attestation) -> void;
  /** Merges `own` with the stored attestations of the same known_offset; as_of
   * is the oldest of them. Attestations that add no rank are left out, so that
   * an old one of a host that has moved to another parent does not age the
   * result. Expired ones are removed. */
  auto Merge(attestation own, time_point now) -> attestation;

 private:
  duration limit_;
  std::map<host_id, attestation> attestations_;
};

/** Freshness state of one controld. Thread-safe; after the configuration in
 * lock order. All times are in the local clock. */
class freshness_tracker {
 public:
  /** Rank of a host that is not a member. */
  static constexpr std::size_t kNoRank =
      std::numeric_limits<std::size_t>::max();

  freshness_tracker(incarnation start, duration limit, time_point now);

  // Commands.

  /** Records that the records before `end` are known to exist. To be called
   * before they are applied, and when an own append is acknowledged. */
  auto RecordSeen(log_offset end) -> void;
  /** Records that exactly the records before `next` are applied, with the own
   * rank and the number of members that result from them. With kNoRank the host
   * has left or was declared lost, and has to join again. */
  auto SetApplied(log_offset next, std::size_t rank, std::size_t members)
      -> void;
  /** Records the offset of the join record; the host is unconfirmed from then
   * on. */
  auto SetJoined(log_offset join) -> void;
  /** Confirms this host if another, confirmed host has applied its join record;
   * `peer_next` is the end of what that host has applied. Returns whether this
   * host is confirmed. */
  auto Confirm(log_offset peer_next) -> bool;
  /** Confirms this host because it is the member with the oldest join record:
   * all hosts that could attest without knowing of it have stopped. */
  auto ConfirmAlone() -> void;
  /** Applies a proof; ignored unless all records before its end are applied. */
  auto ApplyProof(const freshness_proof& proof) -> void;
  /** Applies an attestation that covers all members at its known_offset. */
  auto ApplyFleetAttestation(const attestation& fleet) -> void;
  /** Records that a daemon pulled the records from `from` on here. This host's
   * attestations include that daemon, also one of another host, until the proof
   * that it received has expired. `daemon` is unique among all hosts. */
  auto RecordDaemonPull(const std::string& daemon,
                        daemon_place place,
                        log_offset from,
                        time_point now) -> void;
  /** Stores a child's attestation, which was `age` old when the child's request
   * was sent. Ignored without an echo of a reply of this host, since the
   * request may have been in transit for any time. */
  auto HandleChildAttestation(const host_id& child,
                              log_offset known_offset,
                              rank_set covered,
                              duration age,
                              const reply_echo& echo,
                              time_point now) -> void;
  /** Returns the attestation of this host's subtree, nothing while this host
   * cannot attest. If it covers all members it becomes that of the fleet. */
  auto MergeAttestations(time_point now) -> std::optional<attestation>;

  // Queries.

  /** The newest proof for the applied records; as_of is min() if there is none.
   */
  auto Proof() const -> freshness_proof;
  /** Whether this host is confirmed and its proof has not expired. */
  auto IsFresh(time_point now) const -> bool;
  /** Whether this host may serve records and append changes. */
  auto IsConfirmed() const -> bool;
  /** The newest attestation that covers all members, if any. */
  auto FleetAttestation() const -> std::optional<attestation>;
  /** Whether every member and its daemons have applied the record at `offset`.
   */
  auto AppliedEverywhere(log_offset offset) const -> bool;
  /** Time from which on a change whose append was acknowledged at
   * `acknowledged` is in force on every host that still serves, even without
   * any attestation. */
  auto AcceptedAt(time_point acknowledged) const -> time_point;
  /** Whether a daemon of this host may still serve on a proof from here. */
  auto HasActiveDaemon(time_point now) const -> bool;

 private:
  struct daemon_pull {
    daemon_place place;
    log_offset from;          ///< The daemon has applied the records before.
    time_point active_until;  ///< Its proof has expired by then.
  };

  auto ApplyFleetAttestationLocked(const attestation& fleet) -> void;
  auto ApplyProofLocked(const freshness_proof& proof) -> void;
  auto MayAttest(time_point now) const -> bool;

  mutable std::mutex mutex_;
  incarnation start_;
  duration limit_;
  // Until then daemons may serve on a proof from this host's former controld.
  time_point attest_from_;
  log_offset seen_;
  log_offset applied_;
  std::size_t rank_ = kNoRank;
  std::size_t members_ = 0;
  std::optional<log_offset> joined_;
  bool confirmed_ = false;
  time_point as_of_ = time_point::min();
  std::optional<attestation> fleet_attestation_;
  log_offset applied_everywhere_;
  std::map<std::string, daemon_pull> daemons_;
  attestation_table attestations_;
};

}  // namespace dogwood

#endif  // SRC_FRESHNESS_BASE_H_
