/** Batch requests on partitions that this host owns. All fail with
 * kUnavailable if this host does not own the partition. */
#ifndef SRC_BATCHD_JOB_H_
#define SRC_BATCHD_JOB_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "src/batchd_base.h"

namespace dogwood {

/** Makes a submission durable and returns the job's status as JSON. A resend
 * with the same key and body returns the same job; with another body it fails
 * with kConflict. */
auto SubmitJob(batchd& d, partition_id partition, job_submission submission)
    -> boost::asio::awaitable<outcome<std::string>>;

/** Makes a cancel durable and returns the job's status as JSON. */
auto CancelJob(batchd& d, job_address job, workspace_id workspace)
    -> boost::asio::awaitable<outcome<std::string>>;

/** Returns the status of a job as JSON. */
auto ReadJob(batchd& d, const job_address& job, const workspace_id& workspace)
    -> outcome<std::string>;

/** Returns the results of an ended job, one line per item. With `first`,
 * returns those from this item on, up to the size limit of an answer. Fails
 * with kConflict if the job has not ended, and with kTooLarge if `first` is not
 * set and the results exceed the limit. */
auto ReadResults(batchd& d,
                 const job_address& job,
                 const workspace_id& workspace,
                 std::optional<std::uint64_t> first) -> outcome<std::string>;

/** Returns the statuses of a workspace's jobs in one partition. */
auto ListJobs(batchd& d, partition_id partition, const workspace_id& workspace)
    -> outcome<boost::json::array>;

}  // namespace dogwood

#endif  // SRC_BATCHD_JOB_H_
