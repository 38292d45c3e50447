// Returns freed memory to the system, which the allocator would otherwise keep.
#pragma once

#include "network/body_budget.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Trims the heap after the buffers of the connections have freed much of their memory. The allocator by
// itself returns only what lies at the end of the heap.
class HeapTrimmer {
 public:
  HeapTrimmer(Timers& timers, BodyBudget& budget) : timers_(timers), budget_(budget) {}

  // Begins to check periodically whether to trim the heap.
  void start();

 private:
  void check();

  Timers& timers_;
  BodyBudget& budget_;
};

}  // namespace quota_gateway::net
