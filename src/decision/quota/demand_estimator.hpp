// Estimates a customer's demand at this gateway as an exponentially decaying mean.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// The time, in seconds, after which 1/e of a demand is left in the mean. It grows with the burst relative to
// the rate: a quota of a few units a second sees either nothing or its whole burst within one second, and a
// shorter mean would reject customers that are inside their quota.
double demand_time_constant(const CustomerQuota& customer);

// The part of a demand that is left in the mean after so many seconds.
double demand_decay(const CustomerQuota& customer, double seconds);

// Lets all decaying sums of the customer age by so many seconds.
void decay_demand(CustomerQuota& customer, double seconds);

// Counts the units of a request, whether it is admitted or not.
void add_demand(CustomerQuota& customer, double units);

}  // namespace quota_gateway::decision
