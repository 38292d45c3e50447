// The cost of sending an attempt to an endpoint, by which candidates are compared. It depends on the observed
// load and connections of the endpoint, which are recorded here.
#pragma once

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Updates the endpoint's idle connections for an attempt that uses one of them.
void record_connection_use(TimePoint now, Endpoint& endpoint);

// Updates the endpoint's idle connections and its reported load from an attempt that has ended. Returns true
// if the endpoint reported its load. `endpoint.local_attempts` must no longer include the attempt.
bool record_load(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

// Returns the relative time that an attempt would take at the endpoint: the attempts in flight there, with
// this one, divided by the effective weight. The cost is higher for an endpoint in another zone and, with
// many gateways, for one without an idle connection.
double attempt_cost(TimePoint now, const Endpoint& endpoint, double effective_weight,
                    const Settings& settings);

}  // namespace quota_gateway::decision
