/** Text of batch records, of result lines and of job ids. */
#ifndef SRC_JOB_RECORD_H_
#define SRC_JOB_RECORD_H_

#include <boost/json/object.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/error_type.h"
#include "src/job_type.h"

namespace dogwood {

/** "batch-PARTITION-OFFSET". */
auto FormatJobId(partition_id partition, log_offset job) -> job_id;

/** A job id taken apart. */
struct job_address {
  partition_id partition;  ///< Stream.
  log_offset job;          ///< Offset of the commit record.
};

/** Reverses FormatJobId(); nothing if `id` has another form. */
auto ParseJobId(std::string_view id) -> std::optional<job_address>;

/** Partition that holds the jobs of (workspace, idempotency key). */
auto PartitionOf(const workspace_id& workspace,
                 std::string_view key,
                 std::uint32_t partitions) -> partition_id;

/** Reads the JSONL body of a submission. Fails with kBadRequest, naming every
 * bad line up to a bound, or kTooLarge. */
auto ParseItems(std::string_view body, const job_limits& limits)
    -> result<std::vector<item_request>>;

/** Name of a record kind, as in the field "kind". */
auto NameOf(job_record_kind kind) -> std::string_view;
/** Kind that a name stands for, kUnknown if none. */
auto JobRecordKindOf(std::string_view name) -> job_record_kind;

/** A record of `fields` by `writer`. */
auto FormatRecord(job_record_kind kind,
                  const record_writer& writer,
                  boost::json::object fields) -> std::string;

/** Fields of an item as records hold them. */
auto ItemFields(const item_request& item) -> boost::json::object;
/** Reverses ItemFields(); missing fields are empty. */
auto ItemOf(const boost::json::object& fields) -> item_request;

/** Fields of a done record. */
auto DoneFields(epoch current,
                unix_ms now,
                unix_ms keep_until,
                std::span<const item_result> results) -> boost::json::object;
/** Fields of a started record. */
auto StartedFields(epoch current, std::span<const item_ref> items)
    -> boost::json::object;

/** Result line of an answer. `body` is embedded if it is JSON, quoted if it is
 * other text, and else given as hex digits. */
auto AnswerLine(std::string_view custom_id,
                unsigned status,
                std::string_view body) -> std::string;
/** Result line of an item that has no answer. */
auto ErrorLine(std::string_view custom_id,
               std::string_view code,
               std::string_view message) -> std::string;

/** Whether `text`, as a string within a record, fits into one append. */
auto FitsRecord(std::string_view text) -> bool;

}  // namespace dogwood

#endif  // SRC_JOB_RECORD_H_
