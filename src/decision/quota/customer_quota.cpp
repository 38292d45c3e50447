// The quota rate and burst of a customer, derived from its plan.
#include "decision/quota/customer_quota.hpp"

#include <algorithm>
#include <cmath>

namespace quota_gateway::decision {

namespace {

// The mean number of attempts in flight is kept this many standard deviations (of a Poisson distribution)
// below the concurrency cap, so that random fluctuations seldom exceed the cap.
constexpr double kCapMarginDeviations = 0.85;
constexpr double kMinCapUtilization = 0.3;  // lower bound of that mean, as a fraction of the cap
constexpr double kCapBurstSeconds = 1;      // burst under a concurrency cap, in seconds of its rate

}  // namespace

double quota_rate_of(const PlanSettings& plan) {
  if (plan.rate > 0) return plan.rate;
  const double cap = plan.max_concurrent_attempts;
  return std::max(kMinCapUtilization * cap, cap - kCapMarginDeviations * std::sqrt(cap));
}

double quota_burst(const CustomerQuota& customer) {
  if (customer.plan->rate > 0) return customer.plan->burst;
  return customer.quota_rate * kCapBurstSeconds;
}

}  // namespace quota_gateway::decision
