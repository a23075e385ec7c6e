/** Detection of requests that crash the servers that answer them. */
#ifndef SRC_DISPATCH_QUARANTINE_H_
#define SRC_DISPATCH_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "src/dispatch_type.h"

namespace dogwood {

/** A crash of a server. */
struct server_crash {
  server_id server;
  time_point at;  ///< When its first request broke off.
};

/** Finds the shared parts of prompts whose requests crash servers, from the
 * ends of runs. All requests on a server that crashes break off, so one crash
 * blames sound parts too. These are answered elsewhere, a harmful part never
 * is; and a harmful part was there at each crash that blames another one. Has
 * no clock and no I/O. Not thread-safe. */
class prompt_quarantine {
 public:
  /** Records that a server broke off a request before its second event. */
  auto RecordCrash(const prompt_parts& prompt,
                   const server_id& server,
                   time_point now) -> void;
  /** Puts parts under quarantine for which there is enough evidence. Returns
   * whether it found any. */
  auto Decide(time_point now) -> bool;
  /** Records a complete answer, which shows that the parts are sound. */
  auto RecordAnswer(const prompt_parts& prompt, time_point now) -> void;
  /** Takes over what another host has found, unless it was refuted here. */
  auto Merge(std::span<const quarantined_part> found, time_point now) -> void;
  /** Replaces all by what the dispatcher has found. */
  auto Replace(std::span<const quarantined_part> found) -> void;

  /** Whether a part of the prompt is under quarantine. */
  auto Contains(const prompt_parts& prompt, time_point now) const -> bool;
  /** Returns all parts under quarantine. */
  auto Entries(time_point now) const -> std::vector<quarantined_part>;

 private:
  /** Evidence against a part since it was last answered. */
  struct suspicion {
    std::vector<server_crash> crashes;
    std::set<prompt_part_id> requests;  ///< Last parts of the requests.
    time_point expires;                 ///< Unless there is another crash.
  };

  /** Returns the crashes of which all hosts have reported by `now`. */
  static auto ReportedCrashes(const suspicion& evidence, time_point now)
      -> std::vector<server_crash>;
  /** Whether another part was there at all these crashes of a part, and at more
   * of them. */
  auto IsExplained(prompt_part_id part,
                   std::span<const server_crash> crashes,
                   time_point now) const -> bool;
  auto Prune(time_point now) -> void;

  std::map<prompt_part_id, suspicion> suspects_;
  /** Until when a part counts as sound because it was answered. */
  std::map<prompt_part_id, time_point> answered_;
  /** End of the quarantine by part. A part that is let out stays listed for a
   * while, and a single crash puts it back. */
  std::map<prompt_part_id, time_point> quarantined_;
  time_point decide_due_;  ///< When the evidence is examined next.
};

/** Finds requests that crash servers as a whole and come again, with the same
 * content, from the ends of runs. A sound request that is on a server that
 * crashes is answered by the next one, so it is hardly there at three crashes;
 * if it was, one run at a time shows after a while whether it is sound. Has no
 * clock and no I/O. Not thread-safe. */
class request_quarantine {
 public:
  /** Records that a server broke off a request before its second event. Puts
   * the request under quarantine if that is its third crash since it was last
   * answered. */
  auto RecordCrash(request_hash content,
                   const server_id& server,
                   time_point now) -> void;
  /** Records that the request is sent to a server. After a quarantine this
   * keeps others like it back until the run has ended. */
  auto RecordStart(request_hash content, time_point now) -> void;
  /** Records a complete answer, which shows that the request is sound. */
  auto RecordAnswer(request_hash content, time_point now) -> void;
  /** Takes over what another host has found, unless it was refuted here. */
  auto Merge(std::span<const quarantined_request> found, time_point now)
      -> void;
  /** Replaces all by what the dispatcher has found. */
  auto Replace(std::span<const quarantined_request> found, time_point now)
      -> void;

  /** Whether the request is under quarantine. */
  auto Contains(request_hash content, time_point now) const -> bool;
  /** Returns all requests under quarantine. */
  auto Entries(time_point now) const -> std::vector<quarantined_request>;

 private:
  /** What is known of a request that was there at a crash. */
  struct record {
    std::vector<server_crash> crashes;  ///< Since it was last answered.
    time_point quarantined_until;
    /** Until then other hosts may still report it, although it was answered. */
    time_point refuted_until;
    time_point forget_at;  ///< Unless there is another crash.
  };
  auto Prune(time_point now) -> void;

  std::map<request_hash, record> records_;
};

/** All that is under quarantine. */
struct quarantine_entries {
  std::vector<quarantined_part> parts;
  std::vector<quarantined_request> requests;
};

}  // namespace dogwood

#endif  // SRC_DISPATCH_QUARANTINE_H_
