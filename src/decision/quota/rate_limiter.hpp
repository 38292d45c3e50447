// The hard rate limit of a plan, which applies to requests within and beyond the quota. Each gateway of the
// customer's set enforces an equal share of the limit's rate and burst. This needs no communication, and the
// sum over all gateways stays within the limit.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Sets the initial tokens of a customer that this process has not seen before. A predecessor that was killed
// may just have admitted the quota's burst. Only the excess of the limit's burst over the quota's burst, and
// the refill since this process started, are certain to be left.
void initialize_hard_limit(TimePoint now, TimePoint process_started_at, CustomerQuota& customer);

// Refills the tokens up to `now` and returns whether they suffice for `units`. Takes no tokens.
bool hard_limit_allows(TimePoint now, CustomerQuota& customer, double units);

// Returns the seconds from the last refill until the tokens suffice for `units`.
double time_until_hard_limit_allows(const CustomerQuota& customer, double units);

}  // namespace quota_gateway::decision
