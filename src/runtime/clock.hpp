// The clock of one gateway.
#pragma once

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Advances with the steady clock, so that spans are of real time however the wall clock is stepped. It equals
// the wall clock when it is created, unless it continues the clock of another process.
class Clock {
 public:
  Clock();
  // Continues the clock of another process on this machine, which has that offset from the steady clock.
  explicit Clock(Duration offset_from_steady);
  Clock(const Clock&) = default;
  Clock& operator=(const Clock&) = default;
  Clock(Clock&&) = default;
  Clock& operator=(Clock&&) = default;
  virtual ~Clock() = default;

  [[nodiscard]] virtual TimePoint now() const;
  // The wall clock, on which endpoints report their start and gateways name the epochs of their counters.
  [[nodiscard]] virtual TimePoint wall_now() const;
  [[nodiscard]] Duration offset_from_steady() const { return offset_from_steady_; }

 private:
  Duration offset_from_steady_ = 0;
};

}  // namespace quota_gateway::net
