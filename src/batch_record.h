/** Records of a partition of batch jobs. Internal to library batch.
 *
 * A record is a line of JSON and raw bytes. A submission may be longer than a
 * record may be, so it is cut into parts, which are appended together. */
#ifndef SRC_BATCH_RECORD_H_
#define SRC_BATCH_RECORD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/batch_type.h"
#include "src/error_type.h"

namespace dogwood {

/** Part of a submission. */
struct submission_part {
  batch_id job;           ///< Which job.
  std::size_t part = 0;   ///< From 0.
  std::size_t parts = 1;  ///< Of how many.
  std::string bytes;      ///< A piece of EncodeSubmission().
};

/** The result of an item. */
struct result_record {
  batch_id job;         ///< Which job.
  batch_result result;  ///< Result.
};

/** Events of an item that has not ended, so that a new owner of the partition
 * goes on after them. */
struct progress_record {
  batch_id job;                   ///< Which job.
  batch_item_id item;             ///< Which item.
  std::uint64_t after_event = 0;  ///< The last event recorded before.
  batch_progress added;           ///< New last event, and what follows it.
};

/** The end of a job by its caller. */
struct end_record {
  batch_id job;  ///< Which job.
};

using batch_record =
    std::variant<submission_part, result_record, progress_record, end_record>;

/** A submission as bytes. */
auto EncodeSubmission(const batch_submission& submission) -> std::string;
/** Reverses EncodeSubmission(). Fails with kBadRequest. */
auto DecodeSubmission(std::string_view bytes) -> outcome<batch_submission>;

/** Records of a submission, of at most about `record_bytes` each. */
auto SubmissionRecords(const batch_submission& submission,
                       std::size_t record_bytes) -> std::vector<std::string>;
/** Record of a result. */
auto ResultRecord(const batch_id& job, const batch_result& result)
    -> std::string;
/** Record of what `now` has beyond `recorded`. */
auto ProgressRecord(const batch_id& job,
                    const batch_item_id& item,
                    const batch_progress& recorded,
                    const batch_progress& now) -> std::string;
/** Record of a job's end. */
auto EndRecord(const batch_id& job) -> std::string;

/** Reads a record, nothing if it is none. */
auto ParseBatchRecord(std::string_view record) -> std::optional<batch_record>;

}  // namespace dogwood

#endif  // SRC_BATCH_RECORD_H_
