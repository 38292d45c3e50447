// The exponentially decaying mean of a customer's demand.
#include "decision/quota/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace quota_gateway::decision {

namespace {

constexpr double kMinTimeConstant = 1;  // s
constexpr double kMaxTimeConstant = 5;  // s; also under a large burst, a change of demand shows soon
constexpr double kMinQuotaRate = 1e-9;  // units/s; avoids a division by zero without a quota

}  // namespace

double demand_time_constant(const CustomerQuota& customer) {
  const double burst_seconds = quota_burst(customer) / std::max(customer.quota_rate, kMinQuotaRate);
  return std::clamp(burst_seconds, kMinTimeConstant, kMaxTimeConstant);
}

double demand_decay(const CustomerQuota& customer, double seconds) {
  return std::exp(-seconds / demand_time_constant(customer));
}

void decay_demand(CustomerQuota& customer, double seconds) {
  const double decay = demand_decay(customer, seconds);
  customer.local_demand_rate *= decay;
  customer.unreported_units *= decay;
  customer.reported_units *= decay;
}

void add_demand(CustomerQuota& customer, double units) {
  customer.local_demand_rate += units / demand_time_constant(customer);
  customer.unreported_units += units;
  ++customer.unreported_requests;
}

}  // namespace quota_gateway::decision
