// Measures the memory in use and applies the overload manager's decisions to what all modules share.
#pragma once

#include <cstddef>
#include <functional>

#include "network/body_budget.hpp"
#include "overload/overload_manager.hpp"
#include "runtime/clock.hpp"

namespace quota_gateway::net {

// Returns the bytes that the process has allocated and not freed.
using MemoryInUse = std::function<std::size_t()>;

// Checks the memory whenever a module is about to use more of it.
class MemoryMonitor {
 public:
  // Without `memory_in_use`, only the memory of the connections' buffers is known.
  MemoryMonitor(const Clock& clock, BodyBudget& budget, std::size_t memory_limit, MemoryInUse memory_in_use);

  // Updates the overload actions to the memory in use, and logs when one of them begins or ends.
  void check();

  [[nodiscard]] bool is_active(OverloadAction action) const { return overload_.is_active(action); }
  // Counts that an action was applied to a connection or a request.
  void count(OverloadAction action) { overload_.count(action); }

  [[nodiscard]] std::size_t used_bytes() const;
  // Returns the highest value of used_bytes() that was seen since the last call.
  std::size_t take_peak_bytes();

 private:
  const Clock& clock_;
  BodyBudget& budget_;
  const MemoryInUse memory_in_use_;
  OverloadManager overload_;
  std::size_t peak_bytes_ = 0;
};

}  // namespace quota_gateway::net
