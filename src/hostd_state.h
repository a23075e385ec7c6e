/** What a host knows of the declared state, the registrations of servers and
 * the members, whether it comes from the store or from another host. */
#ifndef SRC_HOSTD_STATE_H_
#define SRC_HOSTD_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/deployment.h"
#include "src/fleet.h"
#include "src/store_type.h"
#include "src/unit_type.h"

namespace dogwood {

struct host_state;

/** Applies a declared state if it is newer than the current one. Returns false
 * if it is older or cannot be read. */
auto ApplyState(host_state& host, const std::string& text) -> bool;

/** Applies the newest declared state of consecutive records that can be read.
 */
auto ApplyNewestState(host_state& host,
                      const std::vector<keyed_record>& records) -> void;

/** Returns the data centres that are evacuated after `records`, given those
 * that were before them. */
auto EvacuatedAfter(data_centre_set evacuated,
                    const std::vector<keyed_record>& records)
    -> data_centre_set;

/** Makes `evacuated` the evacuated data centres, as of `position` in the log of
 * the declared state. */
auto ApplyEvacuations(host_state& host,
                      const data_centre_set& evacuated,
                      log_offset position) -> void;

/** Returns the number of evacuated data centres that the settings name. */
auto EvacuatedCount(const host_state& host) -> std::size_t;

/** Applies a view of the members: partitions, dispatcher and feed sources. */
auto ApplyView(host_state& host, fleet_view view) -> void;

/** Registrations of servers on a host. A removal that follows a gap in the log
 * is deferred, since the registration may only have lapsed with the store. */
class registration_table {
 public:
  explicit registration_table(host_state& host) : host_(host) {}

  /** Records that the log of the registrations was read at `now` after it had
   * not been followed for a while: servers that miss from now on may be
   * registered again. */
  auto NoteGap(time_point now) -> void;
  /** Stores a registration, or removes it if there is no text. */
  auto Apply(const std::string& id, const std::optional<std::string>& text)
      -> void;
  /** Records that a server has said in an answer, or to another host, that it
   * leaves. It gets no new requests from then on, whatever its registration
   * says, until it starts again. */
  auto RecordLeaving(const server_id& id) -> void;
  /** Returns the servers that leave, but whose registrations do not say so. */
  auto AnnouncedLeaving() const -> std::vector<server_id>;
  /** Removes a registration for good. */
  auto Drop(const std::string& id) -> void;
  /** Removes all registrations but those of `present`. */
  template <typename Ids>
  auto RemoveAbsent(const Ids& present) -> void {
    for (const auto& id : journal_.Ids()) {
      if (!present.contains(id)) {
        Remove(id);
      }
    }
  }
  /** Drops all registrations but those of `present`. */
  template <typename Ids>
  auto DropAbsent(const Ids& present) -> void {
    for (const auto& id : journal_.Ids()) {
      if (!present.contains(id)) {
        Drop(id);
      }
    }
  }
  /** Drops deferred registrations that were not renewed in time. */
  auto Expire(time_point now) -> void;
  /** Tells the rest of the host about changes since the last call. */
  auto Publish() -> void;

  auto journal() const -> const registration_journal& { return journal_; }

 private:
  auto Remove(const std::string& id) -> void;
  /** Counts a registration that names no usable server, and logs it once. */
  auto Reject(const failure& error) -> void;

  /** A server's statement that it leaves. */
  struct leaving_note {
    std::uint64_t start = 0;  ///< Start of the server that said so.
    time_point expires;       ///< The server has ended by then.
  };
  auto HasSaidLeaving(const registered_server& server) const -> bool;

  host_state& host_;
  registration_journal journal_;
  /** Servers by their registrations alone. */
  std::map<server_id, registered_server> registered_;
  std::map<server_id, leaving_note> leaving_;
  /** Messages that were logged about unusable registrations, by id. */
  std::map<std::string, std::string> rejected_;
  std::uint64_t published_ = 0;  // Revision at the last Publish().
  /** Removals are deferred until then. */
  time_point doubtful_until_;
  /** When the deferred removals take effect, by id. Later gaps do not move it.
   */
  std::map<std::string, time_point> deferred_;
};

}  // namespace dogwood

#endif  // SRC_HOSTD_STATE_H_
