/** Records of one writer on their way into one stream. */
#ifndef SRC_JOB_APPEND_H_
#define SRC_JOB_APPEND_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "src/job_type.h"

namespace dogwood {

/** How an append ended. */
enum class append_outcome {
  kAppended,     ///< The records are in the log.
  kNotAppended,  ///< They certainly are not.
  kUnknown,      ///< They may be; they are sent again with the same numbers.
};

/** Queue of records. One append is in flight at a time, so that records enter
 * the log in order; a resend is dropped by the fold. Not thread-safe. */
class append_queue {
 public:
  append_queue(host_id host, incarnation start)
      : host_(std::move(host)), start_(start) {}

  /** Writer with the next number. */
  auto NextWriter() -> record_writer;
  /** Adds a record that was made with NextWriter(). */
  auto Push(std::uint64_t seq, std::string text) -> void;
  /** Takes the records of the next append, up to `bytes` of JSON in the body
   * of the append but at least one. Empty if one is in flight. */
  auto Take(std::size_t bytes) -> std::vector<std::string>;
  /** Takes the outcome of the append in flight. */
  auto End(append_outcome end) -> void;
  /** Removes a record; false if it is or may be in the log. */
  auto Withdraw(std::uint64_t seq) -> bool;
  /** Whether nothing waits and nothing is in flight. */
  auto IsEmpty() const -> bool { return entries_.empty(); }
  /** Number of the last record. */
  auto last_seq() const -> std::uint64_t { return last_seq_; }
  /** Bytes that wait or are in flight. */
  auto bytes() const -> std::size_t { return bytes_; }

 private:
  struct entry {
    std::uint64_t seq = 0;   ///< Number.
    std::string text;        ///< The record.
    std::size_t cost = 0;    ///< Bytes in the body of the append.
    bool may_be_in = false;  ///< An append of it had no certain answer.
  };

  host_id host_;
  incarnation start_;
  std::uint64_t last_seq_ = 0;
  std::deque<entry> entries_;
  std::size_t in_flight_ = 0;
  std::size_t bytes_ = 0;
};

/** Bytes that `text` takes as a JSON string. */
auto EscapedSize(const std::string& text) -> std::size_t;

}  // namespace dogwood

#endif  // SRC_JOB_APPEND_H_
