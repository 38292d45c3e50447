// This gateway's share of a customer's concurrency cap.
#include "decision/quota/concurrency_cap.hpp"

#include <algorithm>

namespace quota_gateway::decision {

bool concurrency_cap_allows(const CustomerQuota& customer) {
  const int fleet_cap = customer.plan->max_concurrent_attempts;
  if (fleet_cap <= 0) return true;
  const int remainder = fleet_cap % customer.gateway_set_size;
  const int extra_attempt = customer.gateway_set_position < remainder ? 1 : 0;
  const int local_cap = std::max(1, fleet_cap / customer.gateway_set_size + extra_attempt);
  return customer.attempts_in_flight + customer.predecessor_attempts < local_cap;
}

}  // namespace quota_gateway::decision
