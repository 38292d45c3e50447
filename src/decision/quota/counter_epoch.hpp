// The names of a customer's totals at the shared counter, and the scale of the increments within an epoch.
#pragma once

#include <cstdint>

#include "decision/quota/customer_quota.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// The counter drops a name at most this long after the name's last increment.
constexpr Duration kCounterNameTtl = 60'000'000;  // us

// The counter can only add. A plain sum would give the mean demand since the name was first used, which shows
// a spike late and keeps showing it long after its end. Gateways therefore scale their increments by a factor
// that grows exponentially with wall clock time: a total divided by the current scale is the exponentially
// decaying demand at all gateways. Before the scale grows too large, all gateways switch to the name of the
// next epoch. The time of the switch depends on the customer, so that the switches are spread over time.
class CounterEpochClock {
 public:
  // Sets how far the wall clock, by which gateways agree on epochs, is ahead of the event clock. Returns
  // whether the offset has changed.
  bool set_wall_offset(TimePoint now, Duration offset);

  // Returns the number of the customer's epoch at `now`.
  [[nodiscard]] std::int64_t epoch_at(TimePoint now, const CustomerQuota& customer) const;

  // Returns when the customer's current epoch began, by the event clock.
  [[nodiscard]] TimePoint epoch_start(const CustomerQuota& customer) const;

  // Returns the time from which the totals of the customer's current epoch are usable: the start of the epoch
  // or the last step of the wall clock, whichever is later.
  [[nodiscard]] TimePoint usable_since(const CustomerQuota& customer) const;

  // Returns the factor by which an increment at `now` is scaled in the customer's current epoch.
  [[nodiscard]] double scale(TimePoint now, const CustomerQuota& customer) const;

  // Returns whether the customer's counter name may hold increments of different scales, because it was in
  // use before the wall clock was stepped and the counter may not have dropped it yet.
  [[nodiscard]] bool may_mix_scales(TimePoint now, const CustomerQuota& customer) const;

 private:
  Duration wall_offset_ = 0;
  TimePoint clock_stepped_at_ = 0;  // when the wall clock was last stepped; 0: never
};

// Returns the counter name of the customer's current epoch, which is the same on every gateway.
std::int64_t counter_name(const CustomerQuota& customer);

}  // namespace quota_gateway::decision
