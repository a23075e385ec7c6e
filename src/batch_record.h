/** Record format of a partition of batch jobs. Internal to library batch.
 *
 * A record is a line of JSON followed by raw bytes. A submission may exceed the
 * maximum size of a record, so it is split into parts, which are appended
 * together. */
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

/** One part of a submission. */
struct submission_part {
  batch_id job;
  std::size_t part = 0;   ///< Number of this part, from 0.
  std::size_t parts = 1;  ///< Total number of parts.
  std::string bytes;      ///< Section of the result of EncodeSubmission().
};

/** The result of an item. */
struct result_record {
  batch_id job;
  batch_result result;
};

/** New events of an item that has not ended, so that a new owner of the
 * partition can resume after them. */
struct progress_record {
  batch_id job;
  batch_item_id item;
  std::uint64_t after_event = 0;  ///< Last event recorded before.
  batch_progress added;           ///< New last event, and the added output.
};

/** Failed run of an item that has not ended. It is in the log before the item
 * runs again, so that a new owner of the partition goes on counting. */
struct failure_record {
  batch_id job;
  batch_item_id item;
  batch_run_id run;  ///< Tells a repeated record from another failure.
};

/** Section of a record that is larger than the store accepts. The sections of a
 * record are appended together, in order. */
struct record_section {
  std::size_t number = 0;  ///< Number of this section, from 0.
  std::size_t count = 1;   ///< Total number of sections.
  std::string bytes;       ///< Part of the record.
};

/** End of a job, requested by its caller. */
struct end_record {
  batch_id job;
};

using batch_record = std::variant<submission_part,
                                  result_record,
                                  progress_record,
                                  failure_record,
                                  end_record,
                                  record_section>;

/** Encodes a submission as a line of JSON and the items' bodies. */
auto EncodeSubmission(const batch_submission& submission) -> std::string;
/** Decodes the result of EncodeSubmission(). Fails with kBadRequest. */
auto DecodeSubmission(std::string_view bytes) -> outcome<batch_submission>;

/** Maximum sizes that the store accepts. */
struct append_limits {
  std::size_t record_bytes = 0;  ///< Of one record.
  std::size_t append_bytes = 0;  ///< Of all records of one append.
};

/** Returns the records of a submission, each of about `record_bytes` at most.
 */
auto SubmissionRecords(const batch_submission& submission,
                       std::size_t record_bytes) -> std::vector<std::string>;
/** As above, for the submission of `job` that EncodeSubmission() has encoded.
 */
auto SplitSubmission(const batch_id& job,
                     std::string_view encoded,
                     std::size_t record_bytes) -> std::vector<std::string>;
/** Whether one append can hold all records. */
auto FitAppend(const std::vector<std::string>& records,
               const append_limits& limits) -> bool;
/** Returns the record of a result. */
auto ResultRecord(const batch_id& job, const batch_result& result)
    -> std::string;
/** Returns the record of the progress that `now` has beyond `recorded`. */
auto ProgressRecord(const batch_id& job,
                    const batch_item_id& item,
                    const batch_progress& recorded,
                    const batch_progress& now) -> std::string;
/** Returns the record of a failed run. */
auto FailureRecord(const batch_id& job,
                   const batch_item_id& item,
                   batch_run_id run) -> std::string;
/** Returns the record of the end of a job. */
auto EndRecord(const batch_id& job) -> std::string;

/** Returns the records by which a record is stored: the record itself, or its
 * sections if it is larger than `record_bytes`. */
auto SplitRecordToFit(std::string record, std::size_t record_bytes)
    -> std::vector<std::string>;

/** Parses a record. Returns std::nullopt if it is malformed or of a kind that
 * this version does not know. */
auto ParseBatchRecord(std::string_view record) -> std::optional<batch_record>;

}  // namespace dogwood

#endif  // SRC_BATCH_RECORD_H_
