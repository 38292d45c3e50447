#include "network/reconnect_backoff.hpp"

#include <algorithm>
#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Duration kLogInterval = 10'000'000;  // us between two lines of one subsystem

}  // namespace

Duration ReconnectBackoff::next_delay(const Limits& limits) {
  const Duration delay = delay_;
  delay_ = std::clamp(2 * delay_, limits.min, limits.max);
  return delay;
}

void RateLimitedLog::write(TimePoint now, const std::string& message) {
  if (now - last_written_at_ <= kLogInterval) return;
  last_written_at_ = now;
  std::cerr << subsystem_ << ": " << message << '\n';
}

}  // namespace quota_gateway::net
