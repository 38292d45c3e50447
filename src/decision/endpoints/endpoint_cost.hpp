// The cost of sending an attempt to an endpoint, by which candidates are compared, and the observations of
// the endpoint's load and connections that it depends on.
#pragma once

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Updates the endpoint's idle connections for an attempt that takes one of them.
void record_connection_use(TimePoint now, Endpoint& endpoint);

// Updates the endpoint's idle connections and its reported load from an attempt that has ended. Returns true
// if the endpoint reported its load. The attempt is no longer counted in `endpoint.local_attempts`.
bool record_load(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

// Returns the relative time until an attempt would end at the endpoint: the attempts there over the effective
// weight, with additions for another zone and for a new connection.
double attempt_cost(TimePoint now, const Endpoint& endpoint, double effective_weight,
                    const Settings& settings);

}  // namespace quota_gateway::decision
