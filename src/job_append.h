/** Queue of records that one writer appends to one stream of the log. */
#ifndef SRC_JOB_APPEND_H_
#define SRC_JOB_APPEND_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "src/job_type.h"

namespace dogwood {

/** Outcome of an append. */
enum class append_outcome {
  kAppended,     ///< The records are in the log.
  kNotAppended,  ///< The records are certainly not in the log.
  kUnknown,  ///< They may be in the log; resent with the same sequence numbers.
};

/** FIFO queue of records. At most one append is in flight, so that records
 * enter the log in order. Readers deduplicate resent records by their sequence
 * number. Not thread-safe. */
class append_queue {
 public:
  append_queue(host_id host, incarnation start)
      : host_(std::move(host)), start_(start) {}

  /** Returns the writer fields of the next record: this host, its start and
   * the next sequence number. */
  auto NextWriter() -> record_writer;
  /** Adds a record that was formatted with the result of NextWriter(). */
  auto Push(std::uint64_t seq, std::string text) -> void;
  /** Returns the records of the next append: at least one, and otherwise at
   * most `bytes` of JSON in the request body. The records stay queued until
   * the outcome is known. Empty if an append is in flight or nothing is
   * queued. */
  auto StartAppend(std::size_t bytes) -> std::vector<std::string>;
  /** Handles the outcome of the append in flight: drops its records if they
   * were appended and keeps them for a resend otherwise. */
  auto HandleOutcome(append_outcome end) -> void;
  /** Removes a queued record. Returns false if it is in the log or may be. */
  auto Withdraw(std::uint64_t seq) -> bool;
  /** Returns whether no record is queued or in flight. */
  auto IsEmpty() const -> bool { return entries_.empty(); }
  /** Sequence number of the last record. */
  auto last_seq() const -> std::uint64_t { return last_seq_; }
  /** Encoded bytes of the records that are queued or in flight. */
  auto bytes() const -> std::size_t { return bytes_; }

 private:
  struct entry {
    std::uint64_t seq = 0;  ///< Sequence number.
    std::string text;
    std::size_t encoded_size = 0;  ///< Bytes in the request body.
    bool may_be_appended = false;  ///< An append had an unknown outcome.
  };

  host_id host_;
  incarnation start_;
  std::uint64_t last_seq_ = 0;
  std::deque<entry> entries_;
  std::size_t in_flight_ = 0;
  std::size_t bytes_ = 0;
};

/** Returns the bytes that `text` takes as a JSON string, with its quotes and
 * the separator that follows. */
auto EscapedSize(const std::string& text) -> std::size_t;

}  // namespace dogwood

#endif  // SRC_JOB_APPEND_H_
