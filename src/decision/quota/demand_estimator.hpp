// Estimates a customer's demand at this gateway as an exponentially decaying mean.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Returns the time constant of the mean in seconds, after which 1/e of a demand is left. It grows with the
// ratio of burst to rate: under a quota of a few units per second, one second sees either nothing or the
// whole burst, and a shorter mean would reject customers that are within their quota.
double demand_time_constant(const CustomerQuota& customer);

// Returns the fraction of a demand that is left in the mean after `seconds`.
double demand_decay(const CustomerQuota& customer, double seconds);

// Decays the customer's local demand rate, unreported units and reported units by `seconds`.
void decay_demand(CustomerQuota& customer, double seconds);

// Adds a request's units to the demand, whether the request is admitted or not.
void add_demand(CustomerQuota& customer, double units);

}  // namespace quota_gateway::decision
