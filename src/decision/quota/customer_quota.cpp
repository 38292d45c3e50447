// The quota rate and burst that follow from a customer's plan.
#include "decision/quota/customer_quota.hpp"

#include <algorithm>
#include <cmath>

namespace quota_gateway::decision {

namespace {

// The mean number of attempts in flight stays this many standard deviations (of a Poisson distribution) below
// the concurrency cap, so that the cap is seldom exceeded by chance.
constexpr double kCapDeviations = 0.85;
constexpr double kMinCapUtilization = 0.3;  // lower bound of that mean, as a part of the cap
constexpr double kCapBurst = 1;             // s of the rate of a concurrency cap that may come at once

}  // namespace

double quota_rate_of(const PlanSettings& plan) {
  if (plan.rate > 0) return plan.rate;
  const double cap = plan.max_concurrent_attempts;
  return std::max(kMinCapUtilization * cap, cap - kCapDeviations * std::sqrt(cap));
}

double quota_burst(const CustomerQuota& customer) {
  if (customer.plan->rate > 0) return customer.plan->burst;
  return customer.quota_rate * kCapBurst;
}

}  // namespace quota_gateway::decision
