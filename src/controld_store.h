/** Records of the stream "config" that controld keeps in memory. */
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

/** A run of records. */
struct record_run {
  log_offset from;                   ///< Offset of the first one.
  std::vector<std::string> records;  ///< In order.
};

/** The newest records without a gap, bounded in number. Thread-safe. */
class record_store {
 public:
  explicit record_store(std::size_t limit) : limit_(limit) {}

  /** Forgets all; the next record is the one at `next`. */
  auto Reset(log_offset next) -> void;
  /** Adds records that start at `from`; those already held are skipped, and
   * those beyond a gap are ignored. */
  auto Add(log_offset from, const std::vector<std::string>& records) -> void;
  /** Up to `limit` records and about `bytes` bytes from `from` on; nothing if
   * those at `from` are no longer held. */
  auto Read(log_offset from, std::size_t limit, std::size_t bytes) const
      -> std::optional<record_run>;
  /** Oldest offset held. */
  auto First() const -> log_offset;
  /** Offset after the newest one. */
  auto Next() const -> log_offset;

 private:
  mutable std::mutex mutex_;
  std::size_t limit_;
  std::uint64_t first_ = 0;
  std::deque<std::string> records_;
};

}  // namespace dogwood

#endif  // SRC_CONTROLD_STORE_H_
