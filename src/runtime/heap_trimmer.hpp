// Returns freed memory to the system, which the allocator would otherwise keep.
#pragma once

#include "runtime/memory_monitor.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Trims the heap after much of its memory has been freed. The allocator by
// itself returns only what lies at the end of the heap.
class HeapTrimmer {
 public:
  HeapTrimmer(Timers& timers, MemoryMonitor& memory) : timers_(timers), memory_(memory) {}

  // Begins to check periodically whether to trim the heap.
  void start();

 private:
  void check();

  Timers& timers_;
  MemoryMonitor& memory_;
};

}  // namespace quota_gateway::net
