// The cap on a customer's concurrent attempts, which holds over all gateways of the customer's set together.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Whether one more attempt may be started here. Gateways see only their own attempts, so each enforces an
// even part of the cap. The remainder of the division goes to the first gateways of the set, and each gateway
// may have at least one attempt.
bool concurrency_cap_allows(const CustomerQuota& customer);

}  // namespace quota_gateway::decision
