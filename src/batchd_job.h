/** Batch requests on partitions that this host owns. */
#ifndef SRC_BATCHD_JOB_H_
#define SRC_BATCHD_JOB_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "src/batchd_base.h"

namespace dogwood {

/** Makes a submission durable; the job's status. A resend with the same body
 * gets the same job. */
auto SubmitJob(batchd& d, partition_id partition, job_submission submission)
    -> boost::asio::awaitable<outcome<std::string>>;

/** Makes a cancel durable; the job's status. */
auto CancelJob(batchd& d, job_address job, workspace_id workspace)
    -> boost::asio::awaitable<outcome<std::string>>;

/** Status of a job as JSON. */
auto ReadJob(batchd& d, const job_address& job, const workspace_id& workspace)
    -> outcome<std::string>;

/** Results of an ended job, one line per item. With `first`, those from this
 * item on, as many as an answer may hold. Fails with kConflict if the job has
 * not ended, kTooLarge if all of them are too long for one answer. */
auto ReadResults(batchd& d,
                 const job_address& job,
                 const workspace_id& workspace,
                 std::optional<std::uint64_t> first) -> outcome<std::string>;

/** Statuses of a workspace's jobs in one partition. */
auto ListJobs(batchd& d, partition_id partition, const workspace_id& workspace)
    -> outcome<boost::json::array>;

}  // namespace dogwood

#endif  // SRC_BATCHD_JOB_H_
