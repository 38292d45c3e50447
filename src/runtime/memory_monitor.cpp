#include "runtime/memory_monitor.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace quota_gateway::net {

MemoryMonitor::MemoryMonitor(const Clock& clock, BodyBudget& budget, std::size_t memory_limit,
                             MemoryInUse memory_in_use)
    : clock_(clock), budget_(budget), memory_in_use_(std::move(memory_in_use)), overload_(memory_limit) {}

void MemoryMonitor::check() {
  const std::size_t used = used_bytes();
  peak_bytes_ = std::max(peak_bytes_, used);
  if (const auto line = overload_.update(clock_.now(), used)) std::cerr << *line << '\n';
  budget_.set_under_pressure(overload_.is_active(OverloadAction::kReduceReads));
}

std::size_t MemoryMonitor::used_bytes() const {
  return memory_in_use_ ? memory_in_use_() : budget_.used_bytes();
}

std::size_t MemoryMonitor::take_peak_bytes() {
  return std::max(std::exchange(peak_bytes_, 0), budget_.take_peak_bytes());
}

}  // namespace quota_gateway::net
