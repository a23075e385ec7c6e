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

/** Milliseconds since the Unix epoch. Records carry it, because readers on
 * other hosts share no steady clock with the writer. */
using unix_ms = strong<struct unix_ms_tag, std::uint64_t>;

/** One item of one job. A job is known by the offset of its commit. */
struct item_ref {
  log_offset job;           ///< Offset of the commit record.
  std::uint32_t index = 0;  ///< Position in the job, from 0.
  auto operator==(const item_ref& other) const -> bool {
    return job == other.job && index == other.index;
  }
  // Not defaulted: clang-tidy 14 takes the 0 in such a one for a null pointer.
  auto operator<(const item_ref& other) const -> bool {
    return job != other.job ? job < other.job : index < other.index;
  }
};

/** What an item asks for. */
struct item_request {
  std::string custom_id;  ///< Caller's name of it, unique in the job.
  std::string method;     ///< HTTP method.
  std::string url;        ///< Path, as in the caller interface.
  std::string target;     ///< "model/NAME" or "route/NAME".
  std::string body;       ///< Body as JSON text.
};

/** Progress of an item. */
enum class item_state : std::uint8_t {
  kAbsent,     ///< Not read yet: its records were before the retained range.
  kQueued,     ///< Waits for a server or runs on one.
  kStarted,    ///< May not be repeated and may have been sent to a server.
  kCompleted,  ///< Has its result.
};

/** State of one item: 64 bytes besides its text. */
struct job_item {
  std::string text;          ///< Request as JSON; the result once completed.
  log_offset anchor;         ///< Oldest offset that rebuilds this state.
  log_offset touched;        ///< Last fenced record that names it.
  std::uint32_t target = 0;  ///< Index into job_state::targets.
  item_state state = item_state::kAbsent;  ///< Progress.
  bool failed = false;                     ///< The result is an error line.
};

/** State of one job. */
struct job_state {
  log_offset id;           ///< Offset of its commit record.
  workspace_id workspace;  ///< Who submitted it.
  std::string key;         ///< Idempotency key.
  std::string digest;      ///< SHA-256 of the submitted body.
  unix_ms created;         ///< When it was submitted.
  unix_ms keep_until;      ///< Once ended, it is dropped after this.
  bool cancelled = false;  ///< No item completes any more.
  log_offset anchor;       ///< Oldest offset that rebuilds the header.
  log_offset touched;      ///< Last record that names the header.
  std::vector<std::string> targets;  ///< Distinct targets of its items.
  std::vector<job_item> items;       ///< In order of submission.
  std::size_t completed = 0;         ///< Items that are completed.
  std::size_t failed = 0;            ///< Of those, error lines.

  /** Whether no item can change any more. */
  auto HasEnded() const -> bool {
    return cancelled || completed == items.size();
  }
};

/** What a caller submits. */
struct job_submission {
  workspace_id workspace;           ///< Who.
  std::string key;                  ///< Idempotency key.
  std::string digest;               ///< SHA-256 of the body.
  std::vector<item_request> items;  ///< In order.
};

/** Limits of a submission. */
struct job_limits {
  std::size_t items = 310000;       ///< Most items of a job.
  std::size_t line_bytes = 131072;  ///< Longest line.
};

/** Kinds of records in a stream of jobs. */
enum class job_record_kind {
  kClaim,    ///< A host becomes owner; its offset is the epoch.
  kSubmit,   ///< Some items of an upload.
  kCommit,   ///< Makes an upload a job.
  kCancel,   ///< Ends a job.
  kStarted,  ///< Items that may not be repeated are about to be sent.
  kDone,     ///< Results.
  kKeep,     ///< Part of a job, written again before retention passes.
  kBase,     ///< All that lives was submitted or kept since the claim.
  kDrop,     ///< Forgets a job that has ended.
  kUnknown,  ///< Not a record.
};

/** What Apply() made of a record. */
struct fold_report {
  apply_status verdict = apply_status::kInvalid;     ///< Outcome.
  job_record_kind kind = job_record_kind::kUnknown;  ///< Kind.
  record_writer writer;                              ///< Writer.
  std::optional<log_offset> job;                     ///< Job it names.
  std::vector<item_ref> items;                       ///< Items it names.
};

/** Result of one item on its way into the log. */
struct item_result {
  item_ref item;        ///< Which item.
  bool failed = false;  ///< It is an error line.
  std::string line;     ///< Line of the results, JSON without line break.
};

/** Counts of a job's items, for its status. */
struct job_counts {
  std::size_t total = 0;      ///< All.
  std::size_t completed = 0;  ///< With an answer.
  std::size_t failed = 0;     ///< With an error line.
};

}  // namespace dogwood

#endif  // SRC_JOB_TYPE_H_
