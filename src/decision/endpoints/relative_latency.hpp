// How slow an endpoint is compared with the rest of the fleet.
#pragma once

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Adds the latency of an attempt that has ended to what is known of its endpoint.
void record_latency(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

// Returns the endpoint's latency as a multiple of the fleet's: 1 is average. An endpoint that has been busy
// for long without a response counts as slow before its attempts end. `mean_latency` (us) is that of the
// request class; at 0 only attempts that have ended count.
double relative_latency(TimePoint now, const Endpoint& endpoint, double mean_latency);

}  // namespace quota_gateway::decision
