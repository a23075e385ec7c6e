/** Types of batch jobs, their items and their records. */
#ifndef SRC_JOB_TYPE_H_
#define SRC_JOB_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/config_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Milliseconds since the Unix epoch. Used in records, because readers on other
 * hosts do not share the writer's steady clock. */
using unix_ms = strong<struct unix_ms_tag, std::uint64_t>;

/** Reference to an item of a job. */
struct item_ref {
  log_offset job;           ///< Offset of the job's commit record.
  std::uint32_t index = 0;  ///< Position in the job, from 0.
  auto operator==(const item_ref& other) const -> bool {
    return job == other.job && index == other.index;
  }
  // Not defaulted: clang-tidy 14 reports the 0 in a defaulted comparison as a
  // null pointer.
  auto operator<(const item_ref& other) const -> bool {
    return job != other.job ? job < other.job : index < other.index;
  }
};

/** HTTP request of an item. */
struct item_request {
  std::string custom_id;  ///< Caller's id of the item, unique in the job.
  std::string method;
  std::string url;     ///< Path as in the caller's interface.
  std::string target;  ///< "model/NAME" or "route/NAME".
  std::string body;    ///< Body as JSON text.
};

/** Progress of an item. */
enum class item_state : std::uint8_t {
  kAbsent,     ///< Not read yet: its records are before the retained range.
  kQueued,     ///< Waiting for a server or running on one.
  kStarted,    ///< May not be repeated and may have been sent to a server.
  kCompleted,  ///< Has its result.
};

/** State of one item; 64 bytes besides its text. */
struct job_item {
  std::string text;           ///< Request as JSON; result line once completed.
  log_offset rebuild_from;    ///< Oldest offset needed to rebuild this state.
  log_offset last_reference;  ///< Last fenced record that references it.
  std::uint32_t target = 0;   ///< Index into job_state::targets.
  item_state state = item_state::kAbsent;
  bool failed = false;  ///< The result is an error line.
};

/** State of one job. */
struct job_state {
  log_offset id;              ///< Offset of the commit record.
  workspace_id workspace;     ///< Workspace that submitted the job.
  std::string key;            ///< Idempotency key.
  std::string digest;         ///< SHA-256 of the submitted body.
  unix_ms created;            ///< Time of the submission.
  unix_ms keep_until;         ///< An ended job is dropped after this time.
  bool cancelled = false;     ///< No further item can complete.
  log_offset rebuild_from;    ///< Oldest offset needed to rebuild the header.
  log_offset last_reference;  ///< Last record that references the header.
  std::vector<std::string> targets;  ///< Distinct targets of its items.
  std::vector<job_item> items;       ///< In order of submission.
  std::size_t completed = 0;         ///< Number of completed items.
  std::size_t failed = 0;  ///< Number of completed items with an error line.

  /** Returns whether no item can change any more. */
  auto HasEnded() const -> bool {
    return cancelled || completed == items.size();
  }
};

/** Submission of a job by a caller. */
struct job_submission {
  workspace_id workspace;
  std::string key;                  ///< Idempotency key.
  std::string digest;               ///< SHA-256 of the body.
  std::vector<item_request> items;  ///< In order of the body.
};

/** Limits of a submission. */
struct job_limits {
  std::size_t items = 310000;       ///< Maximum number of items in a job.
  std::size_t line_bytes = 131072;  ///< Maximum length of a line.
};

/** Kinds of records in a stream of jobs. */
enum class job_record_kind {
  kClaim,    ///< A host becomes owner; the record's offset is the epoch.
  kSubmit,   ///< One part of an upload: some of its items.
  kCommit,   ///< Turns an upload into a job.
  kCancel,   ///< Cancels a job.
  kStarted,  ///< Items that may not be repeated are about to be sent.
  kDone,     ///< Results of items.
  kKeep,     ///< Part of a job, rewritten before retention removes it.
  kBase,     ///< All live state was submitted or rewritten since the claim.
  kDrop,     ///< Removes a job that has ended.
  kUnknown,  ///< Not a record of this stream.
};

/** Effect of a record that was applied. */
struct apply_report {
  apply_status verdict = apply_status::kInvalid;
  job_record_kind kind = job_record_kind::kUnknown;
  record_writer writer;
  std::optional<log_offset> job;  ///< Job that the record references.
  std::vector<item_ref> items;    ///< Items that the record references.
};

/** Result of one item, as written to the log. */
struct item_result {
  item_ref item;
  bool failed = false;  ///< The line is an error line.
  std::string line;     ///< Result line: JSON without a line break.
};

/** Item counts in the status of a job. */
struct job_counts {
  std::size_t total = 0;
  std::size_t completed = 0;  ///< Items with an answer.
  /** Items with an error line, and unanswered items of a cancelled job. */
  std::size_t failed = 0;
};

}  // namespace dogwood

#endif  // SRC_JOB_TYPE_H_
