// Counter names by epoch, and the scale of the increments within an epoch.
#include "decision/quota/counter_epoch.hpp"

#include <algorithm>

#include "decision/numeric.hpp"
#include "decision/quota/demand_estimator.hpp"

namespace quota_gateway::decision {

namespace {

// Length of an epoch in demand time constants. In each of these the scale grows by a factor of e.
constexpr double kTimeConstantsPerEpoch = 10;

Duration epoch_length(const CustomerQuota& customer) {
  return static_cast<Duration>(kTimeConstantsPerEpoch * demand_time_constant(customer) * kMicrosPerSecond);
}

// Returns how much earlier this customer's epochs begin than those of a customer whose ID hash is 0.
Duration epoch_phase(const CustomerQuota& customer) {
  const auto length = static_cast<std::uint64_t>(epoch_length(customer));
  return static_cast<Duration>(customer.id_hash % length);
}

}  // namespace

bool CounterEpochClock::set_wall_offset(TimePoint now, Duration offset) {
  if (offset == wall_offset_) return false;
  wall_offset_ = offset;
  clock_stepped_at_ = now;
  return true;
}

std::int64_t CounterEpochClock::epoch_at(TimePoint now, const CustomerQuota& customer) const {
  return (now + wall_offset_ + epoch_phase(customer)) / epoch_length(customer);
}

TimePoint CounterEpochClock::epoch_start(const CustomerQuota& customer) const {
  return customer.epoch * epoch_length(customer) - epoch_phase(customer) - wall_offset_;
}

TimePoint CounterEpochClock::usable_since(const CustomerQuota& customer) const {
  return std::max(epoch_start(customer), clock_stepped_at_);
}

double CounterEpochClock::scale(TimePoint now, const CustomerQuota& customer) const {
  return 1 / demand_decay(customer, to_seconds(now - epoch_start(customer)));
}

bool CounterEpochClock::may_mix_scales(TimePoint now, const CustomerQuota& customer) const {
  if (clock_stepped_at_ <= 0) return false;
  return customer.epoch <= customer.last_epoch_before_step && now - clock_stepped_at_ < kCounterNameTtl;
}

std::int64_t counter_name(const CustomerQuota& customer) {
  const std::uint64_t epoch_hash = mix_bits(static_cast<std::uint64_t>(customer.epoch));
  constexpr int kUnusedBits = 2;  // keeps the name well within the range of positive numbers
  return static_cast<std::int64_t>(mix_bits(customer.id_hash ^ epoch_hash) >> kUnusedBits);
}

}  // namespace quota_gateway::decision
