/** Text formats of job records, result lines and job ids. */
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

/** Returns "batch-PARTITION-OFFSET". */
auto FormatJobId(partition_id partition, log_offset job) -> job_id;

/** Components of a job id. */
struct job_address {
  partition_id partition;
  log_offset job;  ///< Offset of the commit record.
};

/** Parses the result of FormatJobId(). Returns std::nullopt if `id` has another
 * form. */
auto ParseJobId(std::string_view id) -> std::optional<job_address>;

/** Returns the partition that holds the jobs of a workspace and idempotency
 * key. */
auto PartitionOf(const workspace_id& workspace,
                 std::string_view key,
                 std::uint32_t partitions) -> partition_id;

/** Parses the JSONL body of a submission. Fails with kBadRequest, listing the
 * invalid lines up to a maximum, or with kTooLarge. */
auto ParseItems(std::string_view body, const job_limits& limits)
    -> result<std::vector<item_request>>;

/** Returns the name of a record kind, as in the field "kind". */
auto NameOf(job_record_kind kind) -> std::string_view;
/** Returns the record kind of a name, kUnknown if there is none. */
auto JobRecordKindOf(std::string_view name) -> job_record_kind;

/** Formats a record of `fields` by `writer`. */
auto FormatRecord(job_record_kind kind,
                  const record_writer& writer,
                  boost::json::object fields) -> std::string;

/** Returns the fields of an item in a record. */
auto ItemFields(const item_request& item) -> boost::json::object;
/** Parses the result of ItemFields(). Missing fields are empty. */
auto ItemOf(const boost::json::object& fields) -> item_request;

/** Returns the fields of a done record. */
auto DoneFields(epoch current,
                unix_ms now,
                unix_ms keep_until,
                std::span<const item_result> results) -> boost::json::object;
/** Returns the fields of a started record. */
auto StartedFields(epoch current, std::span<const item_ref> items)
    -> boost::json::object;

/** Returns the result line of an answer. `body` is embedded if it is JSON,
 * quoted if it is other valid UTF-8, and hex-encoded otherwise. */
auto AnswerLine(std::string_view custom_id,
                unsigned status,
                std::string_view body) -> std::string;
/** Returns the result line of an item that has no answer. */
auto ErrorLine(std::string_view custom_id,
               std::string_view code,
               std::string_view message) -> std::string;

/** Returns whether `text`, as a string in a record, fits into one append. */
auto FitsRecord(std::string_view text) -> bool;

}  // namespace dogwood

#endif  // SRC_JOB_RECORD_H_
