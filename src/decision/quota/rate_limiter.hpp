// The hard rate limit of a plan, which binds whether a request is inside the quota or not. Each gateway of
// the customer's set enforces an even part of the limit's rate and burst; that needs no communication, and
// the sum over all gateways stays within the limit.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Sets the tokens of a customer that this process has not seen before. A predecessor that was killed may just
// have admitted the quota's burst here; only what the limit's burst exceeds that by, and what has refilled
// since this process started, is sure to be left.
void initialize_hard_limit(TimePoint now, TimePoint process_started_at, CustomerQuota& customer);

// Refills the tokens up to `now` and returns whether they suffice for so many units. Takes none.
bool hard_limit_allows(TimePoint now, CustomerQuota& customer, double units);

// Seconds until the tokens suffice, as of the last refill.
double time_until_hard_limit_allows(const CustomerQuota& customer, double units);

}  // namespace quota_gateway::decision
