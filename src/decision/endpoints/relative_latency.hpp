// The latency of an endpoint relative to the rest of the fleet.
#pragma once

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Records the latency of an attempt that has ended. Ignores latencies that do not depend on the load, except
// those of errors.
void record_latency(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

// Returns the endpoint's latency as a multiple of the fleet's: 1 is average. An endpoint that has had
// attempts in flight for long without a response counts as slow even before they end. `mean_latency` (us) is
// that of the request class; at 0 only attempts that have ended count.
double relative_latency(TimePoint now, const Endpoint& endpoint, double mean_latency);

}  // namespace quota_gateway::decision
