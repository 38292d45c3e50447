// The names and the scale of a customer's totals at the shared counter.
#pragma once

#include <cstdint>

#include "decision/quota/customer_quota.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Longest time, after its last increment, that the counter keeps a name.
constexpr Duration kCounterNameTtl = 60'000'000;  // us

// The counter can only add, but a plain sum would show the mean demand since its name began: too late for a
// spike, and for long after it. Gateways therefore scale their increments up exponentially with the wall
// clock's time; a total divided by the present scale is the decaying demand of all gateways. Before the scale
// grows too large they all switch to the name of the next epoch, at an instant that depends on the customer,
// so that the switches are spread over time.
class CounterEpochClock {
 public:
  // The wall clock, by which gateways agree on epochs, is `offset` ahead of the event clock. Returns whether
  // this is a change.
  bool set_wall_offset(TimePoint now, Duration offset);

  // The epoch of the customer's counter name at `now`.
  [[nodiscard]] std::int64_t epoch_at(TimePoint now, const CustomerQuota& customer) const;

  // When the customer's current epoch began, by the event clock.
  [[nodiscard]] TimePoint epoch_start(const CustomerQuota& customer) const;

  // From when on the totals of the customer's current epoch are usable: its start or the last wall clock
  // step.
  [[nodiscard]] TimePoint usable_since(const CustomerQuota& customer) const;

  // The factor by which an increment at `now` is scaled up in the customer's current epoch.
  [[nodiscard]] double scale(TimePoint now, const CustomerQuota& customer) const;

  // Whether the customer's counter name may hold increments of another scale, because it was in use before
  // the wall clock was stepped and the counter has not dropped it since.
  [[nodiscard]] bool is_distrusted(TimePoint now, const CustomerQuota& customer) const;

 private:
  Duration wall_offset_ = 0;
  TimePoint stepped_at_ = 0;  // last step of the wall clock; 0: never
};

// The counter name of the customer's current epoch; the same on every gateway.
std::int64_t counter_name(const CustomerQuota& customer);

}  // namespace quota_gateway::decision
