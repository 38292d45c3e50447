#include "runtime/clock.hpp"

#include <chrono>

namespace quota_gateway::net {
namespace {

template <typename StandardClock>
TimePoint microseconds_since_epoch() {
  const auto since_epoch = StandardClock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

TimePoint wall_time() { return microseconds_since_epoch<std::chrono::system_clock>(); }

TimePoint steady_time() { return microseconds_since_epoch<std::chrono::steady_clock>(); }

}  // namespace

Clock::Clock() : Clock(wall_time() - steady_time()) {}

Clock::Clock(Duration offset_from_steady) : offset_from_steady_(offset_from_steady) {}

TimePoint Clock::now() const { return steady_time() + offset_from_steady_; }

TimePoint Clock::wall_now() const { return wall_time(); }

}  // namespace quota_gateway::net
