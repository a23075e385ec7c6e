/** Heap usage, for the bytes-per-entry counters of the benchmarks. */
#ifndef BENCH_BENCH_MEMORY_H_
#define BENCH_BENCH_MEMORY_H_

#include <malloc.h>

namespace dogwood::bench {

/** Returns the bytes that are allocated by malloc() and not yet freed. */
inline auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace dogwood::bench

#endif  // BENCH_BENCH_MEMORY_H_
