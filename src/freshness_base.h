/** Freshness of one host: what its controld has proved and vouches for.
 *
 * Why a vouch that covers all members is a proof. Let C be a record at or
 * beyond the vouch's known_offset X whose append was acknowledged at `a`. The
 * host that was acknowledged is
 * - a member at X: it vouched at or after `as_of` without knowing of the
 *   acknowledgement, so as_of < a; or
 * - a host that joined at J >= X. It appends changes only after a confirmed
 *   member showed that it knows J. The first such member was a member at X and
 *   vouched before it knew J, so as_of < a.
 * A host that left or was lost has ended before its record was appended. */
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

/** Position of `self` among `members`, which are in member order. The root is
 * the first host of `root_region`, or the first of all if that has none; the
 * first host of each other region is its child; a region is a heap with
 * kTreeFanOut children. Both lists are empty if `self` is no member. */
auto TreePosition(std::span<const member> members,
                  const host_id& self,
                  const region_id& root_region) -> tree_position;

/** Vouches of other hosts' subtrees, each until its deadline. */
class attestation_table {
 public:
  explicit attestation_table(duration limit) : limit_(limit) {}

  /** Stores the vouch of `child`, in place of its former one. */
  auto Take(const host_id& child, attestation given) -> void;
  /** `own` united with those of the same known_offset; the oldest as_of. A
   * vouch that adds no rank is left out, so that the old vouch of a host that
   * has moved to another parent does not age the result. */
  auto Merge(attestation own, time_point now) -> attestation;

 private:
  duration limit_;
  std::map<host_id, attestation> vouches_;
};

/** Freshness state of one controld. Thread-safe; after the configuration in
 * lock order. All times are of the local clock. */
class freshness_tracker {
 public:
  /** Rank of a host that is no member. */
  static constexpr std::size_t kNoRank =
      std::numeric_limits<std::size_t>::max();

  freshness_tracker(incarnation start, duration limit, time_point now);

  // Commands.

  /** Notes that records before `end` are known to exist: called before they
   * are applied, and when an own append is acknowledged. */
  auto RecordSeen(log_offset end) -> void;
  /** Notes that exactly the records before `next` are applied, and the own
   * rank and the number of members that follow from them. With kNoRank the host
   * has left or was declared lost, and has to join again. */
  auto SetApplied(log_offset next, std::size_t rank, std::size_t members)
      -> void;
  /** Notes the join record at `join`; the host is unconfirmed from now on. */
  auto SetJoined(log_offset join) -> void;
  /** Takes the end of what another, confirmed host has applied; confirms this
   * host if that includes its join record. Returns whether it is confirmed. */
  auto Confirm(log_offset peer_next) -> bool;
  /** Confirms a host that is the member with the oldest join record: all that
   * could vouch without knowing of it have ended. */
  auto ConfirmAlone() -> void;
  /** Takes a proof; it counts only if all records before its end are applied.
   */
  auto ApplyProof(const freshness_proof& proof) -> void;
  /** Takes a vouch that covers all members at its known_offset. */
  auto ApplyFleetAttestation(const attestation& fleet) -> void;
  /** Notes that a daemon asked here for the records from `from` on. This host
   * vouches for it until the proof that it gets has expired, also if it is a
   * daemon of another host. `daemon` is unique among all hosts. */
  auto RecordDaemonPull(const std::string& daemon,
                        daemon_place place,
                        log_offset from,
                        time_point now) -> void;
  /** Takes a child's vouch that was `age` old when its request was sent.
   * Ignored without an echo of a reply of this host, since the request may
   * have been under way for any time. */
  auto HandleChildAttestation(const host_id& child,
                              log_offset known_offset,
                              rank_set covered,
                              duration age,
                              const reply_echo& echo,
                              time_point now) -> void;
  /** The vouch for this host's subtree, nothing while this host cannot vouch.
   * If it covers all members it becomes the fleet's. */
  auto MergeAttestations(time_point now) -> std::optional<attestation>;

  // Queries.

  /** The newest proof for what is applied; as_of is min() if there is none. */
  auto Proof() const -> freshness_proof;
  /** Whether the proof is young enough, and this host is confirmed. */
  auto IsFresh(time_point now) const -> bool;
  /** Whether this host may serve records and append changes. */
  auto IsConfirmed() const -> bool;
  /** The newest vouch that covers all members, if any. */
  auto FleetAttestation() const -> std::optional<attestation>;
  /** Whether every member and its daemons have applied the record there. */
  auto AppliedEverywhere(log_offset offset) const -> bool;
  /** When a change whose append was acknowledged at `acknowledged` is in force
   * or refused everywhere, whatever hosts answered. */
  auto AcceptedAt(time_point acknowledged) const -> time_point;
  /** Whether a local daemon may still serve on what it pulled here. */
  auto HasActiveDaemon(time_point now) const -> bool;

 private:
  struct daemon_pull {
    daemon_place place;       ///< Whose daemon it is.
    log_offset from;          ///< It has applied the records before.
    time_point active_until;  ///< Its proof has expired by then.
  };

  auto ApplyFleetAttestationLocked(const attestation& fleet) -> void;
  auto ApplyProofLocked(const freshness_proof& proof) -> void;
  auto MayAttest(time_point now) const -> bool;

  mutable std::mutex mutex_;
  incarnation start_;
  duration limit_;
  // Daemons may serve on a proof that this host's former controld gave them.
  time_point vouch_from_;
  log_offset seen_;
  log_offset applied_;
  std::size_t rank_ = kNoRank;
  std::size_t members_ = 0;
  std::optional<log_offset> joined_;
  bool confirmed_ = false;
  time_point as_of_ = time_point::min();
  std::optional<attestation> fleet_;
  log_offset applied_everywhere_;
  std::map<std::string, daemon_pull> daemons_;
  attestation_table vouches_;
};

}  // namespace dogwood

#endif  // SRC_FRESHNESS_BASE_H_
