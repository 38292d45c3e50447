// The token bucket of one customer's slice: the part of the customer's quota that this gateway may admit.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// The units a second that this gateway may admit: its own demand and an even part of what the demand of all
// gateways leaves of the quota; or, if that demand exceeds the quota, a part of the quota in proportion to
// its own demand. Until a first total has come it is an even part, because the gateways together would
// otherwise admit the quota many times over.
double slice_rate(const CustomerQuota& customer);

// The most tokens that the slice can save up: the same part of the burst as `slice_rate` is of the quota. If
// each gateway kept the whole burst, each could admit it before any total shows the excess.
double slice_burst(const CustomerQuota& customer);

// Brings the decaying demand, the slice's tokens and the estimated fleet tokens up to `now`.
void advance_slice(TimePoint now, CustomerQuota& customer);

// Takes units from the slice's tokens and from the estimated fleet tokens.
void consume_tokens(CustomerQuota& customer, double units);

// Lowers the estimated fleet tokens by what the customer's remote demand has probably consumed before its
// first request came to this gateway. To be called once, with the first estimate of that demand.
void apply_first_remote_demand(CustomerQuota& customer);

// Raises the slice's tokens to this gateway's part, by share of demand, of the estimated fleet tokens.
void share_fleet_tokens(CustomerQuota& customer);

}  // namespace quota_gateway::decision
