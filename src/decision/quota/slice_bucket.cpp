// The token bucket of a customer's slice.
#include "decision/quota/slice_bucket.hpp"

#include <algorithm>

#include "decision/numeric.hpp"
#include "decision/quota/demand_estimator.hpp"

namespace quota_gateway::decision {

namespace {

constexpr double kMinRate = 1e-9;  // units/s; avoids a division by zero without a quota or demand

// A customer whose remote demand is at most this fraction of its quota is assumed to have its whole burst
// left.
constexpr double kFullBurstUtilization = 0.5;

// Returns the burst of a slice with the given rate, in units.
double burst_at_rate(const CustomerQuota& customer, double rate) {
  return quota_burst(customer) * rate / std::max(customer.quota_rate, kMinRate);
}

}  // namespace

double slice_rate(const CustomerQuota& customer) {
  const bool has_total = customer.last_total_at > 0;
  if (!has_total) return customer.quota_rate / customer.gateway_set_size;
  const double fleet_demand_rate = customer.local_demand_rate + customer.remote_demand_rate;
  if (fleet_demand_rate < customer.quota_rate) {
    const double unused_rate = customer.quota_rate - fleet_demand_rate;
    return customer.local_demand_rate + unused_rate / customer.gateway_set_size;
  }
  return customer.quota_rate * customer.local_demand_rate / std::max(fleet_demand_rate, kMinRate);
}

double slice_burst(const CustomerQuota& customer) { return burst_at_rate(customer, slice_rate(customer)); }

void advance_slice(TimePoint now, CustomerQuota& customer) {
  const double seconds = to_seconds(now - customer.advanced_at);
  if (seconds <= 0) return;
  customer.advanced_at = now;
  decay_demand(customer, seconds);
  const double rate = slice_rate(customer);
  const double slice_refill = rate * seconds;
  customer.tokens = std::min(burst_at_rate(customer, rate), customer.tokens + slice_refill);
  // The fleet tokens refill by the quota that the other gateways leave unused. A debt shrinks by at least the
  // refill of this gateway's slice.
  const double reduced_debt = std::min(0.0, customer.estimated_fleet_tokens + slice_refill);
  const double fleet_refill = (customer.quota_rate - customer.remote_demand_rate) * seconds;
  const double refilled_tokens = std::max(reduced_debt, customer.estimated_fleet_tokens + fleet_refill);
  customer.estimated_fleet_tokens = std::min(quota_burst(customer), refilled_tokens);
}

void consume_tokens(CustomerQuota& customer, double units) {
  if (customer.quota_rate <= 0) return;
  customer.tokens -= units;
  customer.estimated_fleet_tokens -= units;
}

void apply_first_remote_demand(CustomerQuota& customer) {
  const double unused_fraction = 1 - customer.remote_demand_rate / customer.quota_rate;
  customer.estimated_fleet_tokens *= std::clamp(unused_fraction / (1 - kFullBurstUtilization), 0.0, 1.0);
}

void share_fleet_tokens(CustomerQuota& customer) {
  const double rate = slice_rate(customer);
  const double shared_tokens = customer.estimated_fleet_tokens * rate / customer.quota_rate;
  customer.tokens = std::min(burst_at_rate(customer, rate), std::max(customer.tokens, shared_tokens));
}

}  // namespace quota_gateway::decision
