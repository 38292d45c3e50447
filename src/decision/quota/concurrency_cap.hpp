// The cap on a customer's concurrent attempts over all gateways of the customer's set.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Returns whether this gateway may start another attempt for the customer. A gateway sees only its own
// attempts, so each enforces an equal share of the cap. The first gateways of the set get the remainder of
// the division, and every gateway may have at least one attempt in flight.
bool concurrency_cap_allows(const CustomerQuota& customer);

}  // namespace quota_gateway::decision
