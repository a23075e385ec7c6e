/** In-memory buffer of the newest records of the stream "config". */
#ifndef SRC_CONTROLD_STORE_H_
#define SRC_CONTROLD_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** Consecutive records of a stream. */
struct record_run {
  log_offset from;                   ///< Offset of the first record.
  std::vector<std::string> records;  ///< In offset order.
};

/** Buffers the newest records without a gap, up to a number of records.
 * Thread-safe. */
class record_store {
 public:
  explicit record_store(std::size_t limit) : limit_(limit) {}

  /** Drops all records; the next one to be added is the one at `next`. */
  auto Reset(log_offset next) -> void;
  /** Adds the records from offset `from` on. Records that are already stored or
   * that would leave a gap are ignored. Evicts the oldest beyond the limit. */
  auto Add(log_offset from, const std::vector<std::string>& records) -> void;
  /** Returns up to `limit` records from `from` on. Ends with the record that
   * reaches `bytes` bytes. Returns nothing if the record at `from` was evicted.
   */
  auto Read(log_offset from, std::size_t limit, std::size_t bytes) const
      -> std::optional<record_run>;
  /** Offset of the oldest stored record. */
  auto First() const -> log_offset;
  /** Offset after the newest stored record. */
  auto Next() const -> log_offset;

 private:
  mutable std::mutex mutex_;
  std::size_t limit_;  ///< Maximum number of stored records.
  std::uint64_t first_ = 0;
  std::deque<std::string> records_;
};

}  // namespace dogwood

#endif  // SRC_CONTROLD_STORE_H_
