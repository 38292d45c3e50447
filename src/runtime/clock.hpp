// The clock of one gateway.
#pragma once

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Advances with the steady clock, so that a step of the wall clock does not change measured durations. Starts
// at the current time of the wall clock, unless it continues the clock of another process.
class Clock {
 public:
  Clock();
  // Continues the clock of another process on this machine, given the offset of that clock from the
  // steady clock in microseconds.
  explicit Clock(Duration offset_from_steady);
  Clock(const Clock&) = default;
  Clock& operator=(const Clock&) = default;
  Clock(Clock&&) = default;
  Clock& operator=(Clock&&) = default;
  virtual ~Clock() = default;

  [[nodiscard]] virtual TimePoint now() const;
  // Returns the time of the wall clock, by which endpoints report their start and gateways name the epochs of
  // their counters.
  [[nodiscard]] virtual TimePoint wall_now() const;
  // Returns the offset of this clock from the steady clock in microseconds.
  [[nodiscard]] Duration offset_from_steady() const { return offset_from_steady_; }

 private:
  Duration offset_from_steady_ = 0;
};

}  // namespace quota_gateway::net
