/** Budget for bytes that several readers hold at the same time. */
#ifndef SRC_BYTE_BUDGET_H_
#define SRC_BYTE_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace dogwood {

/** Number of bytes that all holders together may have. Thread-safe. */
class byte_budget {
 public:
  explicit byte_budget(std::size_t limit) : limit_(limit) {}

  auto SetLimit(std::size_t limit) -> void { limit_ = limit; }

  /** Share of a budget; gives its bytes back on destruction. */
  class share {
   public:
    explicit share(byte_budget& budget) : budget_(budget) {}
    share(const share&) = delete;
    auto operator=(const share&) -> share& = delete;
    ~share() { budget_.used_ -= taken_; }

    /** Takes more bytes. Returns false if the budget is exceeded. */
    auto Take(std::size_t bytes) -> bool {
      taken_ += bytes;
      return (budget_.used_ += bytes) <= budget_.limit_;
    }

   private:
    byte_budget& budget_;
    std::size_t taken_ = 0;
  };

 private:
  std::atomic<std::size_t> limit_;
  std::atomic<std::size_t> used_{0};
};

}  // namespace dogwood

#endif  // SRC_BYTE_BUDGET_H_
