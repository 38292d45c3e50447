// The token bucket of a customer's slice, which is the share of the customer's quota that this gateway may
// admit.
#pragma once

#include "decision/quota/customer_quota.hpp"

namespace quota_gateway::decision {

// Returns the units per second that this gateway may admit. While the demand at all gateways is below the
// quota, this is the local demand plus an equal share of the unused quota; otherwise it is a share of the
// quota in proportion to the local demand. Until the first total arrives it is an equal share of the quota,
// because the gateways together would otherwise admit the quota many times over.
double slice_rate(const CustomerQuota& customer);

// Returns the maximum number of tokens in the slice's bucket: the same fraction of the quota's burst as
// `slice_rate` is of the quota's rate. If each gateway had the whole burst, each could admit it before any
// total shows the excess.
double slice_burst(const CustomerQuota& customer);

// Decays the demand, and refills the slice's tokens and the estimated fleet tokens, up to `now`.
void advance_slice(TimePoint now, CustomerQuota& customer);

// Takes units from the slice's tokens and from the estimated fleet tokens.
void consume_tokens(CustomerQuota& customer, double units);

// Lowers the estimated fleet tokens by the amount that the customer's remote demand has probably consumed
// before its first request at this gateway. Call once, after the first estimate of that demand.
void apply_first_remote_demand(CustomerQuota& customer);

// Raises the slice's tokens to this gateway's share of the estimated fleet tokens, which is in proportion to
// `slice_rate`.
void share_fleet_tokens(CustomerQuota& customer);

}  // namespace quota_gateway::decision
