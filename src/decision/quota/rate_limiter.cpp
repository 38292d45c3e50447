// The hard rate limit: a token bucket per customer and gateway.
#include "decision/quota/rate_limiter.hpp"

#include <algorithm>

#include "decision/numeric.hpp"

namespace quota_gateway::decision {

void initialize_hard_limit(TimePoint now, TimePoint process_started_at, CustomerQuota& customer) {
  const PlanSettings& plan = *customer.plan;
  const double process_age = to_seconds(now - process_started_at);
  const double unspent_burst = std::max(0.0, plan.hard_limit_burst - plan.burst);
  const double fleet_tokens =
      std::min(plan.hard_limit_burst, unspent_burst + plan.hard_limit_rate * process_age);
  customer.hard_limit_tokens = fleet_tokens / customer.gateway_set_size;
  customer.hard_limit_updated_at = now;
}

bool hard_limit_allows(TimePoint now, CustomerQuota& customer, double units) {
  const PlanSettings& plan = *customer.plan;
  if (plan.hard_limit_rate <= 0) return true;
  const auto elapsed_micros = static_cast<double>(now - customer.hard_limit_updated_at);
  const double refill = plan.hard_limit_rate / customer.gateway_set_size * elapsed_micros / kMicrosPerSecond;
  const double max_tokens = plan.hard_limit_burst / customer.gateway_set_size;
  customer.hard_limit_tokens = std::min(max_tokens, customer.hard_limit_tokens + refill);
  customer.hard_limit_updated_at = now;
  return customer.hard_limit_tokens >= units;
}

double time_until_hard_limit_allows(const CustomerQuota& customer, double units) {
  const double missing_tokens = units - customer.hard_limit_tokens;
  return missing_tokens * customer.gateway_set_size / customer.plan->hard_limit_rate;
}

}  // namespace quota_gateway::decision
