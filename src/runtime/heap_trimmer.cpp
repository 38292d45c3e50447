#include "runtime/heap_trimmer.hpp"

#include <malloc.h>

#include <cstddef>

namespace quota_gateway::net {
namespace {

constexpr Duration kCheckInterval = 1'000'000;   // us
constexpr std::size_t kMinFreedBytes = 1 << 20;  // less is not worth a walk through the heap
constexpr std::size_t kMinPeakToUsedRatio = 2;   // no trimming while the memory is about to be used again
constexpr std::size_t kKeptFreeBytesAtEndOfHeap = 0;

}  // namespace

void HeapTrimmer::start() {
  timers_.schedule_after(kCheckInterval, [this] {
    check();
    start();
  });
}

void HeapTrimmer::check() {
  const std::size_t peak = memory_.take_peak_bytes();
  const std::size_t used = memory_.used_bytes();
  if (peak < used + kMinFreedBytes || peak < kMinPeakToUsedRatio * used) return;
  ::malloc_trim(kKeptFreeBytesAtEndOfHeap);
}

}  // namespace quota_gateway::net
